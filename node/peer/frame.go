// Package peer carries messages between daemons, over WebSocket connections with
// CBOR frames. Each side proves that it knows a shared secret before anything else
// is read. The size of frames is bounded; unknown kinds and fields are skipped, so
// that daemons of two versions work together during a rolling restart.
package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Kind identifies the type of a message.
type Kind uint8

// The kinds of messages. The numbers are part of the protocol; the number of a removed kind is
// never reused.
//
//   - KindChallenge begins the handshake with the server's name and nonce.
//   - KindHello answers the challenge with the client's name, nonce and proof.
//   - KindWelcome ends the handshake with the server's proof.
//   - KindHeartbeat checks that a peer is alive; request and answer carry the daemons' state.
//   - KindRumor spreads changes in the state of members.
//   - KindSettings is no longer sent.
//   - KindClaim asks a witness to grant an idempotency key to an attempt.
//   - KindGiveUp tells a witness to release a key whose attempt does not run.
//   - KindConclude tells a witness the outcome of the attempt that holds a key.
//   - KindOutcome asks the daemon that runs an attempt for its outcome.
//   - KindRenew renews leases on shares of the limits of client accounts.
//   - KindAcquire asks a witness for leases on targets.
//   - KindExplain requests recorded decisions about a request.
//   - KindHosts requests the host lists that a peer knows.
//   - KindHoldings requests the leases on shares of client accounts that a daemon holds.
//   - KindJoin introduces a new daemon and requests all members.
//   - KindTargets is no longer sent.
//   - KindPlace asks a pool's coordinator to place a call.
//   - KindPlaced sends a placement that was found after KindPlace was answered.
//   - KindProgress tells the coordinator that a placed call's prompt was read or the call ended.
//   - KindSettingsChanges requests the changes of the settings after a revision.
//   - KindDigests sends digests of the members, for which the peer sends those that differ.
//   - KindCrash reports that a target crashed while it ran a request.
//   - KindVerdicts starts or lifts quarantines of requests.
//   - KindFacts requests the updates of targets after a position.
//   - KindTrial asks for permission to try a quarantined request.
//   - KindLimit reports a target's rate limit to the coordinator.
//   - KindCalls reports calls that were placed without the coordinator.
//   - KindPing measures the round-trip time to a peer.
//   - KindRelay asks a peer to connect to a target in this daemon's place.
//   - KindPartCrash reports that a target crashed while it had a prompt with shared parts.
//   - KindSingleSend begins, checks or withdraws the claim to a request that may run once.
const (
	KindChallenge       Kind = 1
	KindHello           Kind = 2
	KindWelcome         Kind = 3
	KindHeartbeat       Kind = 4
	KindRumor           Kind = 5
	KindSettings        Kind = 6
	KindClaim           Kind = 7
	KindGiveUp          Kind = 8
	KindConclude        Kind = 9
	KindOutcome         Kind = 10
	KindRenew           Kind = 11
	KindAcquire         Kind = 12
	KindExplain         Kind = 13
	KindHosts           Kind = 14
	KindHoldings        Kind = 15
	KindJoin            Kind = 16
	KindTargets         Kind = 17
	KindPlace           Kind = 18
	KindPlaced          Kind = 19
	KindProgress        Kind = 20
	KindSettingsChanges Kind = 21
	KindDigests         Kind = 22
	KindCrash           Kind = 23
	KindVerdicts        Kind = 24
	KindFacts           Kind = 25
	KindTrial           Kind = 26
	KindLimit           Kind = 27
	KindCalls           Kind = 28
	KindPing            Kind = 29
	KindRelay           Kind = 30
	KindPartCrash       Kind = 31
	KindSingleSend      Kind = 32
)

// kindNames holds the names of the kinds in metrics and logs.
var kindNames = map[Kind]string{
	KindChallenge: "challenge", KindHello: "hello", KindWelcome: "welcome", KindHeartbeat: "heartbeat",
	KindRumor: "rumor", KindSettings: "settings", KindClaim: "claim", KindGiveUp: "give_up",
	KindConclude: "conclude", KindOutcome: "outcome", KindRenew: "renew", KindAcquire: "acquire",
	KindExplain: "explain", KindHosts: "hosts", KindHoldings: "holdings",
	KindJoin: "join", KindTargets: "targets",
	KindPlace: "place", KindPlaced: "placed", KindProgress: "progress",
	KindSettingsChanges: "settings_changes", KindDigests: "digests",
	KindCrash: "crash", KindVerdicts: "verdicts", KindFacts: "facts", KindTrial: "trial", KindLimit: "limit",
	KindCalls: "calls", KindPing: "ping", KindRelay: "relay",
	KindPartCrash: "part_crash", KindSingleSend: "single_send",
}

// String returns the name of the kind in metrics, or "unknown".
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return "unknown"
}

// encode returns a message as CBOR. Times keep their fractions of a second, which the library drops
// by default. A daemon that witnesses idempotency keys grants only those created more than 2 s after
// its own start. Without the fractions a key created 2.9 s after that start seemed too old, and the
// claim was refused. Daemons that write whole seconds read both forms.
func encode(message any) ([]byte, error) { return encodingMode.Marshal(message) }

var encodingMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic(err) // The options are constants.
	}
	return mode
}()

// MaxFrameSize bounds an encoded frame, in bytes. The whole settings tree of a large fleet fits.
const MaxFrameSize = 8 << 20

// Frame is a message as it is sent over a link.
type Frame struct {
	Kind Kind `cbor:"1,keyasint"`
	// ID matches an answer to its request; zero requests no answer.
	ID uint64 `cbor:"2,keyasint,omitempty"`
	// Answer reports whether the frame is an answer.
	Answer bool `cbor:"3,keyasint,omitempty"`
	// Error is the error text in the answer to a failed request.
	Error string `cbor:"4,keyasint,omitempty"`
	// Body is the encoded message.
	Body cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// challenge is the server's first message: its name and nonce.
type challenge struct {
	Name  string `cbor:"1,keyasint"`
	Nonce []byte `cbor:"2,keyasint"`
}

// hello is the client's answer to the challenge: its name, nonce and proof.
type hello struct {
	Name  string `cbor:"1,keyasint"`
	Nonce []byte `cbor:"2,keyasint"`
	Proof []byte `cbor:"3,keyasint"`
}

// welcome is the server's proof, which ends the handshake.
type welcome struct {
	Proof []byte `cbor:"1,keyasint"`
}

const nonceSize = 16

func newNonce() []byte {
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce) // crypto/rand.Read never returns an error.
	return nonce
}

// The labels of the two proofs. They differ, so that a proof cannot be replayed as the other
// side's.
const (
	clientProofLabel = "doorstack client"
	serverProofLabel = "doorstack server"
)

// computeProof returns an HMAC over the label, both names and both nonces, which proves knowledge
// of the key without disclosing it.
func computeProof(key []byte, label, client, server string, clientNonce, serverNonce []byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(label), []byte(client), []byte(server), clientNonce, serverNonce} {
		_, _ = mac.Write([]byte{byte(len(part))}) // A hash never fails.
		_, _ = mac.Write(part)
	}
	return mac.Sum(nil)
}

var errUnknownKey = errors.New("the peer's proof matches none of the peer_keys; give all daemons the same peer_keys")

// findKey returns the key for which expected returns the received proof.
func findKey(keys [][]byte, expected func(key []byte) []byte, received []byte) ([]byte, error) {
	for _, key := range keys {
		if hmac.Equal(expected(key), received) {
			return key, nil
		}
	}
	return nil, errUnknownKey
}
