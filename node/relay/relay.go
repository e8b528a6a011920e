// Package relay lets a daemon reach targets through another daemon when its own host has lost its path to them.
//
// The daemon asks a peer, over their link, to connect to a target (Client.Open). The peer does so directly, never
// through a further relay, and answers with a ticket. The daemon then opens a TCP connection to the peer's address and
// names the ticket in an HTTP upgrade; from there on the peer copies bytes between the two connections and knows
// nothing of the calls they carry. The calls stay the daemon's own: it has them placed, counts their attempts, and
// cancels them by closing the connection.
//
// The end of a target's connection may be the end of an answer, so that of the relay's must not be taken for it. The
// peer says in frames (see frameWriter) that the target has ended the connection; if its process ends, they break off. A
// connection that the target resets is reset towards the daemon too.
package relay

import "doorstack.dev/core/reach"

// path is the HTTP path under which a relay accepts tickets.
const path = "/relay/"

// The protocols of the upgrade. Daemons of earlier versions know the plain one only.
const (
	framedProtocol = "doorstack-relay-framed"
	plainProtocol  = "doorstack-relay"
)

// offeredProtocols is the Upgrade header of a request, which names the preferred protocol first.
const offeredProtocols = framedProtocol + ", " + plainProtocol

// outcome says whether a relay has connected to a target.
type outcome string

// The outcomes. All but connected and unreachable say that another relay may be able to connect.
const (
	connected     outcome = "connected"
	unreachable   outcome = "unreachable"
	noPath        outcome = "no_path"
	unknownTarget outcome = "unknown_target"
	leaving       outcome = "leaving"
	busy          outcome = "busy"
)

// openRequest asks a peer to connect to a target.
type openRequest struct {
	Address string `cbor:"1,keyasint"`
}

// openAnswer is the peer's answer. The ticket is set if it has connected.
type openAnswer struct {
	Outcome outcome `cbor:"1,keyasint"`
	Ticket  string  `cbor:"2,keyasint,omitempty"`
}

// Status is the state of a daemon's own paths to targets and of its work as a relay.
type Status struct {
	reach.Summary
	// Relaying is the number of connections that the daemon relays for others.
	Relaying int `json:"relaying"`
}
