package steering_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/steering"
)

var quietAgent = [4]byte{10, 0, 0, 1}

// checkUntilSilent checks at regular intervals and returns when the agent was
// reported as silent, or 0.
func checkUntilSilent(d *steering.SilenceDetector, from, until time.Duration, answers bool) time.Duration {
	for now := from; now < until; now += steering.SilenceCheckInterval {
		ping, silent := d.Check(now)
		if len(silent) > 0 {
			return now
		}
		if answers && len(ping) > 0 {
			d.Heard(quietAgent)
		}
	}
	return 0
}

// A zone loses power under load: requests to its hosts are sent again.
func TestLostAgentIsFoundWithinHalfASecond(t *testing.T) {
	d := steering.NewSilenceDetector()
	d.Check(900 * time.Millisecond)
	d.Suspect(quietAgent, time.Second)
	must.False(t, d.IsSilent(quietAgent))
	at := checkUntilSilent(d, time.Second, 2*time.Second, false)
	must.Between(t, 1200*time.Millisecond, at, 1500*time.Millisecond)
	must.True(t, d.IsSilent(quietAgent))
	d.Heard(quietAgent)
	must.False(t, d.IsSilent(quietAgent))
}

// Slow hosts make requesters repeat requests although every agent answers.
func TestAnsweringAgentIsNotSilent(t *testing.T) {
	d := steering.NewSilenceDetector()
	d.Check(900 * time.Millisecond)
	for now := time.Second; now < 10*time.Second; now += 500 * time.Millisecond {
		d.Suspect(quietAgent, now)
		must.Zero(t, checkUntilSilent(d, now, now+500*time.Millisecond, true))
	}
}

// A process that was frozen finds its pings unanswered, since it has not read the
// answers yet.
func TestFrozenProcessCountsPingsAnew(t *testing.T) {
	d := steering.NewSilenceDetector()
	d.Check(900 * time.Millisecond)
	d.Suspect(quietAgent, time.Second)
	must.Zero(t, checkUntilSilent(d, time.Second, 1250*time.Millisecond, false))
	_, silent := d.Check(5 * time.Second)
	must.SliceEmpty(t, silent)
	must.Zero(t, checkUntilSilent(d, 5100*time.Millisecond, 5300*time.Millisecond, false))
	must.NotEq(t, 0, checkUntilSilent(d, 5300*time.Millisecond, 6*time.Second, false))
}

// Agents are restarted one after the other while their hosts serve on.
func TestAgentThatAnnouncedARestartIsNotSuspected(t *testing.T) {
	d := steering.NewSilenceDetector()
	d.Check(900 * time.Millisecond)
	d.Suspect(quietAgent, time.Second)
	d.Restarting(quietAgent, time.Second)
	d.Suspect(quietAgent, 1200*time.Millisecond)
	must.Zero(t, checkUntilSilent(d, time.Second, 5*time.Second, false))
	d.Suspect(quietAgent, 6100*time.Millisecond)
	must.NotEq(t, 0, checkUntilSilent(d, 6100*time.Millisecond, 7*time.Second, false))
}

func TestFlowsOfALostAgent(t *testing.T) {
	idempotent := &catalog.Route{Retryable: true, Timeout: time.Second}
	once := &catalog.Route{Timeout: time.Second}
	waiting := steering.FlowActivity{Awaiting: true, SentAt: time.Second}
	must.True(t, waiting.ShouldResetLost(idempotent, 1300*time.Millisecond), must.Sprint("the caller can try again"))
	must.False(t, waiting.ShouldResetLost(once, 1300*time.Millisecond), must.Sprint("the answer may still come"))
	must.True(t, waiting.ShouldResetLost(once, 2100*time.Millisecond), must.Sprint("the request has timed out"))
	must.True(t, steering.FlowActivity{}.ShouldResetLost(once, time.Second), must.Sprint("an idle flow would cost its next request"))
}
