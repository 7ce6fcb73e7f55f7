package fleet

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Numbers of parts into which a configuration is split. MinPartCount makes
// manifest and part about equal at 1,600 services, so that a change of one
// service costs a reader the least.
const (
	MinPartCount = 64
	MaxPartCount = 4096
)

// PartName names the part that holds a service where there are count parts.
// It depends on the service's ID alone, so a change of one service changes
// one part.
func PartName(id ServiceID, count int) string {
	index := xxhash.Sum64String(id.String()) >> 32 % uint64(count)
	return fmt.Sprintf("%04d-of-%04d", index, count)
}

// PartFor returns the part that holds the service. It reports false where
// the part names do not tell: then the service may be in any of them.
func (m Manifest) PartFor(id ServiceID) (PartRef, bool) {
	for _, ref := range m.Parts {
		if ref.Name == PartName(id, ref.partCount()) {
			return ref, true
		}
	}
	return PartRef{}, false
}

// partCount returns the number of parts that the name of a part tells, or 1.
func (r PartRef) partCount() int {
	var index, count int
	if _, err := fmt.Sscanf(r.Name, "%04d-of-%04d", &index, &count); err != nil || count < 1 {
		return 1
	}
	return count
}
