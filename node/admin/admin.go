// Package admin is the interface for operators: health, metrics, status and
// explanations.
package admin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"doorstack.dev/core/decision"
	"doorstack.dev/core/fault"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/telemetry"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Server serves operators.
type Server struct {
	Board   *blackboard.Blackboard
	Metrics *telemetry.Metrics
	// Fleet adds what the peers know; nil on a daemon without peers.
	Fleet Fleet
}

// Fleet finds what other daemons know.
type Fleet interface {
	// Status describes the peers, claims and shares.
	Status() FleetStatus
	// Explain asks the daemon that handled a request for its records.
	Explain(request string) Explanation
}

// FleetStatus is the fleet as this daemon sees it.
type FleetStatus struct {
	Members []MemberStatus `json:"members"`
	Claims  ClaimStatus    `json:"claims"`
	Shares  []ShareStatus  `json:"shares,omitempty"`
	Leases  []LeaseStatus  `json:"leases,omitempty"`
}

// MemberStatus is a daemon as this one sees it.
type MemberStatus struct {
	Name        string    `json:"name"`
	Address     string    `json:"address"`
	DataCentre  string    `json:"data_centre"`
	Region      string    `json:"region"`
	State       string    `json:"state"`
	Incarnation int64     `json:"incarnation"`
	Revision    int64     `json:"revision"`
	LastHeard   time.Time `json:"heard,omitzero"`
}

// ClaimStatus describes the keys that this daemon holds as a witness.
type ClaimStatus struct {
	Keys    int   `json:"keys"`
	Bytes   int64 `json:"bytes"`
	Granted int64 `json:"granted"`
	Denied  int64 `json:"denied"`
}

// ShareStatus is an account's share at this daemon.
type ShareStatus struct {
	Account  string  `json:"account"`
	Fraction float64 `json:"fraction"`
	Floor    float64 `json:"floor"`
}

// LeaseStatus is a target's owner.
type LeaseStatus struct {
	Target       string    `json:"target"`
	Owner        string    `json:"owner"`
	FencingToken int64     `json:"fence"`
	ExpiresAt    time.Time `json:"expires"`
}

// Status is a daemon's answer to "doorstack status".
type Status struct {
	Name        string               `json:"name"`
	DataCentre  string               `json:"data_centre"`
	Region      string               `json:"region"`
	Phase       string               `json:"phase"`
	Incarnation int64                `json:"incarnation"`
	Revision    int64                `json:"revision"`
	Digest      string               `json:"digest"`
	Adopted     time.Time            `json:"adopted,omitzero"`
	Rejected    blackboard.Rejection `json:"rejected,omitzero"`
	// Store is the position up to which the targets' entries in the platform's store are known:
	// its era and revision, or the revision alone where it tells no era.
	StorePosition string `json:"store,omitempty"`
	// Quarantined is the number of calls that no daemon sends, since they end their targets.
	Quarantined int                        `json:"quarantined,omitempty"`
	InFlight    int64                      `json:"in_flight"`
	Waiting     map[string]int             `json:"waiting"`
	HostsRead   time.Time                  `json:"hosts_read,omitzero"`
	Accounts    []blackboard.AccountStatus `json:"accounts"`
	Targets     []blackboard.TargetStatus  `json:"targets"`
	Explain     ExplainStatus              `json:"explain"`
	Fleet       FleetStatus                `json:"fleet"`
	// Started is when this process started; Traffic counts since then.
	Started time.Time           `json:"started,omitzero"`
	Traffic []telemetry.Traffic `json:"traffic,omitempty"`
	// Incomplete says what could not be told and why.
	Incomplete string `json:"incomplete,omitempty"`
}

// TargetStatus is a target in a Status.
type TargetStatus = blackboard.TargetStatus

// AccountStatus is an account in a Status.
type AccountStatus = blackboard.AccountStatus

// ExplainStatus is the memory of recorded decisions.
type ExplainStatus struct {
	Bytes   int64 `json:"bytes"`
	Evicted int64 `json:"evicted"`
}

// Explanation is a daemon's answer to "doorstack explain".
type Explanation struct {
	Request string `json:"request"`
	// Daemon is who answered.
	Daemon string `json:"daemon"`
	// Records are the decisions, oldest first.
	Records []decision.Record `json:"records"`
	// Replays stand beside Records.
	Replays []decision.ReplayResult `json:"replays,omitempty"`
	// Note says why there are none, or what may be missing.
	Note string `json:"note,omitempty"`
}

// Handler routes the endpoints.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.Metrics.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Status()) })
	mux.HandleFunc("GET /v1/explain/{request}", s.serveExplain)
	mux.HandleFunc("GET /v1/decisions", s.serveDecisions)
	mux.HandleFunc("GET /v1/effective", s.serveEffective)
	return mux
}

// ReadyHandler answers on every path whether this daemon takes connections.
func (s *Server) ReadyHandler() http.Handler { return http.HandlerFunc(s.serveReady) }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if phase := s.Board.Phase(); phase != blackboard.Serving {
		http.Error(w, phase.String(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// Status describes this daemon.
func (s *Server) Status() Status {
	now := time.Now()
	self := s.Board.Self
	bytes, evicted := s.Board.Decisions.Usage()
	_, read := s.Board.Members.Hosts()
	quarantined, _ := s.Board.Poison.Counts()
	status := Status{
		Name:          self.Name,
		DataCentre:    self.DataCentre,
		Region:        self.Region,
		Phase:         s.Board.Phase().String(),
		Incarnation:   self.Incarnation,
		Rejected:      s.Board.Settings.Rejected(),
		StorePosition: s.storePosition(),
		Quarantined:   quarantined,
		InFlight:      s.Board.InFlight(),
		Waiting:       s.Board.Queues.Lengths(),
		HostsRead:     read,
		Accounts:      s.Board.Accounts.Status(),
		Targets:       s.Board.Targets.Status(now),
		Explain:       ExplainStatus{Bytes: bytes, Evicted: evicted},
		Started:       now.Add(-s.Board.Age()),
	}
	if view := s.Board.Settings.Current(); view != nil {
		status.Revision = view.Revision
		status.Digest = strconv.FormatUint(view.Digest, 16)
		status.Adopted = view.Adopted
	}
	if s.Fleet != nil {
		status.Fleet = s.Fleet.Status()
	}
	traffic, err := s.Metrics.Traffic()
	if err != nil {
		status.Incomplete = "traffic between daemons: " + err.Error()
	}
	status.Traffic = traffic
	return status
}

// storePosition is how far the targets' entries are known; empty where none were read.
func (s *Server) storePosition() string {
	at := s.Board.Directory.Revision()
	if at == 0 {
		return ""
	}
	return at.String()
}

// Explain returns this daemon's own records of a request.
func (s *Server) Explain(request string) Explanation {
	e := Explanation{Request: request, Daemon: s.Board.Self.Name, Records: s.Board.Decisions.Find(request)}
	if _, evicted := s.Board.Decisions.Usage(); len(e.Records) == 0 && evicted > 0 {
		e.Note = "no record here; " + strconv.FormatInt(evicted, 10) + " older records have been dropped, this request's may be among them"
	} else if len(e.Records) == 0 {
		e.Note = "no record here; no record has been dropped since this daemon started, so it did not handle the request since then"
	}
	return e
}

func (s *Server) serveExplain(w http.ResponseWriter, r *http.Request) {
	request := r.PathValue("request")
	e := s.Explain(request)
	if len(e.Records) == 0 && s.Fleet != nil && r.URL.Query().Get("local") == "" {
		e = s.Fleet.Explain(request)
	}
	if r.URL.Query().Get("replay") != "" {
		for i := range e.Records {
			e.Replays = append(e.Replays, e.Records[i].Replay())
		}
	}
	status := http.StatusOK
	if len(e.Records) == 0 {
		status = http.StatusNotFound
	}
	writeJSON(w, status, e)
}

// maxDecisions bounds the answer of GET /v1/decisions.
const maxDecisions = 1000

func (s *Server) serveDecisions(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.URL.Query().Get("last"))
	if err != nil || n <= 0 || n > maxDecisions {
		n = maxDecisions
	}
	writeJSON(w, http.StatusOK, s.Board.Decisions.Last(n))
}

// Effective is a daemon's answer to "doorstack settings effective".
type Effective struct {
	Revision int64                     `json:"revision"`
	Values   []settings.EffectiveValue `json:"values"`
}

func (s *Server) serveEffective(w http.ResponseWriter, r *http.Request) {
	view := s.Board.Settings.Current()
	if view == nil {
		writeJSON(w, http.StatusServiceUnavailable, fault.New(fault.NotReady, "there are no settings yet", "ask again"))
		return
	}
	values, err := view.Tree.EffectiveValues(r.URL.Query().Get("path"))
	if err != nil {
		writeJSON(w, http.StatusNotFound, fault.From(err))
		return
	}
	writeJSON(w, http.StatusOK, Effective{Revision: view.Revision, Values: values})
}

// ParseExplanation reads an explanation that another daemon sent; one that
// cannot be read counts as no answer.
func ParseExplanation(data []byte) Explanation {
	var e Explanation
	if err := json.Unmarshal(data, &e); err != nil {
		return Explanation{}
	}
	return e
}
