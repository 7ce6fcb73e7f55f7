package catalog_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
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
