package datagram

import (
	"math"
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

const (
	// excludedThisHost and excludedRefusesPriority say why an agent avoids a host: it is
	// the agent's own, or it has recently said that it refuses the priority.
	excludedThisHost        steering.Exclusion = "this_host"
	excludedRefusesPriority steering.Exclusion = "refuses_priority"
)

// AgentExplanation is what only an agent decides.
type AgentExplanation struct {
	// Service is the service of the agent's host.
	Service string `json:"service"`
	// Flows is the number of open flows, Busy that of unanswered requests, of which
	// Waiting wait at the agent. Slots is the number of the host's slots.
	Flows   int `json:"flows"`
	Busy    int `json:"busy"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// Queue holds the waiting requests by priority. While Stalled is set, the host answers
	// nothing, and all of them are ahead of the new request.
	Queue     []steering.WaitingRequests `json:"queue"`
	Stalled   bool                       `json:"stalled"`
	ServiceMS float64                    `json:"service_ms"`
	// Admission is the decision if another host may take the flow, LastAdmission that of
	// the last host asked. They are absent if the opening is not accepted for another
	// reason. BusyWithoutAlternative reports that the second one counts.
	Admission              *AdmissionExplanation `json:"admission,omitempty"`
	LastAdmission          *AdmissionExplanation `json:"last_admission,omitempty"`
	BusyWithoutAlternative bool                  `json:"busy_without_alternative"`
	// Cold is the rate limit of a cold host, or absent if the host is not limited.
	Cold *ColdExplanation `json:"cold,omitempty"`
	// Alternative is where an accepted opening would be passed on if the host were busy.
	Alternative string `json:"alternative,omitempty"`
}

// AdmissionExplanation is a decision on the capacity for a flow with its estimates.
type AdmissionExplanation struct {
	Decision string `json:"decision"`
	// Ahead is the number of requests that delay a new one.
	Ahead    int  `json:"ahead"`
	FreeSlot bool `json:"free_slot"`
	// EstimateMS is the estimated latency, Share the same as a fraction of what is
	// allowed. Above the two limits the flow is passed on or refused.
	EstimateMS   float64 `json:"estimate_ms"`
	Share        float64 `json:"share"`
	ForwardAbove float64 `json:"forward_above"`
	RefuseAbove  float64 `json:"refuse_above"`
	// Late is the estimate for a flow that would be refused otherwise, or absent.
	Late *LateExplanation `json:"late,omitempty"`
}

// LateExplanation is the estimate of whether requests that miss their objective would be
// released in time for their requester.
type LateExplanation struct {
	Admitted bool    `json:"admitted"`
	Ahead    int     `json:"ahead"`
	WaitMS   float64 `json:"wait_ms"`
	Share    float64 `json:"late_share"`
}

// ColdExplanation is the rate limit of a cold host.
type ColdExplanation struct {
	Admits bool `json:"admits"`
	// Limit is the number of new flows in a second, Recent that of the last second.
	// AssumedUsed reports that the limit counts as used up because the agent restarted.
	Limit       int  `json:"limit"`
	Recent      int  `json:"recent"`
	AssumedUsed bool `json:"assumed_used"`
}

// Explain says whether the host would take a new flow that an entry sends here, and where
// the flow would go otherwise. It changes nothing and sends nothing. The error is a
// *NoCatalogError, *UnknownRouteError or *UnknownZoneError.
func (a *Agent) Explain(now time.Duration, q ExplainQuery) (*Explanation, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	// hostSlots records the number of slots listed now.
	defer func(slots int) { a.listedSlots = slots }(a.listedSlots)
	c := a.config.Catalog()
	x, key, err := newExplanation(now, c, q, "", func(service string) bool { return service == a.config.Service })
	if err != nil {
		return nil, err
	}
	x.Role = "agent"
	// The frame is the one in which an entry with the same configuration sends the
	// opening to the first agent.
	f := flow.Frame{Kind: flow.Deliver, ServiceTag: catalog.Tag(x.Service), ConfigVersion: c.Config.Version}
	var list candidateList
	d := a.decideOpening(now, c, &f, key, 0, &list)
	x.Agent = a.explainOwn(now, x.Priority, &d)
	if d.outcome == openingAccepted && !d.busy {
		if other := a.decideAlternative(now, c, &f, key, reasonBusy, &list); other.to != nil {
			x.Agent.Alternative = addressOf(other.to.Addr.Addr)
		}
	}
	for i := range list.candidates {
		other := &list.candidates[i]
		switch agent := other.Host.Addr.Addr; {
		case other.Excluded != steering.ExcludedAvoided:
		case agent == a.config.Self.Addr:
			other.Excluded = excludedThisHost
		case a.loads.Refuses(agent, x.Priority, now):
			other.Excluded = excludedRefusesPriority
		}
	}
	x.setCandidates(list.candidates)
	x.Decision, x.Reason = string(d.outcome), d.reason
	switch d.outcome {
	case openingPassedOn:
		x.Host = addressOf(d.to.Addr.Addr)
	case openingAccepted, openingHeld:
		x.Host = addressOf(a.config.Self.Addr)
	case openingRefused:
	}
	return x, nil
}

// explainOwn describes the host and the decision on its capacity.
func (a *Agent) explainOwn(now time.Duration, priority int, d *openingDecision) *AgentExplanation {
	own := &AgentExplanation{
		Service: a.config.Service, Flows: a.openFlows, Busy: a.unansweredRequests, Waiting: a.scheduler.queue.Len(), Slots: a.hostSlots(),
		Queue: a.scheduler.queue.WaitingFor(now, priority), Stalled: a.hostStalled(now), ServiceMS: millis(a.serviceTime.Mean()),
		BusyWithoutAlternative: d.busy && d.outcome != openingPassedOn || d.busy && d.reason == reasonCold,
	}
	if d.admissionAsked {
		own.Admission = explainAdmission(&d.admission)
	}
	if own.BusyWithoutAlternative {
		own.LastAdmission = explainAdmission(&d.lastAdmission)
	}
	if d.cold.limited {
		own.Cold = &ColdExplanation{
			Admits: d.cold.admits(), Limit: d.cold.limit, Recent: d.cold.use.Recent, AssumedUsed: d.cold.use.AssumedUsed,
		}
	}
	return own
}

func explainAdmission(a *steering.Admission) *AdmissionExplanation {
	x := &AdmissionExplanation{
		Decision: a.Decision.String(), Ahead: a.Backlog.Busy, FreeSlot: a.HasFreeSlot, EstimateMS: millis(a.Backlog.EstimatedLatency()),
		Share: finite(a.Share), ForwardAbove: a.ForwardAbove, RefuseAbove: a.RefuseAbove,
	}
	if a.Late.Considered {
		x.Late = &LateExplanation{Admitted: a.Late.Admitted, Ahead: a.Late.Ahead, WaitMS: millis(a.Late.Wait), Share: a.Late.Share}
	}
	return x
}

// finite returns 0 for a share of an unknown service time, which is not a number.
func finite(share float64) float64 {
	if math.IsNaN(share) || math.IsInf(share, 0) {
		return 0
	}
	return share
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
