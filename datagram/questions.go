package datagram

import (
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

const (
	// batchingRetention is how long an agent counts as accepting batches after its last
	// frame. An agent of an earlier build that takes its place says so when it starts,
	// but that frame may be lost.
	batchingRetention = 10 * time.Second
	// maxBatchingPeers limits the agents that are known to accept batches. Others are
	// asked one question at a time.
	maxBatchingPeers = 4096
)

// questions is the state of an agent that asks others for flows.
type questions struct {
	batcher *steering.QuestionBatcher
	// acceptedAt holds the agents that accept batches, with the time of their last frame.
	acceptedAt map[[4]byte]time.Duration
	// wakeAt is when Flush is to be called, valid if wakeRequested is set.
	wakeAt        time.Duration
	wakeRequested bool
}

func newQuestions() questions {
	return questions{batcher: steering.NewQuestionBatcher(), acceptedAt: make(map[[4]byte]time.Duration)}
}

// recordFrame records by a report whether its sender accepts batches.
func (q *questions) recordFrame(f *flow.Frame, now time.Duration) {
	_, known := q.acceptedAt[f.Sender]
	switch {
	case !f.AcceptsBatches:
		delete(q.acceptedAt, f.Sender)
	case known || len(q.acceptedAt) < maxBatchingPeers:
		q.acceptedAt[f.Sender] = now
	}
}

// accepts reports whether the agent accepts batches.
func (q *questions) accepts(agent [4]byte, now time.Duration) bool {
	at, known := q.acceptedAt[agent]
	return known && now-at <= batchingRetention
}

// expire removes the agents that have not sent a frame for batchingRetention.
func (q *questions) expire(now time.Duration) {
	q.batcher.Expire(now)
	for agent, at := range q.acceptedAt {
		if now-at > batchingRetention {
			delete(q.acceptedAt, agent)
		}
	}
}

// queryServiceTag returns the service that a query of an agent names: that of the agent's
// host, or 0 if the query does not name it. Queries for flows of several services can then
// be sent together.
func (a *Agent) queryServiceTag(c *catalog.Catalog, scope steering.SearchScope, agent [4]byte, configured uint32) uint32 {
	tag := a.probeServiceTag(c, scope, agent, configured)
	if service, known := a.serviceOf(c, agent); known && catalog.Tag(service) != tag {
		return 0
	}
	return tag
}

// ask asks another agent whether its host may hold the flow, and returns how long the
// question waits at most. The questions of one search may together delay it by
// steering.QuestionDelay, of which s.delayed is used up.
func (a *Agent) ask(now time.Duration, key flow.Key, s *ownerSearch, agent [4]byte, serviceTag uint32, out Output) time.Duration {
	if a.config.WakeAt != nil && a.questions.accepts(agent, now) {
		to := steering.QuestionTarget{Agent: agent, ServiceTag: serviceTag}
		return a.questions.batcher.Ask(to, key, now, steering.QuestionDelay-s.delayed)
	}
	f := a.newReport(flow.Query, key)
	f.ServiceTag = serviceTag
	out.ToNode(a.endpoint(agent), &f, nil)
	return 0
}

// Flush sends the questions that are due. It is called at the time given to
// AgentConfig.WakeAt.
func (a *Agent) Flush(now time.Duration, out Output) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pause.observe(now)
	a.questions.wakeRequested = false
	a.sendQuestions(now, out)
}

// sendQuestions sends the questions that are due, and asks for a call of Flush for the
// others. It is called at the end of each event that may lead to questions.
func (a *Agent) sendQuestions(now time.Duration, out Output) {
	q := &a.questions
	for _, batch := range q.batcher.Due(now) {
		a.sendBatch(batch, out)
	}
	dueAt, waiting := q.batcher.NextDue()
	if waiting && (!q.wakeRequested || dueAt < q.wakeAt) {
		q.wakeAt, q.wakeRequested = dueAt, true
		a.config.WakeAt(dueAt)
	}
}

// sendBatch sends questions to an agent, except for flows that have been found meanwhile.
func (a *Agent) sendBatch(batch steering.QuestionBatch, out Output) {
	keys := slices.DeleteFunc(batch.Keys, func(key flow.Key) bool {
		s := a.searches[key]
		return s == nil || !s.pending[batch.Target.Agent]
	})
	a.sendKeys(flow.Query, flow.QueryMany, batch.Target.Agent, batch.Target.ServiceTag, keys, out)
}

// sendKeys sends a report on flows: of kind one for a single flow, otherwise of kind many.
func (a *Agent) sendKeys(one, many flow.Kind, to [4]byte, serviceTag uint32, keys []flow.Key, out Output) {
	switch len(keys) {
	case 0:
	case 1:
		f := a.newReport(one, keys[0])
		f.ServiceTag = serviceTag
		out.ToNode(a.endpoint(to), &f, nil)
	default:
		f := a.newReport(many, flow.Key{})
		f.ServiceTag = serviceTag
		out.ToNode(a.endpoint(to), &f, flow.AppendKeys(nil, keys))
	}
}

// answerQueries answers a QueryMany. The flows that the host does not hold are reported
// together, but for those whose packets were tried at the host.
func (a *Agent) answerQueries(now time.Duration, f *flow.Frame, list []byte, out Output) {
	keys, ok := flow.ParseKeys(list)
	if !ok {
		a.config.Events.Drop(DropMalformed)
		return
	}
	var notHeld []flow.Key
	for _, key := range keys {
		switch a.answerTo(now, f, key) {
		case flow.NotHeld:
			if a.trials[key] != nil {
				a.sendNotHeld(now, f.Sender, key, out)
				continue
			}
			notHeld = append(notHeld, key)
		case flow.MayHold:
			a.sendMayHold(now, f.Sender, key, out)
		}
	}
	a.sendKeys(flow.NotHeld, flow.NotHeldMany, f.Sender, a.tag, notHeld, out)
}

// handleNotHeldMany records that an agent's host does not hold several flows.
func (a *Agent) handleNotHeldMany(now time.Duration, agent [4]byte, list []byte, out Output) {
	keys, ok := flow.ParseKeys(list)
	if !ok {
		a.config.Events.Drop(DropMalformed)
		return
	}
	for _, key := range keys {
		a.handleNotHeld(now, &flow.Frame{Key: key, Sender: agent}, out)
	}
}
