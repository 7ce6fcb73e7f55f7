package catalog_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/catalog"
)

const (
	// overdueLimit is the time limit for processes to believe a restored store in what its
	// clients have not written again: the time of the first read and of the grace, and a
	// second until peers ask again.
	overdueLimit = 4500 * time.Millisecond
)

// runAll runs functions one after the other.
func runAll(f *fleet, functions ...func(f *fleet)) {
	for _, run := range functions {
		run(f)
		f.sleep(time.Second)
	}
}

// Guards against a process that asks peers never learning that the restored store is
// believed after all: the position of the store need not change then, and peers sent only
// what was written after it.
func TestOverdueChangesReachProcessesThatAskPeers(t *testing.T) {
	evacuate := func(f *fleet) { f.clients.Put("op/evacuate/x", []byte("{}")) }
	lift := func(f *fleet) { f.clients.Delete("op/evacuate/x") }
	cases := map[string]struct {
		before []func(f *fleet)
		// lost is the number of revisions that the copy lacks.
		lost int64
		// atReturn happens before any process has read the restored store.
		atReturn func(f *fleet)
		holds    func(m *member) bool
	}{
		// Seed 77320 of the random days.
		"zone evacuated at the revision of a lifted evacuation": {
			before: []func(f *fleet){evacuate, lift}, lost: 2, atReturn: evacuate,
			holds: func(m *member) bool { return m.tracker.Current().Evacuated["x"] },
		},
		// Seed 78115: the last evacuation was not read before the store was away.
		"zone evacuated again": {
			before: []func(f *fleet){evacuate, lift}, lost: 1, atReturn: func(*fleet) {},
			holds: func(m *member) bool { return m.tracker.Current().Evacuated["x"] },
		},
		"host that came after the copy has left": {
			before: []func(f *fleet){func(f *fleet) { f.putHost(5, "ready", 1) }}, lost: 1,
			atReturn: func(f *fleet) { f.clients.Delete("servers/h5") },
			holds:    func(m *member) bool { return !m.hostListed(5) },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 1, 4, 7, func(f *fleet) {
				runAll(f, c.before...)
				f.outage(2*time.Second, func() {
					f.store.Restore(f.store.Revision() - c.lost)
					c.atReturn(f)
				})
				f.sleep(overdueLimit)
				f.requireThroughout(settled, "after the grace", c.holds)
			})
		})
	}
}

// leave has the host beside the n-th process drain and leave.
func leave(n int) func(f *fleet) {
	return func(f *fleet) {
		f.putHost(n, "draining", 2)
		f.sleep(500 * time.Millisecond)
		f.clients.Delete(fmt.Sprintf("servers/h%d", n))
	}
}

// readers returns the numbers of the processes that read the store for the others.
func (f *fleet) readers() (numbers []int) {
	for _, agent := range catalog.Readers(f.members[fleetIP(1)].tracker.Current()) {
		numbers = append(numbers, int(agent[3]))
	}
	return numbers
}

// requireUnusedAfterRestore fails the test if a process uses one of the hosts after the
// store returned from the copy of a revision, before or after its clients have written
// again what it lacks. The store is away for the given time, and atReturn is run just before
// its return.
func (f *fleet) requireUnusedAfterRestore(copied int64, away time.Duration, atReturn func(), hosts ...int) {
	f.t.Helper()
	unused := func(m *member) bool { return !slices.ContainsFunc(hosts, m.hostUsable) }
	f.sleep(2 * time.Second)
	f.outage(away, func() {
		f.store.Restore(copied)
		atReturn()
	})
	f.requireThroughout(rewriteDelay, "before the values are written again", unused)
	f.rewriteLost()
	f.requireThroughout(settled, "after that", unused)
}

// Guards against a reader that could not reach the store before its restore believing the
// copy against what its peers know. Seed 77548 of the random days.
func TestReaderThatWasCutOffAsksPeersBeforeItBelievesTheCopy(t *testing.T) {
	runFleet(t, 1, 4, 7, func(f *fleet) {
		reader := f.members[fleetIP(f.readers()[0])]
		reader.setCut(true)
		f.putHost(5, "ready", 1)
		copied := f.store.Revision()
		f.sleep(500 * time.Millisecond)
		f.putHost(5, "draining", 2)
		f.requireUnusedAfterRestore(copied, 2*time.Second, func() { reader.setCut(false) }, 5)
	})
}

// Guards against the only reader, which has started since a host left, believing the copy
// because there is no other reader to ask. Seeds 78074, 78131 and 77825 of the random days.
func TestOnlyReaderAsksOthersBeforeItBelievesTheCopy(t *testing.T) {
	cases := map[string][]func(f *fleet){
		"others drain":                {leave(3), func(f *fleet) { f.putHost(2, "draining", 2) }},
		"others are in a closed zone": {leave(3), func(f *fleet) { f.clients.Put("op/evacuate/z", []byte("{}")) }},
		"no others are listed":        {leave(2), leave(3)},
		"no agent is usable":          {leave(3), func(f *fleet) { f.putHost(1, "draining", 2) }, func(f *fleet) { f.putHost(2, "draining", 2) }},
	}
	// Which process reads the restored store first depends on the length of the outage.
	aways := []time.Duration{500 * time.Millisecond, time.Second, 1700 * time.Millisecond, 2 * time.Second, 2900 * time.Millisecond}
	for name, before := range cases {
		for _, away := range aways {
			t.Run(fmt.Sprintf("%s, away %v", name, away), func(t *testing.T) {
				runFleet(t, 1, 3, 5, func(f *fleet) {
					copied := f.store.Revision()
					runAll(f, before...)
					f.restart(1)
					f.requireUnusedAfterRestore(copied, away, func() {}, 3)
				})
			})
		}
	}
}

// Guards against the only reader that starts while the store is a copy believing it,
// although agents that are listed but not usable know better.
func TestOnlyReaderAsksOthersAtItsStart(t *testing.T) {
	runFleet(t, 1, 3, 5, func(f *fleet) {
		copied := f.store.Revision()
		f.clients.Put("op/evacuate/z", []byte("{}"))
		leave(3)(f)
		f.members[fleetIP(3)].stop()
		delete(f.members, fleetIP(3))
		f.sleep(time.Second)
		f.outage(time.Second, func() { f.store.Restore(copied) })
		f.clients.Rewrite("op/evacuate/z")
		f.sleep(200 * time.Millisecond)
		f.restart(1)
		f.sleep(time.Second)
		for ip, m := range f.members {
			must.False(f.t, m.hostUsable(3), must.Sprint("host that left is used by ", ip))
		}
	})
}

// Guards against a process that starts learning from a reader that has missed the last
// changes which hosts have left, and asking no other. Seed 78881 of the random days.
func TestProcessThatStartsIsToldOfRemovalsByAnUpToDatePeer(t *testing.T) {
	const members = 12
	runFleet(t, 1, 4, members, func(f *fleet) {
		copied := f.store.Revision()
		readers := f.readers()
		f.members[fleetIP(readers[1])].setCut(true)
		left := slices.IndexFunc([]int{1, 2, 3, 4}, func(n int) bool { return !slices.Contains(readers, n) }) + 1
		f.clients.Delete(fmt.Sprintf("servers/h%d", left))
		f.sleep(100 * time.Millisecond)
		for n := 5; n <= members; n++ {
			f.restart(n)
		}
		f.sleep(2 * time.Second)
		f.outage(time.Second, func() { f.store.Restore(copied) })
		for ip, m := range f.members {
			f.network.remove(fmt.Sprintf("%s:%d", ip, fleetPort)) // Only what they know already counts.
			_ = m.server.Close()
		}
		f.sleep(4 * time.Second)
		for n := 5; n <= members; n++ {
			must.False(f.t, f.members[fleetIP(n)].hostUsable(left), must.Sprint("host that left is used by ", n))
		}
	})
}

// Guards against a process that asks peers settling before they do, since it has not noticed
// a short outage of the store in which its clients could not write to it. Seeds 85409 and
// 86243 of the random days.
func TestProcessThatAsksPeersSettlesNoEarlierThanThey(t *testing.T) {
	runFleet(t, 1, 4, 7, func(f *fleet) {
		copied := f.store.Revision()
		left := slices.IndexFunc([]int{1, 2, 3, 4}, func(n int) bool { return !slices.Contains(f.readers(), n) }) + 1
		f.clients.Delete(fmt.Sprintf("servers/h%d", left))
		f.sleep(time.Second)
		f.outage(time.Second, func() { f.store.Restore(copied) })
		f.sleep(4 * time.Second)
		f.outage(300*time.Millisecond, func() {})
		f.sleep(time.Second)
		for _, reader := range f.readers() {
			f.members[fleetIP(reader)].stop()
			delete(f.members, fleetIP(reader))
		}
		f.sleep(100 * time.Millisecond)
		putConfig(f.clients, 2) // The others' first reads of the store end at once.
		f.requireThroughout(4*time.Second, "host that left is not used", func(m *member) bool { return !m.hostUsable(left) })
	})
}
