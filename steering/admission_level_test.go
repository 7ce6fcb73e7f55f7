package steering_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

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
