package main

import (
	"sync"
	"time"
)

// playRetired moves a route to another service and leaves the old one out of the
// configuration, while callers keep their flows open at it. With trouble, the processes are
// stopped and started in turn after that.
//
// Rule: FLOW (a). A requester gets a reset on an open flow whose host lives and holds it.
func playRetired(l *lab, trouble bool) (bool, error) {
	t := &movedFlows{lab: l, declared: []string{"desk", "gallery"}, flows: make(map[flowKey]*movedFlow)}
	if err := t.start(); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	for n := range retiredClerks {
		group.Go(func() { t.clerk(n) })
	}
	time.Sleep(12 * time.Second)
	t.declared = []string{"gallery"}
	t.publish(4, "gallery")
	l.record.note("version 4 is confirmed: the route goes to gallery, and desk is left out")
	time.Sleep(3 * time.Second)
	if trouble {
		for _, m := range append(l.machines[2:len(l.machines):len(l.machines)], l.machines[:2]...) {
			l.record.note("%s is told to stop", m.name)
			m.term()
			time.Sleep(rollGap)
		}
	} else {
		time.Sleep(time.Duration(len(l.machines)) * rollGap)
	}
	time.Sleep(12 * time.Second)
	t.stop.Store(true)
	group.Wait()
	return t.judgeResets(), nil
}

// retiredClerks is the number of callers, each with a flow that it keeps.
const retiredClerks = 60

// rollGap is the pause between two stops. The pages have roll_term with gaps from 1.1 s.
const rollGap = 1200 * time.Millisecond

// judgeResets looks for resets that the system sent on open flows.
func (t *movedFlows) judgeResets() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	broken := false
	for k, f := range t.flows {
		for _, lost := range f.lost {
			if lost.resetBy == nil || lost.resetBy == f.host.machine || !f.host.holds(k) {
				t.lab.record.note("%s on %v was not answered", lost.id, k)
				continue
			}
			broken = true
			t.lab.record.say("FLOW: %v is open at %s of %s, which lives and holds it; %s reset it when %s was sent at %.3f s",
				k, f.host.id, f.host.service, lost.resetBy.name, lost.id, lost.sentAt.Seconds())
		}
	}
	return broken
}
