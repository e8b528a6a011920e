package peer

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"doorstack.dev/node/telemetry"
	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

type testMessage struct {
	Text string `cbor:"1,keyasint"`
}

// newerMessage is a question of a later version, with a field that this one lacks.
type newerMessage struct {
	Text  string `cbor:"1,keyasint"`
	Extra int    `cbor:"9,keyasint"`
}

func startServer(t *testing.T, name string, keys ...string) (*Hub, Address) {
	t.Helper()
	h := NewHub(name, keys, telemetry.NewMetrics())
	h.Handle(KindExplain, TypedHandler(func(_ context.Context, from string, q testMessage) (testMessage, error) {
		return testMessage{Text: from + " asked " + q.Text}, nil
	}))
	s := httptest.NewServer(h.Handler())
	t.Cleanup(func() { h.Close(); s.Close() })
	return h, Address{Name: name, Address: strings.TrimPrefix(s.URL, "http://")}
}

const (
	oldKey = "the-old-key-of-all-daemons"
	newKey = "the-new-key-of-all-daemons"
)

func TestHandshakeAcceptsOnlySharedKeys(t *testing.T) {
	cases := map[string]struct {
		client, server []string
		ok             bool
	}{
		"same key":              {[]string{oldKey}, []string{oldKey}, true},
		"server has both":       {[]string{oldKey}, []string{newKey, oldKey}, true},
		"client signs with new": {[]string{newKey, oldKey}, []string{oldKey, newKey}, true},
		"strangers":             {[]string{oldKey}, []string{newKey}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server, address := startServer(t, "server", c.server...)
			client := NewHub("client", c.client, telemetry.NewMetrics())
			defer client.Close()
			var answer testMessage
			err := client.Call(context.Background(), address, KindExplain, testMessage{"why"}, &answer)
			if (err == nil) != c.ok {
				t.Fatalf("got %v", err)
			}
			if c.ok && answer.Text != "client asked why" {
				t.Fatalf("got %q", answer.Text)
			}
			if refused := testutil.ToFloat64(server.metrics.PeerRefused.WithLabelValues("bad_proof")); (refused == 0) != c.ok {
				t.Errorf("%v peers counted as refused", refused)
			}
		})
	}
}

func TestCallRejectsPeerWithUnexpectedName(t *testing.T) {
	_, address := startServer(t, "server", oldKey)
	client := NewHub("client", []string{oldKey}, telemetry.NewMetrics())
	defer client.Close()
	address.Name = "other"
	if err := client.Call(context.Background(), address, KindExplain, testMessage{}, &testMessage{}); err == nil {
		t.Fatal("a daemon at a reused address is taken for the one that had it")
	}
}

func TestUnknownFieldsAndKindsAreTolerated(t *testing.T) {
	_, address := startServer(t, "server", oldKey)
	client := NewHub("client", []string{oldKey}, telemetry.NewMetrics())
	defer client.Close()
	var answer testMessage
	if err := client.Call(context.Background(), address, KindExplain, newerMessage{"later", 7}, &answer); err != nil || answer.Text != "client asked later" {
		t.Fatalf("an unknown field: %v %q", err, answer.Text)
	}
	if err := client.Call(context.Background(), address, Kind(200), testMessage{}, &answer); err == nil {
		t.Fatal("an unknown kind is answered")
	}
	if err := client.Notify(context.Background(), address, Kind(200), testMessage{}); err != nil {
		t.Fatal(err)
	}
	if err := client.Call(context.Background(), address, KindExplain, testMessage{"still there"}, &answer); err != nil {
		t.Fatalf("an unknown kind broke the link: %v", err)
	}
}

func FuzzFrame(f *testing.F) {
	seed, err := cbor.Marshal(Frame{Kind: KindClaim, ID: 1, Body: cbor.RawMessage{0xa0}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{0xa1, 0x05, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var frame Frame
		if cbor.Unmarshal(data, &frame) != nil {
			return
		}
		var q testMessage
		_ = cbor.Unmarshal(frame.Body, &q)
	})
}

// TestSilentLinkIsClosed: a link on which nothing comes while questions wait is closed
// and the next question dials; one that only was not needed for long is kept.
func TestSilentLinkIsClosed(t *testing.T) {
	server, address := startServer(t, "server", oldKey)
	muted := make(chan struct{})
	server.Handle(KindHosts, TypedHandler(func(ctx context.Context, _ string, q testMessage) (testMessage, error) {
		select {
		case <-muted:
		case <-ctx.Done():
		}
		return q, nil
	}))
	client := NewHub("client", []string{oldKey}, telemetry.NewMetrics())
	defer client.Close()
	ask := func(kind Kind, within time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), within)
		defer cancel()
		return client.Call(ctx, address, kind, testMessage{"why"}, &testMessage{})
	}
	open := func() *link {
		client.mu.Lock()
		defer client.mu.Unlock()
		return client.links["server"]
	}
	const soon, long = 20 * time.Millisecond, 20 * time.Second
	if err := ask(KindExplain, long); err != nil {
		t.Fatal(err)
	}
	first := open()
	first.closeIfSilent(time.Now().Add(time.Hour))
	if open() != first {
		t.Fatal("a link that answered is given up for being idle")
	}
	if ask(KindHosts, soon) == nil || open() != first {
		t.Fatal("one question without an answer ends the link")
	}
	first.closeIfSilent(time.Now().Add(silenceTimeout))
	if open() != nil {
		t.Fatal("a silent link is kept")
	}
	close(muted)
	if err := ask(KindHosts, long); err != nil || open() == first {
		t.Errorf("no new link: %v", err)
	}
}
