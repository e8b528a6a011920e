package requestcontrol

import (
	"strings"

	"doorstack.dev/core/decision"
	"doorstack.dev/core/forward"
	"doorstack.dev/core/settings"
)

// reserveRepeat reserves one repeat in the fleet's repeat budget for the pool and reports whether the
// budget allows it.
func (f *forwarding) reserveRepeat() bool {
	d := f.director
	verdict := d.Board.Repeats.ReserveRepeat(f.request.Route.Pool.Name, d.Board.Members.FleetSize())
	rec := decision.Record{Kind: decision.KindRepeat, Outcome: decision.OutcomeAdmitted, Repeat: &verdict}
	if !verdict.Allowed {
		rec.Outcome, rec.Reason = decision.OutcomeRefused, "the fleet's limit on repeats"
	}
	d.record(f.request, rec)
	if verdict.Allowed {
		f.repeatReserved.Store(true)
	}
	return verdict.Allowed
}

// countRepeat counts a reserved repeat as sent.
func (f *forwarding) countRepeat() {
	if f.repeatReserved.Swap(false) {
		f.director.Board.Repeats.CountRepeat(f.request.Route.Pool.Name)
	}
}

// returnRepeat gives up a reserved repeat that was not sent.
func (f *forwarding) returnRepeat() {
	if f.repeatReserved.Swap(false) {
		f.director.Board.Repeats.ReturnRepeat(f.request.Route.Pool.Name)
	}
}

// restrictRules applies the rules that newer settings have for the call, which keeps the revision that it arrived under.
func (f *forwarding) restrictRules() {
	if path := f.newerPath(); path != nil {
		f.progress.RestrictRules(forward.Rules{Repeatable: path.Repeatable(), MaxAttempts: path.MaxAttempts})
	}
}

// newerPath returns the route that settings newer than the call's revision have for it, or nil.
func (f *forwarding) newerPath() *settings.ResolvedPath {
	r, view := f.request, f.director.Board.Settings.Current()
	if view == nil || view.Revision == r.Revision {
		return nil
	}
	uri, _, _ := strings.Cut(r.Forward.URI, "?")
	return view.Tree.MatchPath(r.Forward.Host, uri)
}
