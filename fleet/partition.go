package fleet

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Bounds on the number of parts into which a configuration is split. With
// MinPartCount parts, the manifest and each part are of about equal size at
// 1,600 services, which minimizes the bytes that a node reads after a change of
// one service.
const (
	MinPartCount = 64
	MaxPartCount = 4096
)

// PartName returns the name of the part that holds a service if there are count
// parts. It depends only on the service's ID, so a change of one service
// changes one part.
func PartName(id ServiceID, count int) string {
	index := xxhash.Sum64String(id.String()) >> 32 % uint64(count)
	return fmt.Sprintf("%04d-of-%04d", index, count)
}

// PartFor returns the part that holds the service. It returns false if the part
// names do not identify it; the service may then be in any part.
func (m Manifest) PartFor(id ServiceID) (PartRef, bool) {
	for _, ref := range m.Parts {
		if ref.Name == PartName(id, ref.partCount()) {
			return ref, true
		}
	}
	return PartRef{}, false
}

// partCount returns the total number of parts according to the part's name, or
// 1 if the name does not contain it.
func (r PartRef) partCount() int {
	var index, count int
	if _, err := fmt.Sscanf(r.Name, "%04d-of-%04d", &index, &count); err != nil || count < 1 {
		return 1
	}
	return count
}
