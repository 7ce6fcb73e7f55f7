package datagram_test

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/datagram"
	"github.com/turmericrock/turmericrock/flow"
)

// dumpState renders the whole state behind a pointer, with the contents of what it points
// to. Configurations, catalogs and functions are left out, and the scratch space of
// medians.
func dumpState(state any) string {
	var b strings.Builder
	dumpValue(&b, reflect.ValueOf(state), make(map[uintptr]bool))
	return b.String()
}

func dumpValue(b *strings.Builder, v reflect.Value, visited map[uintptr]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() || visited[v.Pointer()] || v.Type() == reflect.TypeFor[*catalog.Catalog]() {
			fmt.Fprintf(b, "pointer(%v)", v.IsNil())
			return
		}
		visited[v.Pointer()] = true
		dumpValue(b, v.Elem(), visited)
	case reflect.Struct:
		for i := range v.NumField() {
			name := v.Type().Field(i).Name
			if name == "config" || name == "serviceTimes" {
				continue
			}
			fmt.Fprintf(b, "{%s:", name)
			dumpValue(b, v.Field(i), visited)
			b.WriteString("}\n")
		}
	case reflect.Map:
		var entries []string
		for key, value := range v.Seq2() {
			var entry strings.Builder
			dumpValue(&entry, key, visited)
			entry.WriteString("=")
			dumpValue(&entry, value, visited)
			entries = append(entries, entry.String())
		}
		slices.Sort(entries)
		b.WriteString(strings.Join(entries, ","))
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			dumpValue(b, v.Index(i), visited)
			b.WriteString(",")
		}
	case reflect.Func, reflect.Interface:
	default:
		fmt.Fprintf(b, "%v", v)
	}
}

// Guards against an explanation that changes state, also where no later decision of the
// other tests shows it: the admission level, the limit of cold hosts, the number of slots
// last listed, suspicions, lookups and counters.
func TestExplanationsLeaveStateAsItIs(t *testing.T) {
	saturated, _ := newSaturated(t)
	saturated.tryToOpen(3000, 3, servicePort)
	cold := newCluster(t)
	cold.addEntry(1)
	cold.addHost(11, "s")
	cold.publishCold(2_000_000)
	cold.startAgent(11, true)
	cold.openMany(1000, 30)
	restarted := newCluster(t)
	restarted.addEntry(1)
	restarted.addHost(11, "s")
	restarted.publishCold(2_000_000)
	restarted.startAgent(11, true)
	resized := newServiceCluster(t)
	resized.openMany(1000, 30)
	resized.publish(2, func(values *[]catalog.Value) {
		for i := range *values {
			v := &(*values)[i]
			v.Data = bytes.ReplaceAll(v.Data, []byte(`"concurrency":2`), []byte(`"concurrency":4`))
		}
	}, "s")
	silent := newServiceCluster(t)
	for _, h := range silent.hosts {
		h.down = true
	}
	silent.openMany(1000, 30)
	for name, c := range map[string]*cluster{"saturated": saturated.cluster, "cold": cold, "cold, restarted": restarted, "more slots": resized, "silent": silent} {
		t.Run(name, func(t *testing.T) {
			for _, later := range []time.Duration{0, 200 * time.Millisecond, 3 * time.Second} {
				c.now += later
				c.onFrame = func(_, _ [4]byte, _ flow.Kind) { t.Error("a frame was sent") }
				c.onHostPacket = func([4]byte) { t.Error("a packet was sent") }
				before := c.dump()
				must.StrContains(t, before, "listedSlots")
				for port := uint16(995); port < 1040; port++ {
					q := c.requester(port, 1).query()
					if port%2 == 0 {
						q.Zone = "a"
					}
					c.explainAt(q)
				}
				must.Eq(t, before, c.dump())
				must.SliceEmpty(t, c.queue)
			}
		})
	}
}

// dump renders the state of the entry and the agents.
func (c *cluster) dump() string {
	text := dumpState(c.entries[addr(1)])
	for _, a := range c.sortedAgents() {
		text += dumpState(c.agents[a])
	}
	return text
}

// explainAt asks the entry and all agents.
func (c *cluster) explainAt(q datagram.ExplainQuery) {
	_, err := c.entries[addr(1)].Explain(c.now, q)
	must.NoError(c.t, err)
	for _, a := range c.sortedAgents() {
		_, err := c.agents[a].Explain(c.now, q)
		must.NoError(c.t, err)
	}
}
