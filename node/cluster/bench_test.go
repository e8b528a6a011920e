package cluster

import (
	"fmt"
	"testing"
	"time"

	"doorstack.dev/core/claim"
	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/membership"
	"doorstack.dev/core/rendezvous"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/peer"
	"github.com/fxamacker/cbor/v2"
)

// testBoard returns the blackboard of the first of n daemons.
func testBoard(n int) *blackboard.Blackboard {
	board := blackboard.New(blackboard.Identity{Name: "daemon-0", Incarnation: 1, DataCentre: "dc0", Region: "r0"}, blackboard.DefaultLimits())
	list := hostlist.List{Revision: 1, Changed: time.Now().Add(-time.Hour), AsOf: time.Now()}
	for i := range n {
		list.Hosts = append(list.Hosts, hostlist.Host{
			ID: fmt.Sprint("daemon-", i), Role: hostlist.RoleDaemon, Address: fmt.Sprintf("10.0.%d.%d:8082", i/250, i%250),
			DataCentre: fmt.Sprint("dc", i%8), Region: fmt.Sprint("r", i%2), State: hostlist.Live,
		})
	}
	board.Members.SetHosts(list, time.Now())
	return board
}

func frameSize(b *testing.B, kind peer.Kind, body any) float64 {
	b.Helper()
	raw, err := cbor.Marshal(body)
	if err != nil {
		b.Fatal(err)
	}
	data, err := cbor.Marshal(peer.Frame{Kind: kind, ID: 1 << 20, Body: raw})
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(data))
}

// benchmarkHeartbeat measures the cost of one second of membership: making a heartbeat,
// receiving one on every link, and looking for silent neighbours.
func benchmarkHeartbeat(b *testing.B, n int) {
	board := testBoard(n)
	c := &Cluster{Board: board}
	links := board.Members.GossipPeers(time.Now())
	for b.Loop() {
		h := c.newHeartbeat(false)
		board.Members.WithLock(func(t *membership.Table) {
			for _, name := range links {
				t.RecordHeartbeat(name, 1, h.Incarnation, 1, time.Now())
			}
			t.Tick(time.Now())
		})
		board.Members.GossipPeers(time.Now())
	}
	b.ReportMetric(float64(len(links)), "links-out")
	b.ReportMetric(frameSize(b, peer.KindHeartbeat, c.newHeartbeat(false)), "B/heartbeat")
}

func BenchmarkHeartbeat6(b *testing.B)   { benchmarkHeartbeat(b, 6) }
func BenchmarkHeartbeat60(b *testing.B)  { benchmarkHeartbeat(b, 60) }
func BenchmarkHeartbeat520(b *testing.B) { benchmarkHeartbeat(b, 520) }

// benchmarkHostList measures applying a new host list of n daemons.
func benchmarkHostList(b *testing.B, n int) {
	board := testBoard(n)
	list, _ := board.Members.Hosts()
	for b.Loop() {
		list.Revision++
		list.AsOf = time.Now()
		board.Members.SetHosts(list, time.Now())
	}
}

func BenchmarkHostList6(b *testing.B)   { benchmarkHostList(b, 6) }
func BenchmarkHostList60(b *testing.B)  { benchmarkHostList(b, 60) }
func BenchmarkHostList520(b *testing.B) { benchmarkHostList(b, 520) }

// benchmarkClaim measures a claim at the claiming daemon, and the size of its frames.
func benchmarkClaim(b *testing.B, n int) {
	board := testBoard(n)
	in := claimRequest{Key: "/desks/santa-maria|confirm|01a23743-f425-76a1-9137-74b74ed9f80c", Attempt: "01a23743-f425-76a1-9137-74b74ed9f80d", Holder: "daemon-0", CreationKnown: true, Created: time.Now()}
	for b.Loop() {
		now := time.Now()
		sets := board.Members.WitnessSets(in.coreRequest(), now)
		claimer := claim.NewClaimer(in.coreRequest(), sets, now)
		for _, name := range claimer.Witnesses() {
			claimer.Receive(name, claim.Reply{Answer: claim.Granted})
		}
		if claimer.State() != claim.Won {
			b.Fatal("the claim is not won although all witnesses granted it")
		}
	}
	b.ReportMetric(frameSize(b, peer.KindClaim, in), "B/claim")
	b.ReportMetric(frameSize(b, peer.KindClaim, claimReply{Answer: claim.Granted}), "B/grant")
}

func BenchmarkClaim6(b *testing.B)   { benchmarkClaim(b, 6) }
func BenchmarkClaim60(b *testing.B)  { benchmarkClaim(b, 60) }
func BenchmarkClaim520(b *testing.B) { benchmarkClaim(b, 520) }

// benchmarkOwner measures finding an account's owner among n daemons.
func benchmarkOwner(b *testing.B, n int) {
	living, _ := testBoard(n).Members.AliveNames()
	r := []renewal{{Account: "/desks/santa-maria", Demand: 0.25, Fraction: 0.125, AckedSequence: 1 << 60}}
	for b.Loop() {
		rendezvous.Owner("/desks/santa-maria", living)
	}
	b.ReportMetric(frameSize(b, peer.KindRenew, r), "B/renewal")
	b.ReportMetric(frameSize(b, peer.KindRenew, []grantAnswer{{Account: "/desks/santa-maria", Sequence: 1 << 60, Fraction: 0.125}}), "B/grant")
}

func BenchmarkOwner6(b *testing.B)   { benchmarkOwner(b, 6) }
func BenchmarkOwner60(b *testing.B)  { benchmarkOwner(b, 60) }
func BenchmarkOwner520(b *testing.B) { benchmarkOwner(b, 520) }
