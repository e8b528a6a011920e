// Package admin is the HTTP interface for operators: health, readiness, metrics, the status of the
// daemon and its fleet, and the recorded decisions about a request. The doorstack command and the
// load balancer use it.
package admin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"doorstack.dev/core/decision"
	"doorstack.dev/core/fault"
	"doorstack.dev/core/forward"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/relay"
	"doorstack.dev/node/telemetry"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Server serves requests of operators.
type Server struct {
	Board   *blackboard.Blackboard
	Metrics *telemetry.Metrics
	// Fleet queries the other daemons. It is nil on a daemon without peers.
	Fleet Fleet
	// Paths returns the state of this host's paths to targets. It is nil on a daemon that always connects directly.
	Paths func() relay.Status
}

// Fleet provides the status of the fleet and the records of other daemons.
type Fleet interface {
	// Status returns the peers, claims, shares and leases that this daemon knows.
	Status() FleetStatus
	// Explain returns the records of the daemon that handled a request.
	Explain(request string) Explanation
}

// FleetStatus is the fleet as known to this daemon.
type FleetStatus struct {
	Members []MemberStatus `json:"members"`
	Claims  ClaimStatus    `json:"claims"`
	Shares  []ShareStatus  `json:"shares,omitempty"`
	Leases  []LeaseStatus  `json:"leases,omitempty"`
	// Coordinators are the daemons that this daemon asks for placements, by pool.
	Coordinators []CoordinatorStatus `json:"coordinators,omitempty"`
}

// CoordinatorStatus is the daemon that this daemon asks for the placements of a pool's calls.
type CoordinatorStatus struct {
	Pool string `json:"pool"`
	// Coordinator is the daemon asked now, and First the first of the ranking, which differs while that one cannot
	// be asked.
	Coordinator string `json:"coordinator"`
	First       string `json:"first"`
	// State is that of the link to the first: not linked, linking, ready, late, busy, failed, or "this daemon".
	State string `json:"state"`
	// RoundTrip is the mean measured round-trip time to the first; zero if none was measured.
	RoundTrip time.Duration `json:"round_trip,omitempty"`
}

// MemberStatus is a member of the fleet as known to this daemon. Revision is that of its settings.
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

// ClaimStatus describes the idempotency keys that this daemon stores as a witness. Granted and
// Denied count the claims of requests on them.
type ClaimStatus struct {
	Keys    int   `json:"keys"`
	Bytes   int64 `json:"bytes"`
	Granted int64 `json:"granted"`
	Denied  int64 `json:"denied"`
}

// ShareStatus is the fraction of an account's limits that this daemon may use. Floor is the part of
// it that needs no lease.
type ShareStatus struct {
	Account  string  `json:"account"`
	Fraction float64 `json:"fraction"`
	Floor    float64 `json:"floor"`
}

// LeaseStatus is the lease of a target's owner.
type LeaseStatus struct {
	Target       string    `json:"target"`
	Owner        string    `json:"owner"`
	FencingToken int64     `json:"fence"`
	ExpiresAt    time.Time `json:"expires"`
}

// Status is the answer of GET /v1/status, which "doorstack status" shows.
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
	// StorePosition is the position up to which this daemon knows the targets' entries in the
	// platform's store: era (it rises with each restore of the store) and revision, or the
	// revision alone if the store has no eras.
	StorePosition string `json:"store,omitempty"`
	// Evacuated are the data centres whose targets get no new requests.
	Evacuated []string `json:"evacuated,omitempty"`
	// Quarantined is the number of calls that no daemon sends because they crash targets.
	Quarantined int `json:"quarantined,omitempty"`
	// QuarantinedParts is the number of prompt parts that are quarantined.
	QuarantinedParts int                        `json:"quarantined_parts,omitempty"`
	InFlight         int64                      `json:"in_flight"`
	Waiting          map[string]int             `json:"waiting"`             // requests by pool
	HostsRead        time.Time                  `json:"hosts_read,omitzero"` // when the host list was read
	Accounts         []blackboard.AccountStatus `json:"accounts"`
	Targets          []blackboard.TargetStatus  `json:"targets"`
	Explain          ExplainStatus              `json:"explain"`
	Fleet            FleetStatus                `json:"fleet"`
	Paths            relay.Status               `json:"paths"`
	// Started is when this process started. Traffic counts from then on.
	Started time.Time           `json:"started,omitzero"`
	Traffic []telemetry.Traffic `json:"traffic,omitempty"`
	// Incomplete says which part of the status is missing and why.
	Incomplete string `json:"incomplete,omitempty"`
}

// TargetStatus is the status of a target.
type TargetStatus = blackboard.TargetStatus

// AccountStatus is the use of a client account at this daemon.
type AccountStatus = blackboard.AccountStatus

// ExplainStatus is the memory used by recorded decisions, in bytes, and the number of records
// evicted from it.
type ExplainStatus struct {
	Bytes   int64 `json:"bytes"`
	Evicted int64 `json:"evicted"`
}

// Explanation is the answer of GET /v1/explain, which "doorstack explain" shows.
type Explanation struct {
	Request string `json:"request"`
	// Daemon is the name of the daemon that has the records.
	Daemon string `json:"daemon"`
	// Records are the decisions about the request, oldest first.
	Records []decision.Record `json:"records"`
	// Replays are the results of computing the decisions in Records again, by index.
	Replays []decision.ReplayResult `json:"replays,omitempty"`
	// Note says why there are no records, or which may be missing.
	Note string `json:"note,omitempty"`
}

// Handler returns the handler of the endpoints for operators.
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

// ReadyHandler returns a handler that reports on every path whether this daemon is serving.
func (s *Server) ReadyHandler() http.Handler { return http.HandlerFunc(s.serveReady) }

// writeJSON writes v as the JSON body of an answer.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// serveReady answers 200 while the daemon is serving, and 503 with its phase otherwise.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if phase := s.Board.Phase(); phase != blackboard.Serving {
		http.Error(w, phase.String(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// Status returns the current status of this daemon.
func (s *Server) Status() Status {
	now := time.Now()
	self := s.Board.Self
	bytes, evicted := s.Board.Decisions.Usage()
	_, read := s.Board.Members.Hosts()
	quarantines := s.Board.Poison.Counts()
	status := Status{
		Name:          self.Name,
		DataCentre:    self.DataCentre,
		Region:        self.Region,
		Phase:         s.Board.Phase().String(),
		Incarnation:   self.Incarnation,
		Rejected:      s.Board.Settings.Rejected(),
		StorePosition: s.storePosition(),
		Evacuated:     s.Board.EvacuatedDataCentres(),
		Quarantined:   quarantines.Requests, QuarantinedParts: quarantines.Parts,
		InFlight:  s.Board.InFlight(),
		Waiting:   s.Board.Queues.Lengths(),
		HostsRead: read,
		Accounts:  s.accounts(),
		Targets:   s.Board.Targets.Status(now),
		Explain:   ExplainStatus{Bytes: bytes, Evicted: evicted},
		Started:   now.Add(-s.Board.Age()),
	}
	if view := s.Board.Settings.Current(); view != nil {
		status.Revision = view.Revision
		status.Digest = strconv.FormatUint(view.Digest, 16)
		status.Adopted = view.Adopted
	}
	if s.Fleet != nil {
		status.Fleet = s.Fleet.Status()
	}
	if s.Paths != nil {
		status.Paths = s.Paths()
	}
	traffic, err := s.Metrics.Traffic()
	if err != nil {
		status.Incomplete = "traffic between daemons: " + err.Error()
	}
	status.Traffic = traffic
	return status
}

// storePosition returns the store position up to which the targets' entries are known. It is
// empty if none were read.
func (s *Server) storePosition() string {
	at := s.Board.Directory.Revision()
	if at == 0 {
		return ""
	}
	return at.String()
}

// Explain returns the records that this daemon has of a request.
func (s *Server) Explain(request string) Explanation {
	e := Explanation{Request: request, Daemon: s.Board.Self.Name, Records: s.Board.Decisions.Find(request)}
	if _, evicted := s.Board.Decisions.Usage(); len(e.Records) == 0 && evicted > 0 {
		e.Note = "this daemon has no record of the request; " + strconv.FormatInt(evicted, 10) + " older records were evicted, possibly including those of the request"
	} else if len(e.Records) == 0 {
		e.Note = "this daemon has no record of the request; it has evicted no record since its start, so it did not handle the request since then"
	}
	return e
}

// serveExplain answers with the records of this daemon or, unless local is set, of the daemon that
// has them. With replay set, each decision is computed again from its record.
func (s *Server) serveExplain(w http.ResponseWriter, r *http.Request) {
	request := forward.LocalID(r.PathValue("request"))
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

// maxDecisions is the largest number of records in an answer of GET /v1/decisions.
const maxDecisions = 1000

// serveDecisions answers with the last recorded decisions.
func (s *Server) serveDecisions(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.URL.Query().Get("last"))
	if err != nil || n <= 0 || n > maxDecisions {
		n = maxDecisions
	}
	writeJSON(w, http.StatusOK, s.Board.Decisions.Last(n))
}

// Effective is the answer of GET /v1/effective, which "doorstack settings effective" shows.
type Effective struct {
	Revision int64                     `json:"revision"`
	Values   []settings.EffectiveValue `json:"values"`
}

// serveEffective answers with the effective settings of a node of the tree.
func (s *Server) serveEffective(w http.ResponseWriter, r *http.Request) {
	view := s.Board.Settings.Current()
	if view == nil {
		writeJSON(w, http.StatusServiceUnavailable, fault.New(fault.NotReady, "this daemon has no settings yet", "retry the request"))
		return
	}
	values, err := view.Tree.EffectiveValues(r.URL.Query().Get("path"))
	if err != nil {
		writeJSON(w, http.StatusNotFound, fault.From(err))
		return
	}
	writeJSON(w, http.StatusOK, Effective{Revision: view.Revision, Values: values})
}

// ParseExplanation decodes an explanation that another daemon sent. If that fails, it returns an
// empty one, which counts as no answer.
func ParseExplanation(data []byte) Explanation {
	var e Explanation
	if err := json.Unmarshal(data, &e); err != nil {
		return Explanation{}
	}
	return e
}

// accounts lists the accounts in use here and those whose calls this daemon dispatched lately.
func (s *Server) accounts() []AccountStatus {
	list, shares := s.Board.Accounts.Status(), s.Board.Queues.LargestShares(time.Now())
	for i := range list {
		if share, ok := shares[list[i].Account]; ok {
			list[i].Largest = &share
			delete(shares, list[i].Account)
		}
	}
	for account, share := range shares {
		list = append(list, AccountStatus{Account: account, Largest: &share})
	}
	return list
}
