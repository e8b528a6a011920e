package telemetry

import (
	"slices"
	"testing"
)

func TestTrafficByKind(t *testing.T) {
	m := NewMetrics()
	exchange := func(direction, kind string, frames, bytes float64) {
		m.PeerFrames.WithLabelValues(direction, kind).Add(frames)
		m.PeerBytes.WithLabelValues(direction, kind).Add(bytes)
	}
	exchange(DirectionIn, "heartbeat", 3, 300)
	exchange(DirectionOut, "heartbeat", 4, 500)
	exchange(DirectionOut, "settings", 1, 9000)
	m.Requests.WithLabelValues("route", "whole").Inc()
	got, err := m.Traffic()
	if err != nil {
		t.Fatal(err)
	}
	want := []Traffic{
		{Kind: "settings", FramesOut: 1, BytesOut: 9000},
		{Kind: "heartbeat", FramesIn: 3, BytesIn: 300, FramesOut: 4, BytesOut: 500},
	}
	if !slices.Equal(got, want) {
		t.Errorf("Traffic() = %+v, want %+v", got, want)
	}
}
