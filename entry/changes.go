package entry

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/turmericrock/turmericrock/internal/node"
)

const (
	// changesInterval is the time over which changes of hosts are gathered.
	changesInterval = time.Second
	// changesExamples bounds the hosts that a record of many names.
	changesExamples = 3
)

// change is a kind of change that hosts of one zone have in common.
type change struct {
	zone  string
	from  string
	to    string
	cause string
}

// changes gathers changes of hosts for the audit trail, so that a lost zone
// is one record and not one for each host.
type changes struct {
	groups  map[change]*changeGroup
	flushed time.Time
}

type changeGroup struct {
	count    int
	examples []string
}

func newChanges() *changes {
	return &changes{groups: make(map[change]*changeGroup)}
}

func (c *changes) add(kind change, addr netip.AddrPort) {
	group := c.groups[kind]
	if group == nil {
		group = &changeGroup{}
		c.groups[kind] = group
	}
	group.count++
	if len(group.examples) < changesExamples {
		group.examples = append(group.examples, addr.String())
	}
}

// flush notes what was gathered, at most once in each changesInterval.
func (c *changes) flush(now time.Time, facts *node.Facts) {
	if len(c.groups) == 0 || now.Sub(c.flushed) < changesInterval {
		return
	}
	c.flushed = now
	for kind, group := range c.groups {
		facts.Audit(now, group.what(kind), kind.from, kind.to, group.cause(kind), "self")
	}
	clear(c.groups)
}

func (g *changeGroup) what(kind change) string {
	if g.count == 1 {
		return "host/" + g.examples[0]
	}
	return "hosts/" + kind.zone
}

func (g *changeGroup) cause(kind change) string {
	if g.count == 1 {
		return kind.cause
	}
	return kind.cause + ", " + strconv.Itoa(g.count) + " hosts, first " + strings.Join(g.examples, " ")
}
