package catalog_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against an entry acting on an older configuration for up to 1.6 s, after an agent has
// acted on the next one for the same route: the reader that the entry asks is cut off from the
// store, and nobody tells it that there is a newer one.
func TestNewerConfigurationIsReadFromAnAgentThatActsOnIt(t *testing.T) {
	runFleet(t, 1, 6, 8, func(f *fleet) {
		f.seeds, f.entries = []int{7, 8}, []int{7, 8}
		putRoute(f.clients, 2, "s")
		f.sleep(configPropagationLimit)
		readers := f.readers()
		ahead := readers[0]
		for n := 1; n <= 8; n++ {
			f.members[fleetIP(n)].setCut(n != ahead)
		}
		putRoute(f.clients, 3, "u")
		f.sleep(100 * time.Millisecond)
		must.Eq(f.t, 3, f.members[fleetIP(ahead)].tracker.Current().Config.Version)
		var behind []*member
		for _, n := range f.entries {
			if m := f.members[fleetIP(n)]; m.tracker.Current().Config.Version == 2 {
				behind = append(behind, m)
			}
		}
		must.SliceNotEmpty(f.t, behind)
		for _, m := range behind {
			m.syncer.NotifyConfig(f.addr(ahead), 3)
		}
		f.sleep(100 * time.Millisecond)
		for _, m := range behind {
			must.Eq(f.t, 3, m.tracker.Current().Config.Version, must.Sprint(m.ip))
			must.True(f.t, m.knowsFormerService("s"))
		}
	})
}

// Guards against an entry asking an agent again and again for a configuration that the agent
// does not have, or waiting for one that has ended.
func TestNoticeOfAConfigurationThatNobodyHasIsLimited(t *testing.T) {
	runFleet(t, 1, 6, 8, func(f *fleet) {
		f.seeds, f.entries = []int{7, 8}, []int{7, 8}
		putRoute(f.clients, 2, "s")
		f.sleep(configPropagationLimit)
		m := f.members[fleetIP(7)]
		for range 100 {
			m.syncer.NotifyConfig(f.addr(1), 1<<60)
			f.sleep(10 * time.Millisecond)
		}
		must.LessEq(f.t, 10, m.logs.count("config_noticed"))
		f.members[fleetIP(2)].stop()
		m.syncer.NotifyConfig(f.addr(2), 1<<60)
		putRoute(f.clients, 3, "u")
		f.sleep(configPropagationLimit)
		must.Eq(f.t, 3, m.tracker.Current().Config.Version)
	})
}

// count returns the number of lines with a text.
func (b *logBuffer) count(text string) int {
	return strings.Count(b.String(), text)
}
