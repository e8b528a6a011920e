package api

import "net/http"

// RequireAnswer returns a handler that closes the caller's connection where next returns without an answer. net/http would
// answer 200 by itself, and a caller that has closed only its sending side would take the call for served.
func RequireAnswer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tracker := &answerTracker{ResponseWriter: w}
		next.ServeHTTP(tracker, r)
		if !tracker.answered {
			panic(http.ErrAbortHandler)
		}
	})
}

// answerTracker records whether an answer was written.
type answerTracker struct {
	http.ResponseWriter
	answered bool
}

// WriteHeader implements http.ResponseWriter. An informational answer does not answer the request.
func (t *answerTracker) WriteHeader(status int) {
	t.answered = t.answered || status >= http.StatusOK
	t.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (t *answerTracker) Write(p []byte) (int, error) {
	t.answered = true
	return t.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController find the writer's other methods.
func (t *answerTracker) Unwrap() http.ResponseWriter { return t.ResponseWriter }
