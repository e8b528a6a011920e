// Package telemetry holds the metrics and the log output of a daemon. Its Recorder puts each
// decision of the daemon on the blackboard (the daemon's state in memory), in the metrics and in
// the log, where lines about successful requests are limited in rate. Operators read the metrics
// and the log; the package itself decides only which lines to log.
package telemetry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"doorstack.dev/core/decision"
	"doorstack.dev/core/fault"
	"doorstack.dev/core/routing"
	"doorstack.dev/node/blackboard"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Metrics are the metrics of a daemon. docs/OPERATIONS.md lists them.
type Metrics struct {
	Registry      *prometheus.Registry
	Requests      *prometheus.CounterVec
	FirstToken    *prometheus.HistogramVec
	Tokens        prometheus.Counter
	Retries       *prometheus.CounterVec
	SilentTargets *prometheus.CounterVec
	// AnswerEndChecks is the time, in seconds, of the checks whether a target has outlived an answer that ends with its
	// connection, by outcome.
	AnswerEndChecks *prometheus.HistogramVec
	// SingleSends counts the sends of forwarded calls that may run once, by pool and what is known of the execution afterwards.
	SingleSends *prometheus.CounterVec
	// RepeatedRequests counts the requests that may run once, were sent before and came again, by pool and by who noticed it.
	RepeatedRequests *prometheus.CounterVec
	// SkippedEvents counts the events that targets left out when they went on with a stream.
	SkippedEvents  *prometheus.CounterVec
	Decisions      *prometheus.CounterVec
	QueuedRequests *prometheus.GaugeVec
	// WaitingByKind and DispatchedByKind are the requests that wait in, and were dispatched from, the
	// queues, by pool and kind of prompt (short, long). LargestAccountShare is the largest part of
	// the cost dispatched lately that one account took, by pool.
	WaitingByKind, LargestAccountShare *prometheus.GaugeVec
	DispatchedByKind                   *prometheus.CounterVec
	Claims                             *prometheus.CounterVec
	PeerFrames                         *prometheus.CounterVec
	PeerBytes                          *prometheus.CounterVec
	PeerRefused                        *prometheus.CounterVec
	PeerUnwantedBytes                  *prometheus.CounterVec
	PeerWait                           *prometheus.HistogramVec
	SettingsRevision                   prometheus.Gauge
	// SettingsLeftOut is the number of problems for which entries of the revision in force are left out.
	SettingsLeftOut prometheus.Gauge
	SettingsParse   prometheus.Histogram
	PlatformReads   *prometheus.CounterVec
	// Pauses counts the pauses of the process that made load reports, leases and permits invalid.
	Pauses               prometheus.Counter
	ReservationsReleased prometheus.Counter
	Orders               *prometheus.CounterVec
	LogLinesOmitted      prometheus.Counter
	// Lag observes the time, in seconds, that incoming data waits for the CPU.
	Lag prometheus.Histogram
	// Quarantines counts the verdicts that this daemon reached or learned of.
	Quarantines *prometheus.CounterVec
	// Crashes counts the sends during which the target closed the connection.
	Crashes *prometheus.CounterVec
	// TargetNotices counts the new notices of targets about themselves.
	TargetNotices *prometheus.CounterVec
	// StartStages is the time, in seconds from the process start, to each stage of the start.
	StartStages *prometheus.GaugeVec
	// StartHolds is the time, in seconds, for which calls were held because the daemon started, by
	// outcome (served, refused, disconnected).
	StartHolds *prometheus.HistogramVec
	// StartRefusals counts the calls refused because the daemon started, by reason.
	StartRefusals *prometheus.CounterVec
	// ClientConnections is the number of connections of clients, by listener.
	ClientConnections *prometheus.GaugeVec
	// ClientConnectionsEnded counts the connections that were ended because of their clients, by listener and reason.
	ClientConnectionsEnded *prometheus.CounterVec
	// UnknownHeaders counts the unknown headers in targets' answers.
	UnknownHeaders prometheus.Counter
	// EvacuatedDataCentres is the number of data centres whose targets get no new requests.
	EvacuatedDataCentres prometheus.Gauge
	// StoreRestores counts the restores of the platform's store from an older copy.
	StoreRestores prometheus.Counter
	// CoordinatorLost counts the placement requests that a coordinator did not answer.
	CoordinatorLost *prometheus.CounterVec
	// TargetConnects counts the attempts to connect to targets, by way and outcome. UnreachedTargets is the number of
	// targets whose latest direct attempt failed, LostPaths of those to which this host's own path is lost.
	TargetConnects              *prometheus.CounterVec
	UnreachedTargets, LostPaths prometheus.Gauge
	// RelayRequests counts the requests of other daemons to connect to a target, by outcome.
	RelayRequests *prometheus.CounterVec
	// Introductions counts the introductions of this daemon to seeds and lost members of an open fleet.
	Introductions *prometheus.CounterVec
	// CoordinationSteps counts the steps toward a placement, by pool, action and reason (see
	// coordination.Step).
	CoordinationSteps *prometheus.CounterVec

	// traffic holds only the counters that Traffic reads.
	traffic *prometheus.Registry
}

// lengthClasses are the values of the prompt length label with their upper bounds in tokens.
var lengthClasses = []struct {
	below int64
	label string
}{
	{4_000, "under_4k"},
	{32_000, "4k_32k"},
	{100_000, "32k_100k"},
	{400_000, "100k_400k"},
}

// LengthClass returns the label value of a prompt length in tokens.
func LengthClass(tokens int64) string {
	for _, c := range lengthClasses {
		if tokens < c.below {
			return c.label
		}
	}
	return "over_400k"
}

const namespace = "doorstack"

// The names and labels of the counters of messages between daemons.
const (
	peerFramesName = "peer_frames_total"
	labelDirection = "direction"
	labelKind      = "kind"
	// DirectionIn and DirectionOut are the values of the direction label.
	DirectionIn  = "in"
	DirectionOut = "out"
)

// NewMetrics returns metrics that are registered in a new registry.
func NewMetrics() *Metrics {
	m := &Metrics{
		Registry:               prometheus.NewRegistry(),
		Requests:               counter("requests_total", "Requests ended, by route and kind of outcome.", "route", "outcome"),
		FirstToken:             histogram("first_token_seconds", "Time from arrival to the first token, by prompt length.", "length", prometheus.ExponentialBuckets(0.005, 2, 16)),
		Tokens:                 prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "relayed_tokens_total", Help: "Tokens relayed to callers."}),
		Retries:                counter("retries_total", "Attempts after the first, by pool.", "pool"),
		SilentTargets:          counter("silent_targets_total", "Attempts ended because the target fell silent, by pool.", "pool"),
		AnswerEndChecks:        histogram("answer_end_check_seconds", "Time to check whether a target has outlived an answer that ends with its connection, by outcome.", "outcome", prometheus.ExponentialBuckets(0.0005, 2, 12)),
		SingleSends:            counter("single_sends_total", "Sends of forwarded calls that may run once, by pool and what is known of the execution afterwards.", "pool", "execution"),
		RepeatedRequests:       counter("repeated_requests_total", "Requests that may run once, were sent before and came again under their id, by pool and by who noticed it.", "pool", "seen_by"),
		SkippedEvents:          counter("skipped_events_total", "Event ids that targets left out when they resumed a stream, by pool.", "pool"),
		Decisions:              counter("decisions_total", "Decisions, by kind and outcome.", "kind", "outcome"),
		QueuedRequests:         prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "queue_requests", Help: "Requests that wait, by pool."}, []string{"pool"}),
		WaitingByKind:          prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "queue_waiting", Help: "Requests that wait, by pool and kind of prompt."}, []string{"pool", labelKind}),
		DispatchedByKind:       counter("queue_dispatched_total", "Requests dispatched from the queue, by pool and kind of prompt.", "pool", labelKind),
		LargestAccountShare:    prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "queue_largest_account_share", Help: "Largest part of the cost dispatched lately that one account took, by pool."}, []string{"pool"}),
		Claims:                 counter("claims_total", "Claims of idempotency keys, by outcome.", "outcome"),
		PeerFrames:             counter(peerFramesName, "Frames between daemons, by direction and kind.", labelDirection, labelKind),
		PeerBytes:              counter("peer_bytes_total", "Bytes between daemons, by direction and kind.", labelDirection, labelKind),
		PeerRefused:            counter("peer_refused_total", "Peers and frames refused, by reason.", "reason"),
		PeerUnwantedBytes:      counter("peer_unwanted_bytes_total", "Bytes of answers that came when nobody waited for them any more, by kind.", "kind"),
		PeerWait:               histogram("peer_wait_seconds", "Time until a frame for a peer was written, behind others on its link, by kind.", "kind", prometheus.ExponentialBuckets(0.004, 4, 6)),
		SettingsRevision:       prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "settings_revision", Help: "Revision of the settings in force."}),
		SettingsLeftOut:        prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "settings_left_out", Help: "Problems for which entries of the settings in force are left out."}),
		SettingsParse:          prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: "settings_parse_seconds", Help: "Time to check and adopt a revision.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 12)}),
		PlatformReads:          counter("platform_reads_total", "Reads of the platform, by what and result.", "what", "result"),
		Pauses:                 prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "pauses_total", Help: "Pauses of the process that voided its beliefs."}),
		ReservationsReleased:   prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "reservations_released_total", Help: "Reservations released for daemons that are gone."}),
		Orders:                 counter("orders_total", "Orders to targets, by outcome.", "outcome"),
		Lag:                    prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: "lag_seconds", Help: "How long what arrives waits for the processor.", Buckets: prometheus.ExponentialBuckets(0.001, 3, 8)}),
		CoordinatorLost:        counter("coordinator_lost_total", "Questions for a place that the pool's coordinator left unanswered, by pool and reason.", "pool", "reason"),
		TargetConnects:         counter("target_connects_total", "Attempts to connect to targets, by way and outcome.", "way", "outcome"),
		RelayRequests:          counter("relay_requests_total", "Requests of other daemons to connect to a target in their place, by outcome.", "outcome"),
		LostPaths:              prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "lost_paths", Help: "Targets that other daemons reach and this host does not."}),
		UnreachedTargets:       prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "unreached_targets", Help: "Targets to which the latest direct attempt to connect failed."}),
		Introductions:          counter("introductions_total", "Introductions of this daemon to seeds and lost members, by outcome.", "outcome"),
		CoordinationSteps:      counter("coordination_steps_total", "Steps toward a placement: requests to a coordinator, calls held, redirects, and calls placed by this daemon itself; by pool, action and reason.", "pool", "action", "reason"),
		Quarantines:            counter("quarantines_total", "Verdicts on calls and prompt parts that crash targets, reached here or learned of, by subject and change.", "subject", "change"),
		Crashes:                counter("crashes_total", "Sends whose connection the target's end closed before the answer was whole, by pool.", "pool"),
		TargetNotices:          counter("target_notices_total", "News of targets about themselves in answers: that they leave, want rest, name or lift a limit; by pool and word.", "pool", "notice"),
		StartStages:            prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "start_seconds", Help: "Time from the process's start to each stage of it."}, []string{"stage"}),
		StartHolds:             histogram("start_hold_seconds", "How long calls were held while the daemon started, by outcome.", "outcome", prometheus.ExponentialBuckets(0.05, 2, 8)),
		StartRefusals:          counter("start_refusals_total", "Calls refused because the daemon was starting, by reason.", "reason"),
		ClientConnections:      prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "client_connections", Help: "Connections of clients, by listener; on that for peers, those of clients that have not proved to be daemons."}, []string{"listener"}),
		ClientConnectionsEnded: counter("client_connections_ended_total", "Connections that were ended because of their clients, by listener and reason.", "listener", "reason"),
		UnknownHeaders:         prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "unread_headers_total", Help: "Headers of targets' answers that this daemon does not understand, each name once."}),
		EvacuatedDataCentres:   prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "evacuated_data_centres", Help: "Data centres whose targets get no new requests."}),
		StoreRestores:          prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "store_returns_total", Help: "Returns of the platform's store from an older copy that this daemon saw."}),
		LogLinesOmitted:        prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "log_lines_left_out_total", Help: "Log lines about requests that went well, left out above the bound."}),
	}
	m.Registry.MustRegister(m.Requests, m.FirstToken, m.Tokens, m.Retries, m.SilentTargets, m.SingleSends, m.RepeatedRequests, m.SkippedEvents, m.AnswerEndChecks, m.Decisions, m.QueuedRequests, m.WaitingByKind, m.DispatchedByKind, m.LargestAccountShare, m.Claims,
		m.PeerFrames, m.PeerBytes, m.PeerRefused, m.PeerUnwantedBytes, m.PeerWait, m.SettingsRevision, m.SettingsLeftOut, m.SettingsParse, m.PlatformReads, m.Pauses, m.ReservationsReleased,
		m.Orders, m.LogLinesOmitted, m.Lag, m.CoordinatorLost, m.TargetConnects, m.UnreachedTargets, m.LostPaths, m.RelayRequests, m.Introductions, m.CoordinationSteps, m.Quarantines, m.Crashes, m.TargetNotices, m.UnknownHeaders, m.StartStages, m.StartHolds, m.StartRefusals, m.ClientConnections, m.ClientConnectionsEnded, m.EvacuatedDataCentres, m.StoreRestores, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.traffic = prometheus.NewRegistry()
	m.traffic.MustRegister(m.PeerFrames, m.PeerBytes)
	return m
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogram(name, help, label string, buckets []float64) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, []string{label})
}

// RegisterCallMemory registers the gauge of the memory that the daemon holds for its callers, in bytes.
func (m *Metrics) RegisterCallMemory(inUse func() int64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "call_memory_bytes", Help: "Memory held for callers: bodies of requests, held calls and unread parts of answers.",
	}, func() float64 { return float64(inUse()) }))
}

// RegisterDroppedLines registers the counter of dropped log lines, whose value dropped returns.
func (m *Metrics) RegisterDroppedLines(dropped func() int64) {
	m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: "log_lines_dropped_total", Help: "Log lines that found the queue full or could not be written.",
	}, func() float64 { return float64(dropped()) }))
}

// Recorder records decisions on the blackboard, in the log and in the metrics.
type Recorder struct {
	Board   *blackboard.Blackboard
	Log     *slog.Logger
	Metrics *Metrics

	mu             sync.Mutex
	routine        *routineLimiter
	unknownHeaders unknownHeaderSet
	paths          pathState // as last logged
}

// Record records a decision. It sets the daemon's name and, where missing, the time.
func (r *Recorder) Record(d decision.Record) {
	d.Daemon, d.Reason = r.Board.Self.Name, fault.Shorten(d.Reason)
	if d.At.IsZero() {
		d.At = time.Now()
	}
	r.Board.Decisions.Put(d)
	r.Metrics.Decisions.WithLabelValues(string(d.Kind), d.Outcome).Inc()
	if isRoutine(&d) && !r.allowRoutineLine(d.At) {
		r.Metrics.LogLinesOmitted.Inc()
		return
	}
	r.Log.LogAttrs(context.Background(), slog.LevelInfo, "decision", logAttrs(&d)...)
}

// isRoutine reports whether a decision is one of the many about successful requests.
func isRoutine(d *decision.Record) bool {
	switch d.Kind {
	case decision.KindRoute, decision.KindPlace:
		return d.Outcome == string(routing.Place)
	case decision.KindAdmit:
		return d.Outcome == decision.OutcomeAdmitted
	case decision.KindAnswer, decision.KindAttempt:
		return d.Outcome == decision.OutcomeComplete
	default:
		return false
	}
}

// allowRoutineLine reports whether one more line about a successful request may be logged.
func (r *Recorder) allowRoutineLine(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.routine == nil {
		r.routine = newRoutineLimiter(now)
	}
	return r.routine.allow(now)
}

// logAttrs returns the attributes of a decision's log line: everything but the full list of
// candidates, which "doorstack explain" shows.
func logAttrs(d *decision.Record) []slog.Attr {
	list := make([]slog.Attr, 0, 16)
	add := func(key, value string) {
		if value != "" {
			list = append(list, slog.String(key, value))
		}
	}
	add("kind", string(d.Kind))
	add("outcome", d.Outcome)
	add("request", d.Request)
	add("account", d.Account)
	add("route", d.Route)
	add("pool", d.Pool)
	add("target", d.Target)
	add("attempt", d.Attempt)
	add("call", d.CallKey)
	add("by", d.DecidedBy)
	add("reason", d.Reason)
	if d.Revision != 0 {
		list = append(list, slog.Int64("revision", d.Revision))
	}
	if d.Status != 0 {
		list = append(list, slog.Int("status", d.Status), slog.String("framing", d.Framing))
	}
	if len(d.SharedParts) > 0 {
		list = append(list, slog.Any("shared_parts", d.SharedParts), slog.Int("events_received", d.EventsReceived))
	}
	if c := d.Routing; c != nil {
		list = append(list,
			slog.Int64("prompt_tokens", c.Request.PromptTokens),
			slog.Int("considered", c.Considered),
			slog.Any("rejections", c.Rejections))
		if len(c.Candidates) > 0 && c.Chosen != "" {
			list = append(list, slog.Float64("best_s", c.Candidates[0].Scores.Total()))
		}
	}
	if len(list) > 0 && d.Routing != nil && d.Routing.Params.Timing != nil {
		c := d.Routing
		list = append(list, slog.Float64("reading_s", c.PrefillTime), slog.Int("helpers", len(c.Helpers)), slog.Float64("waited_s", c.Request.Waited),
			slog.Float64("foreseen_s", c.PredictedFirstEvent))
		if c.Pool != nil {
			list = append(list, slog.Any("state", c.Pool))
		}
	}
	if st := d.Stream; st != nil {
		list = append(list, slog.Int("events", st.Events), slog.Int("sends", st.Sends), slog.Int64("first_ms", st.FirstEvent.Milliseconds()), slog.Int64("gap_ms", st.LongestGap.Milliseconds()),
			slog.Int64("took_ms", st.Total.Milliseconds()), slog.Int64("goal_ms", st.FirstEventGoal.Milliseconds()), slog.Int64("gap_goal_ms", st.LongestGapGoal.Milliseconds()))
		if st.Skipped > 0 {
			list = append(list, slog.Int64("skipped", st.Skipped))
		}
	}
	if s := d.Send; s != nil {
		list = append(list, slog.String("caller", s.Caller), slog.String("address", s.Address), slog.String("connection", s.Connection), slog.String("relay", s.Relay),
			slog.Bool("reused", s.Reused), slog.Int("broken", s.Broken), slog.Int64("bytes", s.Bytes), slog.String("execution", string(s.Execution)))
	}
	if c := d.SendClaim; c != nil {
		list = append(list, slog.Any("claim_holders", c.Holders), slog.Any("claim_silent", c.Silent), slog.Any("claim_ended", c.Ended), slog.String("repeated_at", c.RepeatedAt))
	}
	if v := d.Repeat; v != nil {
		list = append(list, slog.Int("calls", v.Calls), slog.Int("repeats", v.Repeats), slog.Float64("span_s", v.Span.Seconds()),
			slog.Int("daemons", v.Daemons), slog.Float64("limit", v.Limit))
	}
	if c := d.Claim; c != nil {
		list = append(list, slog.Int("granted", c.Granted), slog.Int("denied", c.Denied), slog.Int("silent", c.Unanswered), slog.Int("needed", c.Needed))
	}
	return list
}
