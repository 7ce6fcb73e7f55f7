package connid

import (
	"fmt"
	"net/netip"
)

// AddrError reports an owner whose address cannot be encoded in a connection
// ID because it is not IPv4.
type AddrError struct {
	Addr netip.AddrPort
}

// Error implements error.
func (e *AddrError) Error() string {
	return fmt.Sprintf("owner address %s is not IPv4", e.Addr)
}
