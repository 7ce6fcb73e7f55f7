package steering_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

// queued returns a request of 40 ms with a number as its identity. Times are in
// milliseconds.
func queued(id, priority, objective, limit int) steering.QueuedRequest {
	return steering.QueuedRequest{
		Key: flow.Key{Requester: flow.Endpoint{Port: uint16(id)}}, Priority: priority,
		Objective: time.Duration(objective) * time.Millisecond, Limit: time.Duration(limit) * time.Millisecond,
		Work: 40 * time.Millisecond,
	}
}

// popAll returns the identities of all waiting requests in the order of their release, all
// at the same time.
func popAll(q *steering.RequestQueue, now time.Duration, slots int) []int {
	var ids []int
	for q.Len() > 0 {
		r, _ := q.Pop(now, slots)
		ids = append(ids, int(r.Key.Requester.Port))
	}
	return ids
}

func TestRequestQueueOrder(t *testing.T) {
	const now = time.Second
	cases := []struct {
		name    string
		waiting []steering.QueuedRequest
		want    []int
	}{
		{"all objectives can be met: the earliest goes first", []steering.QueuedRequest{
			queued(1, 1, 1300, 2500), queued(2, 2, 1200, 2500), queued(3, 2, 1250, 2500),
		}, []int{2, 3, 1}},
		{"not all can be met: the higher priority goes first", []steering.QueuedRequest{
			queued(1, 2, 1050, 2500), queued(2, 2, 1060, 2500), queued(3, 1, 1070, 2500),
		}, []int{3, 2, 1}},
		{"the higher priority alone cannot be met: its latest goes first", []steering.QueuedRequest{
			queued(1, 1, 1050, 2500), queued(2, 1, 1060, 2500), queued(3, 2, 1070, 2500),
		}, []int{2, 1, 3}},
		{"late requests follow all others, whatever their priority", []steering.QueuedRequest{
			queued(1, 0, 900, 2500), queued(2, 2, 1300, 2500), queued(3, 1, 1020, 2000),
		}, []int{2, 1, 3}},
		{"among late requests the higher priority goes first, then the earliest limit", []steering.QueuedRequest{
			queued(1, 2, 800, 1500), queued(2, 1, 850, 2500), queued(3, 1, 900, 2400),
		}, []int{3, 2, 1}},
		{"requests that cannot be answered before their limits go last", []steering.QueuedRequest{
			queued(1, 1, 800, 1010), queued(2, 2, 850, 2500),
		}, []int{2, 1}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var q steering.RequestQueue
			for _, r := range tc.waiting {
				q.Push(r)
			}
			must.Eq(t, tc.want, popAll(&q, now, 1))
		})
	}
}

// Higher priorities keep arriving. Guards against requests of the lowest priority waiting
// for ever, also those that are late already.
func TestOneReleaseInEightGoesToTheLowestPriority(t *testing.T) {
	for name, objective := range map[string]int{"in time": 1300, "late": 900} {
		t.Run(name, func(t *testing.T) {
			const now = time.Second
			var q steering.RequestQueue
			for id := range 3 {
				q.Push(queued(id, 2, objective, 2500))
			}
			var lowAt []int
			for n := range 24 {
				for q.Len() < 20 {
					q.Push(queued(100, 1, 1250, 2500))
				}
				if r, _ := q.Pop(now, 1); r.Priority == 2 {
					lowAt = append(lowAt, n)
				}
			}
			must.Eq(t, []int{7, 15, 23}, lowAt)
		})
	}
}

func TestPopExpiredReturnsRequestsPastTheirLimit(t *testing.T) {
	var q steering.RequestQueue
	q.Push(queued(1, 2, 300, 1500))
	q.Push(queued(2, 2, 300, 1000))
	_, found := q.PopExpired(999 * time.Millisecond)
	must.False(t, found)
	r, found := q.PopExpired(time.Second)
	must.True(t, found)
	must.Eq(t, 2, r.Key.Requester.Port)
	must.Eq(t, 1, q.Len())
}

func TestRemoveTakesOneRequest(t *testing.T) {
	var q steering.RequestQueue
	for id := range 3 {
		q.Push(queued(id, 2, 1300+id, 2500))
	}
	must.True(t, q.Remove(queued(1, 0, 0, 0).Key))
	must.False(t, q.Remove(queued(1, 0, 0, 0).Key))
	must.Eq(t, []int{0, 2}, popAll(&q, 0, 1))
	_, found := q.Pop(0, 1)
	must.False(t, found)
}

// A new request of high priority does not wait for lower ones or for late ones.
func TestAheadCountsWhatGoesFirst(t *testing.T) {
	const now = time.Second
	var q steering.RequestQueue
	q.Push(queued(1, 1, 1300, 2500))
	q.Push(queued(2, 2, 1300, 2500))
	q.Push(queued(3, 2, 1300, 2500))
	q.Push(queued(4, 1, 900, 2500))
	must.Eq(t, []int{0, 1, 3}, []int{q.Ahead(now, 0), q.Ahead(now, 1), q.Ahead(now, 2)})
	must.Zero(t, q.Ahead(2*time.Second, 2))
}

// Late requests are admitted by the share of releases that they have had lately. Guards
// against admitting late what is never released, and against refusing it for good.
func TestAdmitsLateFollowsTheShareOfLateReleases(t *testing.T) {
	now := time.Second
	backlog := steering.Backlog{Busy: 3, Slots: 3, ServiceTime: 40 * time.Millisecond}
	admits := func(q *steering.RequestQueue, wait int) bool {
		return q.AdmitsLate(now, 2, now+time.Duration(wait)*time.Millisecond, backlog)
	}
	var q steering.RequestQueue
	for id := range 10 {
		q.Push(queued(id, 2, 900, 5000))
	}
	// The host serves 75 requests a second. Half of the releases are assumed to go to late
	// ones, so that the eleventh is released after 293 ms.
	must.False(t, admits(&q, 320))
	must.True(t, admits(&q, 360))
	for range 30 {
		q.Push(queued(100, 2, 900, 5000))
		q.Pop(now, 3)
	}
	must.True(t, admits(&q, 220), must.Sprint("only late requests are released"))
	for range 50 {
		q.Push(queued(100, 1, 1300, 5000))
		q.Pop(now, 3)
	}
	must.False(t, admits(&q, 1000), must.Sprint("no late request is released"))
	now += 10 * time.Second
	must.True(t, admits(&q, 360), must.Sprint("nothing has been released for long"))
}

// A host that fails requests is given all of them and queues them itself. Guards against
// counting only what waits here.
func TestAdmitsLateCountsWhatTheHostQueues(t *testing.T) {
	var q steering.RequestQueue
	for busy, want := range map[int]bool{4: true, 30: true, 80: false} {
		backlog := steering.Backlog{Busy: busy, Slots: 3, ServiceTime: 40 * time.Millisecond}
		must.Eq(t, want, q.AdmitsLate(0, 2, 1500*time.Millisecond, backlog), must.Sprint(busy))
	}
}

// BenchmarkRequestQueuePop releases one of 256 waiting requests, of which those of the
// higher priority cannot all meet their objectives, and adds another.
func BenchmarkRequestQueuePop(b *testing.B) {
	var q steering.RequestQueue
	now := time.Second
	for id := range 256 {
		q.Push(queued(id, 1+id%2, 1050+id, 2500))
	}
	b.ReportAllocs()
	for b.Loop() {
		r, _ := q.Pop(now, 3)
		q.Push(r)
	}
}
