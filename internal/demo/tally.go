package demo

import "net/http"

// tally sums up what callers and stand-ins counted.
type tally struct {
	requests int
	answered int
	// broken counts flows that ended under a request, without excuse.
	broken int
	// zoneBroken and killBroken are given up by the brief.
	zoneBroken int
	killBroken int
	notWhole   int
	refused    int
	// falseRefusals counts refusals as not run of requests that ran.
	falseRefusals int
	doubled       int
	crossed       int
}

func (t *trial) count() tally {
	c := tally{doubled: t.world.Ledger.Doubled(), crossed: t.world.Journal.Crossed()}
	for _, o := range t.load.outcomes.All() {
		c.requests++
		switch {
		case o.Answered():
			c.addAnswer(o)
		case o.NotRun:
			c.addRefusal(o, t.world.Ledger.Runs(o.ID) > 0)
		default:
			t.addBroken(&c, o)
		}
	}
	return c
}

func (c *tally) addAnswer(o *Outcome) {
	c.answered++
	if o.Foreign {
		c.crossed++
	}
	if !o.Whole || o.Status != http.StatusOK {
		c.notWhole++
	}
}

func (c *tally) addRefusal(_ *Outcome, ran bool) {
	c.refused++
	if ran {
		c.falseRefusals++
	}
}

// addBroken counts a flow that ended under a request.
func (t *trial) addBroken(c *tally, o *Outcome) {
	hosts := t.world.Journal.Hosts(o.ID)
	host := o.Host
	if len(hosts) > 0 {
		host = hosts[len(hosts)-1]
	}
	excuse := t.excuse(host, o)
	switch {
	case excuse == nil:
		c.broken++
		t.print("broken at=%.1fs service=%s id=%s feed=%t host=%s hosts=%v error=%q\n",
			o.Ended.Sub(t.facts.began).Seconds(), o.Service, o.ID, o.Feed, host, hosts, o.Err)
	case excuse.zone:
		c.zoneBroken++
	default:
		c.killBroken++
	}
}

// excuse returns why the flow to the host was given up, or nil.
func (t *trial) excuse(host string, o *Outcome) *forgiven {
	for i, f := range t.facts.forgiven {
		if f.host == host && !o.Ended.Before(f.from) && o.Began.Before(f.to) {
			return &t.facts.forgiven[i]
		}
	}
	return nil
}
