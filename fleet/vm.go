package fleet

import (
	"net/netip"
)

// Role is the role of the process that a VM runs.
type Role string

// Roles of VMs.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// VMState is the state of a VM according to the platform. It may lag behind
// the actual state.
type VMState string

// States of VMs.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one machine in the platform's list.
type VM struct {
	ID string `json:"id"`
	// Addr is the UDP address of the process's tunnel socket.
	Addr netip.AddrPort `json:"addr"`
	// Mesh is the TCP address of the process's mesh listener.
	Mesh    netip.AddrPort `json:"mesh"`
	Zone    string         `json:"zone"`
	Role    Role           `json:"role"`
	Service ServiceID      `json:"service"`
	State   VMState        `json:"state"`
}

// VMList is the platform's list of the VMs in one availability zone.
type VMList struct {
	Zone    string `json:"zone"`
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}
