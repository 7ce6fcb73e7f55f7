package steering_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/placement"
	"github.com/turmericrock/turmericrock/steering"
)

// The host's service time is close to or above the target latency, so that it admits
// nothing beyond its slots. Guards against a host with free slots that goes on saying
// that it admits no opening, which entries then refuse while the host is idle.
func TestHostWithFreeSlotsAdmitsAgain(t *testing.T) {
	const slots = 3
	openings := []steering.Opening{{Priority: 2, TargetLatency: 300 * time.Millisecond, Timeout: 1500 * time.Millisecond}}
	for _, serviceTime := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 700 * time.Millisecond} {
		t.Run(fmt.Sprintf("service_time=%v", serviceTime), func(t *testing.T) {
			var q steering.RequestQueue
			var level steering.AdmissionLevel
			update := func(busy int) int {
				level.Update(time.Second, &q, openings, func(int) steering.Backlog {
					return steering.Backlog{Busy: busy, Slots: slots, ServiceTime: serviceTime}
				})
				return level.Lowest()
			}
			must.Eq(t, 0, update(8*slots), must.Sprint("saturated"))
			for busy := range slots {
				must.Eq(t, 0, update(8*slots))
				must.Eq(t, steering.AdmitsAll, update(busy), must.Sprint("busy", busy))
			}
		})
	}
}

// Route priorities may exceed what reports can carry. Guards against entries and agents
// that refuse openings of such routes although all hosts say that they admit all.
func TestHostsThatAdmitAllAdmitEveryPriority(t *testing.T) {
	c, s := newCatalog("a", "a")
	loads := steering.NewLoadTable()
	for _, agent := range c.Agents {
		loads.Report(agent, 0, 0, time.Minute)
		loads.SetAdmitPriority(agent, steering.AdmitsAll, true)
	}
	for _, priority := range []int{0, 2, 253, 254, 255, 1_000_000} {
		must.False(t, loads.Refuses(c.Agents[0], priority, time.Minute), must.Sprint("priority", priority))
		for hash := range uint64(64) {
			_, refused := loads.RefusesAtOnce(c, s, priority, placement.Mix(hash), time.Minute)
			must.False(t, refused, must.Sprint("priority", priority, "hash", hash))
		}
	}
}

// Guards against a priority whose last route was removed while it was refused counting as
// refused when a route of it is added later.
func TestLevelForgetsPrioritiesWithoutRoutes(t *testing.T) {
	var q steering.RequestQueue
	openings := []steering.Opening{{Priority: 2, TargetLatency: 300 * time.Millisecond, Timeout: 1500 * time.Millisecond}}
	update := func(level *steering.AdmissionLevel, openings []steering.Opening, busy int) int {
		level.Update(time.Second, &q, openings, func(int) steering.Backlog {
			return steering.Backlog{Busy: busy, Slots: 3, ServiceTime: 200 * time.Millisecond}
		})
		return level.Lowest()
	}
	for busy := range 24 {
		var fresh, former steering.AdmissionLevel
		must.Eq(t, 0, update(&former, openings, 24))
		must.Eq(t, steering.AdmitsAll, update(&former, nil, 24))
		must.Eq(t, update(&fresh, openings, busy), update(&former, openings, busy), must.Sprint("busy", busy))
	}
}
