package entry

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/turmericrock/turmericrock/internal/node"
)

const (
	// changeBatchInterval is the minimum time between two flushes of host
	// changes to the audit trail.
	changeBatchInterval = time.Second
	// maxChangeExamples bounds the host addresses that an audit record of
	// several hosts lists.
	maxChangeExamples = 3
)

// hostChange identifies a state change that several hosts of one zone may have
// in common.
type hostChange struct {
	zone  string
	from  string
	to    string
	cause string
}

// changeBatcher groups state changes of hosts for the audit trail, so that the
// loss of a zone yields one record rather than one for each host.
type changeBatcher struct {
	groups    map[hostChange]*hostChangeGroup
	flushedAt time.Time
}

// hostChangeGroup counts the hosts with the same change and holds the addresses
// of the first maxChangeExamples of them.
type hostChangeGroup struct {
	count    int
	examples []string
}

func newChangeBatcher() *changeBatcher {
	return &changeBatcher{groups: make(map[hostChange]*hostChangeGroup)}
}

func (b *changeBatcher) add(kind hostChange, addr netip.AddrPort) {
	group := b.groups[kind]
	if group == nil {
		group = &hostChangeGroup{}
		b.groups[kind] = group
	}
	group.count++
	if len(group.examples) < maxChangeExamples {
		group.examples = append(group.examples, addr.String())
	}
}

// flush writes one audit record for each group of changes, at most once in
// each changeBatchInterval.
func (b *changeBatcher) flush(now time.Time, state *node.FleetState) {
	if len(b.groups) == 0 || now.Sub(b.flushedAt) < changeBatchInterval {
		return
	}
	b.flushedAt = now
	for kind, group := range b.groups {
		state.Audit(now, group.subject(kind), kind.from, kind.to, group.cause(kind), "self")
	}
	clear(b.groups)
}

func (g *hostChangeGroup) subject(kind hostChange) string {
	if g.count == 1 {
		return "host/" + g.examples[0]
	}
	return "hosts/" + kind.zone
}

func (g *hostChangeGroup) cause(kind hostChange) string {
	if g.count == 1 {
		return kind.cause
	}
	return kind.cause + ", " + strconv.Itoa(g.count) + " hosts, first " + strings.Join(g.examples, " ")
}
