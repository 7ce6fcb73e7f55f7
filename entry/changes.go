package entry

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/turmericrock/turmericrock/internal/node"
)

const (
	// changeBatchInterval is the time over which changes of hosts are gathered.
	changeBatchInterval = time.Second
	// maxChangeExamples bounds the hosts that a record of many names.
	maxChangeExamples = 3
)

// hostChange is a kind of hostChange that hosts of one zone have in common.
type hostChange struct {
	zone  string
	from  string
	to    string
	cause string
}

// changeBatcher gathers changeBatcher of hosts for the audit trail, so that a lost zone
// is one record and not one for each host.
type changeBatcher struct {
	groups    map[hostChange]*hostChangeGroup
	flushedAt time.Time
}

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

// flush notes what was gathered, at most once in each changesInterval.
func (b *changeBatcher) flush(now time.Time, facts *node.Facts) {
	if len(b.groups) == 0 || now.Sub(b.flushedAt) < changeBatchInterval {
		return
	}
	b.flushedAt = now
	for kind, group := range b.groups {
		facts.Audit(now, group.subject(kind), kind.from, kind.to, group.cause(kind), "self")
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
