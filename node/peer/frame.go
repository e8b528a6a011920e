// Package peer carries messages between daemons: WebSocket connections with CBOR
// frames. Each side proves that it knows a shared secret before anything else is
// read. Frames are bounded; an unknown kind or field is skipped, so that daemons
// of two versions work together during a rolling restart.
package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Kind names a message.
type Kind uint8

// The kinds of messages. Numbers are part of the protocol and never used again.
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
)

var kindNames = map[Kind]string{
	KindChallenge: "challenge", KindHello: "hello", KindWelcome: "welcome", KindHeartbeat: "heartbeat",
	KindRumor: "rumor", KindSettings: "settings", KindClaim: "claim", KindGiveUp: "give_up",
	KindConclude: "conclude", KindOutcome: "outcome", KindRenew: "renew", KindAcquire: "acquire",
	KindExplain: "explain", KindHosts: "hosts", KindHoldings: "holdings",
	KindJoin: "join", KindTargets: "targets",
	KindPlace: "place", KindPlaced: "placed", KindProgress: "progress",
	KindSettingsChanges: "settings_changes", KindDigests: "digests",
	KindCrash: "crash", KindVerdicts: "verdicts", KindFacts: "facts", KindTrial: "trial", KindLimit: "limit",
}

// String names the kind for metrics.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return "unknown"
}

// encode writes a message as CBOR. Times keep their fractions of a second, which the library drops
// unless told otherwise: a key that a caller made 2.9 s after a witness had started seemed less
// than 2 s younger, and the claim was refused (TestAKeyIsAsOldAtEveryWitness). Daemons that write
// whole seconds read both forms.
func encode(message any) ([]byte, error) { return encodingMode.Marshal(message) }

var encodingMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic(err) // The options are constants.
	}
	return mode
}()

// MaxFrameSize bounds a frame: a whole settings tree of a large fleet fits.
const MaxFrameSize = 8 << 20

// Frame is one message.
type Frame struct {
	Kind Kind `cbor:"1,keyasint"`
	// ID links an answer to its question; zero asks for none.
	ID uint64 `cbor:"2,keyasint,omitempty"`
	// Answer marks answers.
	Answer bool `cbor:"3,keyasint,omitempty"`
	// Error is the text of a failed question.
	Error string `cbor:"4,keyasint,omitempty"`
	// Body is the message.
	Body cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// challenge is the server's first frame.
type challenge struct {
	Name  string `cbor:"1,keyasint"`
	Nonce []byte `cbor:"2,keyasint"`
}

// hello is the client's answer.
type hello struct {
	Name  string `cbor:"1,keyasint"`
	Nonce []byte `cbor:"2,keyasint"`
	Proof []byte `cbor:"3,keyasint"`
}

// welcome is the server's proof.
type welcome struct {
	Proof []byte `cbor:"1,keyasint"`
}

const nonceSize = 16

func newNonce() []byte {
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce) // It never fails; see the package's documentation.
	return nonce
}

// The two directions of a proof, so that one cannot be sent back as the other.
const (
	clientProofLabel = "doorstack client"
	serverProofLabel = "doorstack server"
)

// computeProof shows that the key is known without telling it.
func computeProof(key []byte, direction, client, server string, clientNonce, serverNonce []byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(direction), []byte(client), []byte(server), clientNonce, serverNonce} {
		_, _ = mac.Write([]byte{byte(len(part))}) // A hash never fails.
		_, _ = mac.Write(part)
	}
	return mac.Sum(nil)
}

var errUnknownKey = errors.New("the peer does not know any of our keys; give all daemons the same peer_keys")

// findKey finds the key that a proof was made with.
func findKey(keys [][]byte, check func(key []byte) []byte, got []byte) ([]byte, error) {
	for _, key := range keys {
		if hmac.Equal(check(key), got) {
			return key, nil
		}
	}
	return nil, errUnknownKey
}
