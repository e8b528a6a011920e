package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"doorstack.dev/core/routing"
	"doorstack.dev/node/admin"
	"doorstack.dev/node/blackboard"
)

// statusCommand shows the status of a daemon and its fleet.
type statusCommand struct {
	adminFlags
	Watch   bool          `help:"Refresh the status until interrupted."`
	Every   time.Duration `default:"1s" help:"The refresh interval with --watch."`
	Traffic bool          `help:"Show the traffic between the daemon and its peers, by kind of message."`
}

// clearScreen is the terminal sequence that moves the cursor home and clears the screen.
const clearScreen = "\x1b[H\x1b[2J"

// Run implements the command.
func (c *statusCommand) Run() error {
	for {
		var s admin.Status
		if err := c.getJSON("/v1/status", &s, false); err != nil {
			return err
		}
		if c.Watch {
			fmt.Print(clearScreen)
		}
		if c.JSON {
			if err := printJSON(s); err != nil {
				return err
			}
		} else {
			printStatus(os.Stdout, &s)
			if c.Traffic {
				printTraffic(os.Stdout, &s, time.Now())
			}
		}
		if !c.Watch {
			return nil
		}
		time.Sleep(c.Every)
	}
}

// printStatus writes a summary of the daemon, its members and its targets.
func printStatus(out io.Writer, s *admin.Status) {
	_, _ = fmt.Fprintf(out, "%s  %s/%s  %s  revision %d (%s), in force since %s\n", s.Name, s.Region, s.DataCentre, s.Phase, s.Revision, s.Digest, s.Adopted.Format(time.TimeOnly))
	if s.Rejected.Revision != 0 {
		_, _ = fmt.Fprintf(out, "revision %d was rejected: %s\n", s.Rejected.Revision, s.Rejected.Reason)
	}
	waiting := 0
	for _, n := range s.Waiting {
		waiting += n
	}
	_, _ = fmt.Fprintf(out, "in flight %d, waiting %d, decision records %d KB (%d evicted), idempotency keys %d\n", s.InFlight, waiting, s.Explain.Bytes>>10, s.Explain.Evicted, s.Fleet.Claims.Keys)
	if s.StorePosition != "" || s.Quarantined > 0 {
		_, _ = fmt.Fprintf(out, "store known to %s, calls quarantined %d, prompt parts %d\n", s.StorePosition, s.Quarantined, s.QuarantinedParts)
	}
	if len(s.Evacuated) > 0 {
		_, _ = fmt.Fprintf(out, "evacuated data centres: %s\n", strings.Join(s.Evacuated, ", "))
	}
	if s.Paths.Lost > 0 || s.Paths.AllLost || s.Paths.Relaying > 0 {
		all := ""
		if s.Paths.AllLost {
			all = " (the host counts as cut off from all targets)"
		}
		_, _ = fmt.Fprintf(out, "paths lost to %d of %d targets%s, connections relayed for other daemons %d\n", s.Paths.Lost, s.Paths.Known, all, s.Paths.Relaying)
	}
	if len(s.Fleet.Members) > 0 {
		_, _ = fmt.Fprintln(out)
		printMembers(out, s)
	}
	if len(s.Fleet.Coordinators) > 0 {
		_, _ = fmt.Fprintln(out)
		printCoordinators(out, s.Fleet.Coordinators)
	}
	_, _ = fmt.Fprintln(out)
	printTargets(out, s.Targets)
}

// printMembers writes the members of the fleet.
func printMembers(out io.Writer, s *admin.Status) {
	t := newTable(out, "MEMBER", "WHERE", "STATE", "REVISION", "HEARD")
	for _, m := range s.Fleet.Members {
		heard := "-"
		if !m.LastHeard.IsZero() {
			heard = time.Since(m.LastHeard).Round(time.Millisecond).String() + " ago"
		}
		revision := fmt.Sprint(m.Revision)
		if m.Revision != 0 && m.Revision != s.Revision {
			revision += " (differs)"
		}
		t.addRow(m.Name, m.Region+"/"+m.DataCentre, m.State, revision, heard)
	}
	t.flush()
}

// printCoordinators writes which daemon is asked for the placements of each pool's calls.
func printCoordinators(out io.Writer, coordinators []admin.CoordinatorStatus) {
	t := newTable(out, "POOL", "COORDINATOR", "FIRST", "STATE OF THE FIRST", "ROUND TRIP")
	for _, c := range coordinators {
		roundTrip := "-"
		if c.RoundTrip > 0 {
			roundTrip = c.RoundTrip.Round(100 * time.Microsecond).String()
		}
		t.addRow(c.Pool, c.Coordinator, c.First, c.State, roundTrip)
	}
	t.flush()
}

// printTraffic writes the messages between the daemon and its peers, as averages per second since
// the daemon started.
func printTraffic(out io.Writer, s *admin.Status, now time.Time) {
	_, _ = fmt.Fprintln(out)
	if s.Incomplete != "" {
		_, _ = fmt.Fprintln(out, "incomplete: "+s.Incomplete)
	}
	seconds := max(1, now.Sub(s.Started).Seconds())
	rate := func(n int64) string { return fmt.Sprintf("%.1f", float64(n)/seconds) }
	t := newTable(out, "MESSAGE", "FRAMES IN/S", "BYTES IN/S", "FRAMES OUT/S", "BYTES OUT/S")
	for _, k := range s.Traffic {
		t.addRow(k.Kind, rate(k.FramesIn), rate(k.BytesIn), rate(k.FramesOut), rate(k.BytesOut))
	}
	t.flush()
}

// stateNames are the printed names of target states.
var stateNames = map[routing.State]string{routing.Live: "live", routing.Draining: "leaving", routing.Unavailable: "gone", routing.Evacuated: "evacuated"}

// printTargets writes the state and load of the targets.
func printTargets(out io.Writer, targets []admin.TargetStatus) {
	t := newTable(out, "POOL", "TARGET", "WHERE", "STATE", "CALLS", "OWN", "MEMORY", "BACKLOG", "LONG", "REPORT AGE", "FAILURES")
	for i := range targets {
		v := &targets[i].View
		state := stateNames[v.State]
		if v.BreakerOpen {
			state += ", breaker open"
		}
		if v.Unloaded {
			state += ", model not loaded"
		}
		if rest := targets[i].Backoff; rest > 0 {
			state += ", rests " + rest.Round(time.Millisecond).String()
		}
		if limit := targets[i].Limit; limit != "" {
			state += ", limit " + limit
		}
		if cold := targets[i].ColdFor; cold > 0 {
			state += ", cold for " + cold.Round(time.Millisecond).String()
		}
		memory := "-"
		if v.MemoryTokens > 0 {
			memory = fmt.Sprintf("%d%%", 100*v.Load.MemoryTokens/v.MemoryTokens)
		}
		t.addRow(targets[i].Pool, v.ID, v.DataCentre, state, v.Load.Requests, targets[i].OwnCalls, memory, v.Load.BacklogTokens, v.Load.LongPrefills, v.ReportAge.Round(time.Millisecond), targets[i].Failures)
	}
	t.flush()
}

// targetsCommand shows the targets that a daemon knows.
type targetsCommand struct {
	adminFlags
}

// Run implements the command.
func (c *targetsCommand) Run() error {
	var s admin.Status
	if err := c.getJSON("/v1/status", &s, false); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s.Targets)
	}
	printTargets(os.Stdout, s.Targets)
	return nil
}

// largestPart returns the text for an account's part of the pool of which it took the most.
func largestPart(s *blackboard.PoolShare) string {
	if s == nil {
		return "-"
	}
	return fmt.Sprintf("%.0f%% of %s", 100*s.Share, s.Pool)
}

// accountsCommand shows the use by client accounts at a daemon.
type accountsCommand struct {
	adminFlags
}

// Run implements the command.
func (c *accountsCommand) Run() error {
	var s admin.Status
	if err := c.getJSON("/v1/status", &s, false); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s.Accounts)
	}
	slices.SortFunc(s.Accounts, func(a, b admin.AccountStatus) int { return b.Running - a.Running })
	t := newTable(os.Stdout, "ACCOUNT", "RUNNING", "SHARE RUNNING", "SHARE REQUESTS/S", "SHARE TOKENS/S", "LARGEST PART OF A POOL")
	for _, a := range s.Accounts {
		t.addRow(a.Account, a.Running, a.Share.Concurrent, a.Share.RequestsPerSecond, a.Share.PromptTokensPerSecond, largestPart(a.Largest))
	}
	t.flush()
	return nil
}
