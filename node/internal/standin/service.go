package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"doorstack.dev/node/target"
)

// Service simulates a plain service. It counts executions by idempotency key, so that a
// test can check that no call was executed twice.
type Service struct {
	// Name identifies the service in its answers.
	Name string

	mu              sync.Mutex
	executions      map[string]int
	totalExecutions int
	faults          ServiceFaults
	inFlight        int
}

// ServiceFaults are the faults that a service injects. The zero value injects none.
type ServiceFaults struct {
	// Delay is how long an executed call waits for its answer.
	Delay time.Duration
	// AbortAfterRun executes the call and aborts the connection without an answer.
	AbortAfterRun bool
	// AbortMidAnswer executes the call, sends half of the answer and aborts the
	// connection.
	AbortMidAnswer bool
	// Refuse refuses every call without executing it.
	Refuse bool
	// Draining makes the load report say that the service is draining.
	Draining bool
}

// NewService returns a service that injects no faults.
func NewService(name string) *Service {
	return &Service{Name: name, executions: map[string]int{}}
}

// SetFaults replaces the faults that the service injects.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Executions returns how often the call with an idempotency key was executed.
func (s *Service) Executions(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[key]
}

// TotalExecutions returns the number of executed calls.
func (s *Service) TotalExecutions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalExecutions
}

// Handler returns a handler that serves the load report at /v1/load and treats a request
// to any other path as a call.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(w, http.StatusOK, target.LoadReport{CreatedAt: time.Now(), Running: s.inFlight, Draining: s.faults.Draining})
	})
	mux.HandleFunc("/", s.serveCall)
	return mux
}

// serveCall executes and answers a call, subject to the injected faults.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	f := s.faults
	s.inFlight++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.inFlight--
		s.mu.Unlock()
	}()
	if f.Refuse {
		writeJSON(w, http.StatusServiceUnavailable, target.ErrorAnswer{Code: target.CodeBusy, Message: "the stand-in is set to refuse calls"})
		return
	}
	s.recordExecution(r.Header.Get("Idempotency-Key"))
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	if f.AbortAfterRun {
		panic(http.ErrAbortHandler)
	}
	answer, err := json.Marshal(ServiceAnswer{Service: s.Name, Path: r.URL.Path, Echo: string(body)})
	if err != nil {
		return
	}
	if f.AbortMidAnswer {
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write(answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer)
}

// recordExecution counts an execution of the call with an idempotency key.
func (s *Service) recordExecution(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[key]++
	s.totalExecutions++
}

// ServiceAnswer is the body of a service's answer. Echo is the body of the call.
type ServiceAnswer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Echo    string `json:"echo"`
}
