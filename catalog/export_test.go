package catalog

import (
	"context"
	"net"
)

// SetDial replaces the function that connects to peers.
func (p *PeerClient) SetDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	p.client.Transport = transportWithDial(dial)
}
