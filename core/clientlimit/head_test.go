package clientlimit

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
)

// addInParts adds a head in parts of a size and returns the state after the last byte.
func addInParts(h *Head, head string, size int, limit int64) HeadState {
	state := HeadIncomplete
	for len(head) > 0 && state == HeadIncomplete {
		n := min(size, len(head))
		state = h.Add([]byte(head[:n]), limit)
		head = head[n:]
	}
	return state
}

// TestHeadEndsAtItsEmptyLine checks heads in parts of each size, with both kinds of line ends.
func TestHeadEndsAtItsEmptyLine(t *testing.T) {
	for _, head := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET / HTTP/1.1\nHost: h\n\n",
		"\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET / HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\nA: \r\r\n\r\n",
	} {
		for size := 1; size <= len(head); size++ {
			if state := addInParts(&Head{}, head, size, 1000); state != HeadComplete {
				t.Errorf("%q in parts of %d: state %d, want complete", head, size, state)
			}
			if state := addInParts(&Head{}, head[:len(head)-1], size, 1000); state != HeadIncomplete {
				t.Errorf("%q in parts of %d: state %d, want incomplete", head[:len(head)-1], size, state)
			}
		}
	}
}

// TestHeadLimitHoldsForRequestLineAndFieldsEach checks the largest accepted head and one byte more, in parts of some sizes.
func TestHeadLimitHoldsForRequestLineAndFieldsEach(t *testing.T) {
	const limit = 100
	line := "GET /" + strings.Repeat("p", limit-len("GET / HTTP/1.1\r\n")) + " HTTP/1.1\r\n"
	fields := "A: " + strings.Repeat("v", limit-len("A: \r\n\r\n")) + "\r\n\r\n"
	for _, size := range []int{1, 7, 4096} {
		for head, want := range map[string]HeadState{
			line + fields:                                  HeadComplete,
			"G" + line + fields:                            HeadTooLarge,
			line + "A" + fields:                            HeadTooLarge,
			strings.Repeat("\r\n", limit):                  HeadTooLarge,
			strings.Repeat("x", limit+1):                   HeadTooLarge,
			"GET / HTTP/1.1\r\n" + strings.Repeat("\n", 9): HeadComplete,
		} {
			if state := addInParts(&Head{}, head, size, limit); state != want {
				t.Errorf("%.40q of %d bytes in parts of %d: state %d, want %d", head, len(head), size, state, want)
			}
		}
	}
}

// TestHeadMemoryCoversItsDecodedForm guards against heads whose decoded form takes more than what is reserved for them: many
// short lines take a multiple of their bytes.
func TestHeadMemoryCoversItsDecodedForm(t *testing.T) {
	for name, line := range map[string]string{"equal": "k:\r\n", "distinct": "k%06x:\r\n", "values": "k%06x: %0100d\r\n"} {
		var b bytes.Buffer
		b.WriteString("GET / HTTP/1.1\r\nHost: h\r\n")
		for i := 0; b.Len() < 16<<10; i++ {
			if strings.Contains(line, "%0100d") {
				fmt.Fprintf(&b, line, i, i)
			} else if strings.Contains(line, "%") {
				fmt.Fprintf(&b, line, i)
			} else {
				b.WriteString(line)
			}
		}
		b.WriteString("\r\n")
		var h Head
		if h.Add(b.Bytes(), 1<<20) != HeadComplete {
			t.Fatal("the head is not complete")
		}
		const copies = 100
		var before, after runtime.MemStats
		kept := make([]any, 0, 2*copies)
		runtime.GC()
		runtime.ReadMemStats(&before)
		for range copies {
			r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(b.Bytes())))
			if err != nil {
				t.Fatal(err)
			}
			kept = append(kept, r, r.Header.Clone())
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		taken := int64(after.HeapAlloc-before.HeapAlloc) / copies
		runtime.KeepAlive(kept)
		t.Logf("%s: %d bytes in %d lines take %d, reserved %d", name, b.Len(), h.lines, taken, h.Memory())
		if taken > h.Memory()+connectionBytes {
			t.Errorf("%s: a decoded head takes %d bytes, more than the %d reserved and the %d of a connection", name, taken, h.Memory(), connectionBytes)
		}
	}
}

// TestConnectionsLeaveDescriptorsForTargets checks that every caller in progress can have a connection to a target, and that the
// connections of all listeners leave some for links and the store.
func TestConnectionsLeaveDescriptorsForTargets(t *testing.T) {
	for _, descriptors := range []int64{256, 512, 4100, 4200, 8192, 16384, 1 << 20} {
		c := ConnectionsOf(descriptors, 0)
		files := int64(reservedDescriptors)
		if descriptors < 2*files {
			files = descriptors / 2
		}
		clients := int64(c.Callers + c.Peers + c.Ready + c.Admin)
		if left := descriptors - files - clients - int64(c.Callers); left < (descriptors-files)/5 {
			t.Errorf("%d descriptors: %+v leave %d beside a target for each caller, want a fifth of the sockets", descriptors, c, left)
		}
	}
	if c := ConnectionsOf(4200, 96<<20); c.Callers != 768 {
		t.Errorf("callers on a host with 96 MB = %d, want 768 of 32 KB in a quarter of it", c.Callers)
	}
}
