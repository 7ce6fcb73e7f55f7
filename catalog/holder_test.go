package catalog_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/catalog"
)

// Guards against a well-formed entry under another key taking the address of a living host,
// and against a host that has restarted, or one of another service that reuses the address,
// not being taken at once.
func TestHolderOfAnAddress(t *testing.T) {
	const start = 1_769_703_757_010
	entry := func(id string, created, written, start int64) catalog.Change {
		c := hostChange(written, id, 1, start)
		c.Value.Created, c.Host.Created = created, at(created)
		return c
	}
	otherService := entry("reused", 20, 20, start+5000)
	otherService.Host.Service = "u"
	for name, test := range map[string]struct {
		entries []catalog.Change
		holder  string
	}{
		"a copy of a running host's entry":          {[]catalog.Change{entry("own", 10, 15, start), entry("copy", 20, 20, start)}, "own"},
		"a copy that is written again":              {[]catalog.Change{entry("own", 10, 15, start), entry("copy", 20, 40, start)}, "own"},
		"a copy without a start":                    {[]catalog.Change{entry("own", 10, 15, start), entry("copy", 20, 20, 0)}, "own"},
		"an earlier start":                          {[]catalog.Change{entry("own", 10, 15, start), entry("other", 20, 20, start-1)}, "own"},
		"a later start, then the host writes again": {[]catalog.Change{entry("own", 10, 25, start), entry("other", 20, 20, start+5000)}, "own"},
		"no starts, then the host writes again":     {[]catalog.Change{entry("own", 10, 25, 0), entry("other", 20, 20, 0)}, "own"},
		"a restart under a new ID":                  {[]catalog.Change{entry("old", 10, 15, start), entry("new", 20, 20, start+5000)}, "new"},
		"a restart under a new ID, no starts":       {[]catalog.Change{entry("old", 10, 15, 0), entry("new", 20, 20, 0)}, "new"},
		"two restarts, and a copy of the first":     {[]catalog.Change{entry("old", 10, 15, start), entry("copy", 16, 16, start), entry("new", 20, 20, start+5000), entry("newer", 30, 30, start+9000)}, "newer"},
		"a restart that a copy follows":             {[]catalog.Change{entry("old", 10, 15, start), entry("new", 20, 20, start+5000), entry("copy", 30, 30, start+5000)}, "new"},
		"a copy of a host that has restarted since": {[]catalog.Change{entry("old", 10, 15, start), entry("new", 20, 20, start+5000), entry("copy", 30, 30, start)}, "new"},
		"the address is reused by another service":  {[]catalog.Change{entry("old", 10, 15, start), otherService}, "reused"},
		"one host":                   {[]catalog.Change{entry("own", 10, 15, start)}, "own"},
		"the creation is not known":  {[]catalog.Change{hostChange(15, "old", 1, start), hostChange(20, "new", 1, start)}, "new"},
		"the creation of one is not": {[]catalog.Change{entry("new", 10, 15, start+1), hostChange(20, "old", 1, start)}, "new"},
	} {
		// One at a time, as a process sees them that runs, then all at once.
		tracker := catalog.NewTracker()
		tracker.Replace(at(5), []catalog.Change{configChange(5, 1, "s", "u")}, time.Second)
		for n, c := range test.entries {
			tracker.Apply(at(int64(100+n)), []catalog.Change{inTurn(c, int64(100+n))}, time.Second)
		}
		all := catalog.NewTracker()
		all.Replace(at(100), append([]catalog.Change{configChange(5, 1, "s", "u")}, test.entries...), time.Second)
		for _, c := range []*catalog.Catalog{tracker.Current(), all.Current()} {
			must.MapLen(t, 1, c.Hosts, must.Sprint(name))
			must.Eq(t, test.holder, c.Hosts[[4]byte{10, 0, 0, 1}].ID, must.Sprint(name))
			must.Len(t, 1, c.Agents, must.Sprint(name))
		}
	}
}

// inTurn returns a change as it is read at a revision. The entry keeps its own position.
func inTurn(c catalog.Change, revision int64) catalog.Change {
	c.Value.Position = at(revision)
	return c
}

// Guards against a draining host staying in use, or the zone or the slots of a host changing,
// by a well-formed entry of another writer under another key, and against processes that
// differ in it: those that run, that read from peers, and that start later.
func TestCopyOfAHostEntryDoesNotDisplaceIt(t *testing.T) {
	const copied = `{"backend":"s","address":"127.0.9.2:8080","zone":"%s","version":"v1","concurrency":9,"state":"ready","warmup_left_ms":0,"sequence":%d,"born":%d}`
	for name, claim := range map[string]string{
		"same start":      fmt.Sprintf(copied, "q", 2, 2),
		"higher sequence": fmt.Sprintf(copied, "q", 99, 2),
		"no start":        fmt.Sprintf(copied, "q", 3, 0),
		"earlier start":   fmt.Sprintf(copied, "q", 3, 1),
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 1, 4, 6, func(f *fleet) {
				f.putHost(2, "draining", 2)
				f.sleep(time.Second)
				f.store.Put("servers/copy", []byte(claim))
				f.sleep(time.Second)
				f.start(7)
				f.sleep(time.Second)
				f.requireThroughout(time.Second, "the host drains", func(m *member) bool {
					h := m.tracker.Current().Hosts[m.fleet.addr(2)]
					return h != nil && h.ID == "h2" && h.Draining && h.Zone != "q" && h.Slots == 2
				})
				f.putHostAs("h2b", 500, 2, "ready", 1)
				f.sleep(configPropagationLimit)
				f.requireThroughout(time.Second, "the restarted host is used", func(m *member) bool {
					h := m.tracker.Current().Hosts[m.fleet.addr(2)]
					return h.ID == "h2b" && !h.Draining
				})
			})
		})
	}
}

// Guards against an entry that claims a later start holding the address of a host for good:
// the host's next description shows that it runs.
func TestHostThatWritesAgainHoldsItsAddress(t *testing.T) {
	runFleet(t, 1, 4, 6, func(f *fleet) {
		f.store.Put("servers/claim", []byte(`{"backend":"s","address":"127.0.9.2:8080","zone":"q","version":"v1","concurrency":9,"state":"ready","warmup_left_ms":0,"sequence":1,"born":4000000000000}`))
		f.sleep(time.Second)
		f.putHost(2, "ready", 2)
		f.sleep(configPropagationLimit)
		f.requireThroughout(time.Second, "the host holds its address", func(m *member) bool {
			return m.tracker.Current().Hosts[m.fleet.addr(2)].ID == "h2"
		})
		f.putHost(2, "draining", 3)
		f.sleep(configPropagationLimit)
		f.requireThroughout(time.Second, "the host drains", func(m *member) bool { return !m.hostUsable(2) })
	})
}

// Guards against a copy of a host's entry taking the address once the store is restored to a
// revision before the copy, or before both entries, was written: the copy is kept at first, and
// the host's own entry is then read in a new era, possibly after the copy.
func TestCopyOfAHostEntryDoesNotDisplaceItAfterARestore(t *testing.T) {
	const start = 1_769_703_757_010
	restored := func(revision int64) catalog.Position { return catalog.Position{Era: 2, Revision: revision} }
	entry := func(position catalog.Position, id string, created int64) catalog.Change {
		c := hostChange(position.Revision, id, 1, start)
		c.Value.Position, c.Value.Created = position, created
		c.Host.Position, c.Host.Created = position, catalog.Position{Era: position.Era, Revision: created}
		return c
	}
	for name, test := range map[string]struct {
		copied int64
		held   []catalog.Change
		later  []catalog.Change
	}{
		"the host's entry is in the restored store": {15, []catalog.Change{entry(restored(15), "own", 10)}, []catalog.Change{entry(restored(16), "own", 10)}},
		"the host writes first":                     {6, nil, []catalog.Change{entry(restored(7), "own", 7), entry(restored(8), "copy", 8)}},
		"the other writer writes first":             {6, nil, []catalog.Change{entry(restored(7), "copy", 7), entry(restored(8), "own", 8)}},
	} {
		config := configChange(5, 1, "s")
		tracker := catalog.NewTracker()
		tracker.SettleTime = 10 * time.Second
		requireOwn := func() { must.Eq(t, "own", tracker.Current().Hosts[[4]byte{10, 0, 0, 1}].ID, must.Sprint(name)) }
		tracker.Replace(at(15), []catalog.Change{config, entry(at(15), "own", 10)}, time.Second)
		tracker.Apply(at(20), []catalog.Change{entry(at(20), "copy", 20)}, 2*time.Second)
		config.Value.Era = 2
		tracker.Replace(restored(test.copied), append(test.held, config), 3*time.Second)
		requireOwn()
		for _, c := range test.later {
			tracker.Apply(c.Value.Position, []catalog.Change{c}, 3500*time.Millisecond)
			requireOwn()
		}
	}
}

// Guards against processes that differ in the holder of an address, because one read the
// claim of a later start and the host's next description at once: the description changes
// nothing but its position, and was ignored since the claim was not published yet.
func TestHostThatWritesAgainInTheReadOfAClaimHoldsItsAddress(t *testing.T) {
	const start = 1_769_703_757_010
	entry := func(id string, created, written, start int64) catalog.Change {
		c := hostChange(written, id, 1, start)
		c.Value.Created, c.Host.Created = created, at(created)
		return c
	}
	tracker := catalog.NewTracker()
	tracker.Replace(at(15), []catalog.Change{configChange(5, 1, "s"), entry("own", 10, 15, start)}, time.Second)
	tracker.Apply(at(25), []catalog.Change{entry("claim", 20, 20, start+5000), entry("own", 10, 25, start)}, 2*time.Second)
	must.Eq(t, "own", tracker.Current().Hosts[[4]byte{10, 0, 0, 1}].ID)
}

// Guards against a copy of a host's entry taking the address when a process reads everything
// from a peer of an earlier build, which does not say when entries were created.
func TestAnswerOfAnEarlierBuildKeepsTheCreationOfEntries(t *testing.T) {
	const start = 1_769_703_757_010
	entry := func(id string, created, written int64) catalog.Change {
		c := hostChange(written, id, 1, start)
		c.Value.Created, c.Host.Created = created, catalog.Position{}
		if created > 0 {
			c.Host.Created = at(created)
		}
		return c
	}
	tracker := catalog.NewTracker()
	tracker.Replace(at(20), []catalog.Change{configChange(5, 1, "s"), entry("own", 10, 15), entry("copy", 20, 20)}, time.Second)
	must.Eq(t, "own", tracker.Current().Hosts[[4]byte{10, 0, 0, 1}].ID)
	tracker.Merge(at(21), []catalog.Change{configChange(5, 1, "s"), entry("own", 0, 15), entry("copy", 0, 20)}, 2*time.Second, false, 0)
	must.Eq(t, "own", tracker.Current().Hosts[[4]byte{10, 0, 0, 1}].ID)
	tracker.Apply(at(22), []catalog.Change{entry("copy", 0, 22)}, 3*time.Second)
	must.Eq(t, "own", tracker.Current().Hosts[[4]byte{10, 0, 0, 1}].ID)
}
