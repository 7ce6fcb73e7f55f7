package settings

import (
	"net/netip"

	"github.com/turmericrock/turmericrock/internal/inifile"
)

// Networks of sockets, named as in package net.
const (
	tcp = "tcp"
	udp = "udp"
)

// socket is an address that the process binds, and the section and key of its
// setting.
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

// conflictsWith reports whether one process cannot bind both sockets.
func (s socket) conflictsWith(other socket) bool {
	if s.network != other.network || s.addr.Port() != other.addr.Port() || s.addr.Port() == 0 {
		return false
	}
	wildcard := s.addr.Addr().IsUnspecified() || other.addr.Addr().IsUnspecified()
	return wildcard || s.addr.Addr() == other.addr.Addr()
}

func (s socket) describe() string {
	return "[" + s.section + "] " + s.key + " = " + s.addr.String()
}

// rejectConflicts records an error if two sockets cannot both be bound.
func rejectConflicts(f *inifile.File, sockets []socket) {
	for i, s := range sockets {
		for _, other := range sockets[:i] {
			if s.conflictsWith(other) {
				f.Fail(s.section, s.key, s.addr.String(), "an address of its own; "+other.describe()+" has it")
			}
		}
	}
}
