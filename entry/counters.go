package entry

import (
	"sync/atomic"

	"github.com/turmericrock/turmericrock/internal/metrics"
)

// ReportVerdict is the outcome of processing a datagram received on the tunnel
// socket.
type ReportVerdict uint8

// Report verdicts. All but ReportAccepted reject the datagram.
const (
	ReportAccepted ReportVerdict = iota
	// ReportForged is a datagram that no accepted key authenticates.
	ReportForged
	// ReportMalformed is an authenticated datagram that is not a valid report.
	ReportMalformed
	// ReportMisaddressed is a report addressed to another entry, or one whose
	// agent address differs from the datagram's source.
	ReportMisaddressed
	// ReportUnlisted is a report from an address that is in no VM list.
	ReportUnlisted
	// ReportWrongService is a report for a service other than the one listed
	// for the host.
	ReportWrongService
	// ReportOldIncarnation is a report from an earlier process on the address.
	ReportOldIncarnation
	// ReportReplayed is a report whose sequence number is not higher than the
	// last accepted one.
	ReportReplayed
	// ReportQueueFull is a report dropped because the control goroutine's
	// event queue was full.
	ReportQueueFull
	reportVerdictCount
)

// String returns the verdict's name for metrics.
func (v ReportVerdict) String() string {
	return [reportVerdictCount]string{
		"accepted",
		"forged",
		"malformed",
		"misaddressed",
		"unlisted",
		"wrong_service",
		"old_incarnation",
		"replayed",
		"queue_full",
	}[v]
}

// Counters counts packets and reports by verdict. It is safe for concurrent
// use.
type Counters struct {
	verdicts       [verdictCount]atomic.Uint64
	reports        [reportVerdictCount]atomic.Uint64
	probes         atomic.Uint64
	sendErrors     atomic.Uint64
	newFlowPackets atomic.Uint64
}

// Count returns the number of packets with the verdict.
func (c *Counters) Count(v Verdict) uint64 {
	return c.verdicts[v].Load()
}

// CountReports returns the number of reports with the verdict.
func (c *Counters) CountReports(v ReportVerdict) uint64 {
	return c.reports[v].Load()
}

func (c *Counters) countReport(v ReportVerdict) {
	c.reports[v].Add(1)
}

// Collect implements metrics.Source.
func (c *Counters) Collect(emit func(metrics.Sample)) {
	for v := range verdictCount {
		emit(metrics.Sample{Name: "entry_packets", Cause: v.String(), Value: int64(c.verdicts[v].Load())})
	}
	for v := range reportVerdictCount {
		emit(metrics.Sample{Name: "entry_reports", Cause: v.String(), Value: int64(c.reports[v].Load())})
	}
	emit(metrics.Sample{Name: "entry_probes", Value: int64(c.probes.Load())})
	emit(metrics.Sample{Name: "entry_send_errors", Value: int64(c.sendErrors.Load())})
	emit(metrics.Sample{Name: "entry_new_flow_packets", Value: int64(c.newFlowPackets.Load())})
}
