package peer

import (
	"context"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// handshakeTimeout bounds the handshake, including the dialing on the client's side.
const handshakeTimeout = 2 * time.Second

// maxHandshakeSize bounds a message of a handshake, in bytes: its sender has proved nothing yet.
const maxHandshakeSize = 4 << 10

// acceptHandshake is the server's side of the handshake. It returns the client's name, once the
// client has proved that it knows one of the keys.
func (h *Hub) acceptHandshake(conn *websocket.Conn) (string, error) {
	ctx, cancel := context.WithTimeout(h.ctx, handshakeTimeout)
	defer cancel()
	nonce := newNonce()
	if err := writeFrame(ctx, conn, KindChallenge, challenge{Name: h.self, Nonce: nonce}); err != nil {
		return "", err
	}
	var in hello
	if err := readFrame(ctx, conn, KindHello, &in); err != nil {
		return "", err
	}
	key, err := findKey(h.keys, func(key []byte) []byte {
		return computeProof(key, clientProofLabel, in.Name, h.self, in.Nonce, nonce)
	}, in.Proof)
	if err != nil {
		return "", err
	}
	return in.Name, writeFrame(ctx, conn, KindWelcome, welcome{Proof: computeProof(key, serverProofLabel, in.Name, h.self, in.Nonce, nonce)})
}

// dialHandshake is the client's side of the handshake. It returns the server's name, which has to
// be the given name unless that is empty.
func (h *Hub) dialHandshake(ctx context.Context, conn *websocket.Conn, name string) (string, error) {
	var c challenge
	if err := readFrame(ctx, conn, KindChallenge, &c); err != nil {
		return "", err
	}
	if name == "" {
		name = c.Name
	}
	if c.Name != name {
		return "", errors.New("another daemon answers at the peer's address: " + c.Name)
	}
	nonce := newNonce()
	out := hello{Name: h.self, Nonce: nonce, Proof: computeProof(h.keys[0], clientProofLabel, h.self, name, nonce, c.Nonce)}
	if err := writeFrame(ctx, conn, KindHello, out); err != nil {
		return "", err
	}
	var in welcome
	if err := readFrame(ctx, conn, KindWelcome, &in); err != nil {
		return "", err
	}
	_, err := findKey(h.keys[:1], func(key []byte) []byte {
		return computeProof(key, serverProofLabel, h.self, name, nonce, c.Nonce)
	}, in.Proof)
	return name, err
}

func writeFrame(ctx context.Context, conn *websocket.Conn, kind Kind, body any) error {
	raw, err := encode(body)
	if err != nil {
		return err
	}
	data, err := encode(Frame{Kind: kind, Body: raw})
	if err != nil {
		return err
	}
	return conn.Write(ctx, websocket.MessageBinary, data)
}

func readFrame(ctx context.Context, conn *websocket.Conn, kind Kind, into any) error {
	_, data, err := conn.Read(ctx)
	if err != nil {
		return err
	}
	var f Frame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return err
	}
	if f.Kind != kind {
		return errors.New("expected the message " + kind.String() + ", got " + f.Kind.String())
	}
	return cbor.Unmarshal(f.Body, into)
}
