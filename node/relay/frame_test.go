package relay

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"doorstack.dev/node/target"
	"github.com/go-faster/errors"
)

// writeFrames returns the frames of some parts, and of the end.
func writeFrames(t *testing.T, parts ...string) []byte {
	t.Helper()
	var out bytes.Buffer
	w := &frameWriter{to: &out}
	for _, part := range parts {
		if n, err := w.Write([]byte(part)); n != len(part) || err != nil {
			t.Fatal(n, err)
		}
	}
	if err := w.writeEnd(); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

func TestFramesCarryAllBytesAndTheEnd(t *testing.T) {
	large := strings.Repeat("x", bufferSize)
	frames := writeFrames(t, "a", large, "b")
	for name, in := range map[string]io.Reader{"whole": bytes.NewReader(frames), "byte by byte": iotest.OneByteReader(bytes.NewReader(frames))} {
		s := &framedSocket{in: in}
		got, err := io.ReadAll(s)
		if want := "a" + large + "b"; err != nil || string(got) != want {
			t.Errorf("%s: %d bytes, %v; want %d", name, len(got), err, len(want))
		}
		if n, err := s.Read(make([]byte, 1)); n != 0 || err != io.EOF {
			t.Errorf("%s: read after the end = %d, %v", name, n, err)
		}
	}
}

// A relay may end after any byte; only the whole end frame is the target's end.
func TestFramesThatBreakOffHaveNoEnd(t *testing.T) {
	frames := writeFrames(t, "first", "second")
	for n := range frames {
		if got, err := io.ReadAll(&framedSocket{in: bytes.NewReader(frames[:n])}); !errors.Is(err, target.ErrRelayEnded) {
			t.Errorf("after %d of %d bytes: %q, %v; want ErrRelayEnded", n, len(frames), got, err)
		}
	}
}
