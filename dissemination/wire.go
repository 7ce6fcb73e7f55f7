package dissemination

import (
	"net/netip"

	"github.com/turmericrock/turmericrock/fleet"
)

// wireList is the encoding of a ListUpdate: VMs are arrays without field
// names, and the zone, which they share, is encoded once.
type wireList struct {
	_        struct{} `cbor:",toarray"`
	Zone     string
	Version  uint64
	Base     uint64
	Upserted []wireVM
	Removed  []string
}

// wireVM is the encoding of a VM in a wireList.
type wireVM struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Addr     netip.AddrPort
	Mesh     netip.AddrPort
	Entry    bool
	Leaving  bool
	Customer string
	Name     string
}

// MarshalCBOR implements cbor.Marshaler.
func (l ListUpdate) MarshalCBOR() ([]byte, error) {
	wire := wireList{Zone: l.Zone, Version: l.Version, Base: l.Base, Removed: l.Removed}
	wire.Upserted = make([]wireVM, 0, len(l.Upserted))
	for _, vm := range l.Upserted {
		wire.Upserted = append(wire.Upserted, wireVM{
			ID:       vm.ID,
			Addr:     vm.Addr,
			Mesh:     vm.Mesh,
			Entry:    vm.Role == fleet.RoleEntry,
			Leaving:  vm.State == fleet.VMLeaving,
			Customer: vm.Service.Customer,
			Name:     vm.Service.Name,
		})
	}
	return encoder.Marshal(wire)
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (l *ListUpdate) UnmarshalCBOR(data []byte) error {
	var wire wireList
	if err := decoder.Unmarshal(data, &wire); err != nil {
		return &MessageError{Cause: "encoding", Err: err}
	}
	*l = ListUpdate{Zone: wire.Zone, Version: wire.Version, Base: wire.Base, Removed: wire.Removed}
	for _, vm := range wire.Upserted {
		l.Upserted = append(l.Upserted, vm.toVM(wire.Zone))
	}
	return nil
}

func (w wireVM) toVM(zone string) fleet.VM {
	vm := fleet.VM{
		ID:      w.ID,
		Addr:    w.Addr,
		Mesh:    w.Mesh,
		Zone:    zone,
		Role:    fleet.RoleAgent,
		Service: fleet.ServiceID{Customer: w.Customer, Name: w.Name},
		State:   fleet.VMLive,
	}
	if w.Entry {
		vm.Role = fleet.RoleEntry
	}
	if w.Leaving {
		vm.State = fleet.VMLeaving
	}
	return vm
}
