package cli

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"os"
	"regexp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/internal/audit"
)

var (
	auditNode = regexp.MustCompile(` node=(\S+)`)
	auditFrom = regexp.MustCompile(` from=(\S+)`)
	auditTo   = regexp.MustCompile(` to=(\S+)`)
)

// Log lines of agents that state whether the host counts as failing.
const (
	hostFailingEvent   = "host_failing"
	hostRecoveredEvent = "host_well"
)

// recordOf returns the audit record of a log line; found is false if the line states no
// change of an agent's state.
func recordOf(line string) (r audit.Record, found bool) {
	timestamp := fieldOf(traceTime, line)
	r.At, _ = time.Parse(time.RFC3339Nano, timestamp) // A line without a valid time is the oldest.
	r.Cause = fieldOf(traceEvent, line)
	node := fieldOf(auditNode, line)
	switch r.Cause {
	case levelEvent:
		r.What, r.From, r.To = audit.AdmissionLevel.Of(node), fieldOf(auditFrom, line), fieldOf(auditTo, line)
	case hostFailingEvent:
		r.What, r.From, r.To = audit.HostFailing.Of(node), "false", "true"
	case hostRecoveredEvent:
		r.What, r.From, r.To = audit.HostFailing.Of(node), "true", "false"
	default:
		return r, false
	}
	return r, true
}

// printLogRecords prints the changes that the logs of agents of opaque flows state, which
// have no local endpoint, as JSON lines ordered by time.
func printLogRecords(out io.Writer, filter audit.Filter, paths []string) error {
	var records []audit.Record
	for _, path := range paths {
		found, err := readLogRecords(filter, path)
		if err != nil {
			return err
		}
		records = append(records, found...)
	}
	slices.SortStableFunc(records, func(a, b audit.Record) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	encoder := json.NewEncoder(out)
	for _, r := range records {
		if err := encoder.Encode(r); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

func readLogRecords(filter audit.Filter, path string) ([]audit.Record, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = file.Close() }()
	var records []audit.Record
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if r, found := recordOf(scanner.Text()); found && filter.Match(r) {
			records = append(records, r)
		}
	}
	return records, errors.WithStack(scanner.Err())
}
