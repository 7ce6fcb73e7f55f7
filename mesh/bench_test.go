package mesh_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/mesh"
)

// BenchmarkPoll measures a poll and its response over TLS on loopback, with
// both ends in one process.
func BenchmarkPoll(b *testing.B) {
	authority := newAuthority(b)
	client := startPeer(b, "client", newTLSConfig(b, authority, authority, mesh.ServerName))
	server := startPeer(b, "server", newTLSConfig(b, authority, authority, mesh.ServerName))
	client.Open(dissemination.Dial{Link: 1, Peer: server.vm, Hello: client.hello()})
	in := nextEvent[dissemination.LinkOpened](b, server)
	nextEvent[dissemination.LinkOpened](b, client)
	poll := dissemination.Message{State: &dissemination.State{Probe: 1, Revision: 1, Digest: make([]byte, 32)}}
	answer := dissemination.Message{State: &dissemination.State{Echo: 1, Revision: 1, Digest: make([]byte, 32)}}
	for range 7 {
		zone := dissemination.ZoneState{Zone: "zone-1", Version: 1000, Age: 1500, HeardAge: 1500}
		answer.State.Zones = append(answer.State.Zones, zone)
	}
	for b.Loop() {
		client.Send(1, poll)
		must.NotNil(b, nextEvent[dissemination.Received](b, server).Message.State)
		server.Send(in.Link, answer)
		must.NotNil(b, nextEvent[dissemination.Received](b, client).Message.State)
	}
}
