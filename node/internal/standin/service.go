package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"doorstack.dev/node/target"
)

// Service is a stand-in for a plain service. It counts each call by its
// idempotency key, so that a test can see whether one ran twice.
type Service struct {
	// Name appears in answers.
	Name string

	mu              sync.Mutex
	executions      map[string]int
	totalExecutions int
	faults          ServiceFaults
	inFlight        int
}

// ServiceFaults are the ways in which a service misbehaves.
type ServiceFaults struct {
	// Delay is the time a call takes.
	Delay time.Duration
	// DieAfterRun carries the call out and cuts the connection.
	AbortAfterRun bool
	// DieMidAnswer carries it out and sends half of the answer.
	AbortMidAnswer bool
	// Refuse turns every call away without running it.
	Refuse bool
	// Leaving is what the load report says.
	Draining bool
}

// NewService returns a healthy service.
func NewService(name string) *Service {
	return &Service{Name: name, executions: map[string]int{}}
}

// SetFaults changes how the service misbehaves from now on.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Ran is how often the call with a key was carried out.
func (s *Service) Executions(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[key]
}

// Total is the number of calls carried out.
func (s *Service) TotalExecutions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalExecutions
}

// Handler serves /v1/load and takes every other path as a call.
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
		writeJSON(w, http.StatusServiceUnavailable, target.ErrorAnswer{Code: target.CodeBusy, Message: "told to refuse"})
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

func (s *Service) recordExecution(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[key]++
	s.totalExecutions++
}

// ServiceAnswer is the body of each answer.
type ServiceAnswer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Echo    string `json:"echo"`
}
