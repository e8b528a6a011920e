package telemetry

import (
	"cmp"
	"slices"
)

// Traffic counts the frames and bytes of one kind of message that a daemon has exchanged with its
// peers since it started.
type Traffic struct {
	Kind      string `json:"kind"`
	FramesIn  int64  `json:"frames_in"`
	BytesIn   int64  `json:"bytes_in"`
	FramesOut int64  `json:"frames_out"`
	BytesOut  int64  `json:"bytes_out"`
}

// totalBytes returns the bytes in both directions.
func (t Traffic) totalBytes() int64 { return t.BytesIn + t.BytesOut }

// Traffic returns the traffic with peers by kind of message, the kind with the most bytes first.
func (m *Metrics) Traffic() ([]Traffic, error) {
	families, err := m.traffic.Gather()
	if err != nil {
		return nil, err
	}
	kinds := map[string]*Traffic{}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			labels := map[string]string{}
			for _, l := range metric.GetLabel() {
				labels[l.GetName()] = l.GetValue()
			}
			kind := kinds[labels[labelKind]]
			if kind == nil {
				kind = &Traffic{Kind: labels[labelKind]}
				kinds[kind.Kind] = kind
			}
			*kind.counter(family.GetName(), labels[labelDirection]) += int64(metric.GetCounter().GetValue())
		}
	}
	list := make([]Traffic, 0, len(kinds))
	for _, kind := range kinds {
		list = append(list, *kind)
	}
	slices.SortFunc(list, func(a, b Traffic) int {
		return cmp.Or(cmp.Compare(b.totalBytes(), a.totalBytes()), cmp.Compare(a.Kind, b.Kind))
	})
	return list, nil
}

// counter returns the field for a metric and a direction.
func (t *Traffic) counter(metric, direction string) *int64 {
	frames := metric == namespace+"_"+peerFramesName
	switch {
	case frames && direction == DirectionIn:
		return &t.FramesIn
	case frames:
		return &t.FramesOut
	case direction == DirectionIn:
		return &t.BytesIn
	default:
		return &t.BytesOut
	}
}
