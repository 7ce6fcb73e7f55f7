package controlnet

import (
	"container/heap"
	"time"
)

// clock is a simulated clock. It runs scheduled functions in order of their
// due time; functions due at the same time run in the order in which they were
// scheduled.
type clock struct {
	now     time.Time
	queue   timers
	nextSeq uint64
}

type timer struct {
	at  time.Time
	seq uint64
	run func()
}

// afterFunc schedules run for d from now.
func (c *clock) afterFunc(d time.Duration, run func()) {
	c.nextSeq++
	heap.Push(&c.queue, timer{at: c.now.Add(d), seq: c.nextSeq, run: run})
}

// advance moves the clock forward by d and runs every function that becomes
// due.
func (c *clock) advance(d time.Duration) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		t := heap.Pop(&c.queue).(timer)
		c.now = t.at
		t.run()
	}
	c.now = end
}

// timers implements heap.Interface.
type timers []timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].seq < t[j].seq
	}
	return t[i].at.Before(t[j].at)
}

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

func (t *timers) Pop() any {
	last := len(*t) - 1
	popped := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return popped
}
