package eventstream

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"
)

const sample = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n"

func pushAll(s *Splitter, pieces ...string) (events []string, err error) {
	for _, p := range pieces {
		err = s.Push([]byte(p), func(e Event) error {
			events = append(events, e.ID+"|"+string(e.Raw))
			return nil
		})
		if err != nil {
			return events, err
		}
	}
	return events, nil
}

// TestSplitAtAnyByte: wherever a stream is cut into reads, the events are the same; and a
// stream that ends there has given whole events only.
func TestSplitAtAnyByte(t *testing.T) {
	whole, err := pushAll(&Splitter{MaxEvent: 100}, sample)
	if err != nil || len(whole) != 3 {
		t.Fatal(whole, err)
	}
	for cut := range len(sample) {
		s := &Splitter{MaxEvent: 100}
		first, err := pushAll(s, sample[:cut])
		if err != nil {
			t.Fatal(err)
		}
		given := ""
		for _, e := range first {
			given += e[strings.Index(e, "|")+1:]
		}
		if !strings.HasPrefix(sample, given) || s.Partial() != (len(given) < cut) {
			t.Fatalf("cut at %d: gave %q, partial %v", cut, given, s.Partial())
		}
		rest, err := pushAll(s, sample[cut:])
		if err != nil || strings.Join(append(first, rest...), "") != strings.Join(whole, "") {
			t.Fatalf("cut at %d: %v %v", cut, rest, err)
		}
	}
}

func TestPushErrors(t *testing.T) {
	for name, c := range map[string]struct {
		after, text string
		want        error
	}{
		"doubled":          {"", "id: 1\n\nid: 1\n\n", ErrOutOfOrder},
		"back":             {"", "id: 2\n\nid: 1\n\n", ErrOutOfOrder},
		"from the start":   {"4", "id: 1\n\n", ErrOutOfOrder},
		"goes on":          {"4", "id: 5\n\nid: 6\n\n", nil},
		"ids that rise":    {"", "id: 3\n\nid: 9\n\n", nil},
		"without ids":      {"", "data: a\n\ndata: b\n\n", nil},
		"an event too big": {"", "data: " + strings.Repeat("x", 200), ErrTooLong},
	} {
		s := &Splitter{MaxEvent: 100}
		s.ResumeAfter(c.after)
		if _, err := pushAll(s, c.text); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
}

// FuzzSplitter: no bytes make the splitter lose or invent any.
func FuzzSplitter(f *testing.F) {
	for _, seed := range []string{sample, "\n\n\n", "id:\n\n", "id: 99999999999999999999\n\n", "data: \x00\r\r\n\n"} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		s := &Splitter{MaxEvent: 1 << 10}
		cut = min(max(cut, 0), len(data))
		given := ""
		emit := func(e Event) error {
			given += string(e.Raw)
			return nil
		}
		err := s.Push(data[:cut], emit)
		if err == nil {
			err = s.Push(data[cut:], emit)
		}
		if !strings.HasPrefix(string(data), given) {
			t.Fatalf("gave %q of %q", given, data)
		}
		if err == nil && !s.Partial() && given != string(data) {
			t.Fatalf("bytes were lost: gave %q of %q", given, data)
		}
	})
}

func TestPushRandomPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Repeat("data: x\n\n", rapid.IntRange(1, 20).Draw(t, "events"))
		s := &Splitter{MaxEvent: 100}
		given := 0
		for len(text) > 0 {
			n := rapid.IntRange(1, len(text)).Draw(t, "piece")
			if err := s.Push([]byte(text[:n]), func(e Event) error { given += len(e.Raw); return nil }); err != nil {
				t.Fatal(err)
			}
			text = text[n:]
		}
		if s.Partial() || given%len("data: x\n\n") != 0 {
			t.Fatal(given)
		}
	})
}
