package settings

import (
	"net/netip"

	"github.com/turmericrock/turmericrock/internal/inifile"
)

// Networks of sockets.
const (
	tcp = "tcp"
	udp = "udp"
)

// socket is an address that the process binds, and the key that sets it.
type socket struct {
	section string
	key     string
	network string
	addr    netip.AddrPort
}

func (c Common) sockets(node netip.AddrPort) []socket {
	return []socket{
		{section: "node", key: "address", network: udp, addr: node},
		{section: "mesh", key: "address", network: tcp, addr: c.Mesh.Address},
		{section: "ops", key: "address", network: tcp, addr: c.Ops.Address},
	}
}

// clashes reports whether both cannot be bound by one process.
func (s socket) clashes(other socket) bool {
	if s.network != other.network || s.addr.Port() != other.addr.Port() || s.addr.Port() == 0 {
		return false
	}
	anyAddr := s.addr.Addr().IsUnspecified() || other.addr.Addr().IsUnspecified()
	return anyAddr || s.addr.Addr() == other.addr.Addr()
}

func (s socket) name() string {
	return "[" + s.section + "] " + s.key + " = " + s.addr.String()
}

// refuseClashes fails on two sockets with one address.
func refuseClashes(f *inifile.File, sockets []socket) {
	for i, s := range sockets {
		for _, other := range sockets[:i] {
			if s.clashes(other) {
				f.Fail(s.section, s.key, s.addr.String(), "an address of its own; "+other.name()+" has it")
			}
		}
	}
}
