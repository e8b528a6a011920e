package target

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"doorstack.dev/core/forward"
)

// benchTarget answers calls with a body, with a length or without, and all other requests with an empty body.
func benchTarget(unframed bool, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodGet {
			w.Header().Set("Instance", testTargetID)
			return
		}
		if !unframed {
			w.Header().Set("Id", "1")
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			_, _ = io.WriteString(w, body)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err) // The server speaks HTTP/1.1 only.
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"+body)
		_ = conn.Close()
	}
}

// BenchmarkAnswers measures calls with answers of 800 bytes: with a length, and without one, one at a time and many at once.
func BenchmarkAnswers(b *testing.B) {
	body := strings.Repeat("x", 800)
	for _, unframed := range []bool{false, true} {
		for _, parallel := range []int{1, 64} {
			name := "length"
			if unframed {
				name = "unframed"
			}
			b.Run(name+"/"+strconv.Itoa(parallel), func(b *testing.B) {
				server := httptest.NewServer(benchTarget(unframed, body))
				defer server.Close()
				address := strings.TrimPrefix(server.URL, "http://")
				e := NewExchanger(testDialect{}, NewConnector())
				e.OnEndCheck = func(outcome EndCheck, _ time.Duration) {
					if outcome != EndConfirmed {
						b.Error(outcome)
					}
				}
				b.SetParallelism(parallel)
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						m := testMessage("1", "body")
						m.To = forward.Recipient{ID: testTargetID, HealthPath: healthPath}
						reply, err := e.Send(b.Context(), address, m)
						if err != nil {
							b.Error(err)
							return
						}
						if _, err := io.Copy(io.Discard, reply.Body); err != nil {
							b.Error(err)
						}
						e.Close(reply)
					}
				})
			})
		}
	}
}
