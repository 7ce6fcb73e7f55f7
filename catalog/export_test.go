package catalog

import (
	"context"
	"net"
)

// SetDial replaces the function that connects to peers.
func (p *PeerClient) SetDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	p.client.Transport = transportWithDial(dial)
}

// DecodePeerAnswer decodes the body of a peer's answer to a request for the changes after
// a revision.
func (p *PeerClient) DecodePeerAnswer(body []byte, after int64) (ReadResult, error) {
	return p.decode(body, after)
}

// DecodeConfirmation decodes the body of a peer's confirmation.
func DecodeConfirmation(body []byte) (Position, error) {
	return decodeConfirmation(body)
}

// Remembered returns the number of keys that are remembered.
func (r *RejectedValues) Remembered() int {
	return len(r.logged)
}
