package mesh_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"

	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/standin/pki"
	"github.com/turmericrock/turmericrock/mesh"
)

// One process opens a link to another, which is told the ID and zone of its
// peer.
func Example() {
	authority, _ := pki.NewAuthority()
	pair, _ := authority.TLSCertificate(mesh.ServerName)
	config := mesh.DefaultConfig()
	config.TLS = &tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: authority.RootCAs()}
	config.Hello = dissemination.Hello{Protocol: dissemination.Protocol, ID: "server", Zone: "maes-1"}

	events := make(chan dissemination.Event, 8)
	server := mesh.New(config, func(_ context.Context, event dissemination.Event) { events <- event })
	listener, _ := net.Listen("tcp4", "127.0.0.1:0")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = server.Serve(ctx, listener) }()

	client := mesh.New(config, func(context.Context, dissemination.Event) {})
	client.Open(dissemination.Dial{
		Link:  1,
		Peer:  fleet.VM{ID: "server", Mesh: listener.Addr().(*net.TCPAddr).AddrPort()},
		Hello: dissemination.Hello{Protocol: dissemination.Protocol, ID: "client", Zone: "maes-2"},
	})
	opened := (<-events).(dissemination.LinkOpened)
	fmt.Println(opened.Hello.ID, "of", opened.Hello.Zone)
	// Output: client of maes-2
}
