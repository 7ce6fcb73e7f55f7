package connid

import (
	"fmt"
	"net/netip"
)

// AddrError reports an owner whose address does not fit a connection ID.
type AddrError struct {
	Addr netip.AddrPort
}

// Error implements error.
func (e *AddrError) Error() string {
	return fmt.Sprintf("owner address %s is not IPv4", e.Addr)
}
