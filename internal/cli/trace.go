package cli

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const traceHelp = `Prints the lines on one flow from the logs of many processes, ordered by time. A flow
is given by the requester's address and port, or by the whole key in the log lines,
REQUESTER>SERVICE. Clocks of machines may differ, and timestamps are not corrected:
an effect that is listed before its cause shows the clock skew.

If the flow was refused, the last line on the admission level of each host of the service
before the refusal (admission_level) is printed, too.

Examples:
  turmericrock trace 100.64.0.7:40001 entry-1.log agent-*.log
  turmericrock trace '100.64.0.7:40001>198.18.0.1:443' logs/*`

func newTraceCommand(out, err io.Writer) *command {
	return &command{
		name: "trace", synopsis: "print the log lines of one flow from many logs", usage: "FLOW LOG...", help: traceHelp, err: err,
		run: func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return &UsageError{Reason: "a flow and at least one log are required; see turmericrock help trace"}
			}
			return printTrace(out, args[0], args[1:])
		},
	}
}

var (
	traceTime = regexp.MustCompile(`time="([^"]+)"`)
	traceFlow = regexp.MustCompile(`flow="([^"]+)"`)
)

// traceLine is a line of a log.
type traceLine struct {
	at   time.Time
	text string
}

// maxLineBytes is the maximum length of a log line. Longer lines cause an error.
const maxLineBytes = 1 << 20

func printTrace(out io.Writer, flowID string, paths []string) error {
	var lines []traceLine
	var levels [][]traceLine
	for _, path := range paths {
		found, level, err := readTraceFile(flowID, path)
		if err != nil {
			return err
		}
		lines, levels = append(lines, found...), append(levels, level)
	}
	slices.SortStableFunc(lines, compareTraceTimes)
	lines = append(lines, levelsBeforeRefusal(lines, levels)...)
	slices.SortStableFunc(lines, compareTraceTimes)
	for i, line := range lines {
		elapsed := time.Duration(0)
		if i > 0 {
			elapsed = line.at.Sub(lines[i-1].at)
		}
		if _, err := fmt.Fprintf(out, "%+10.3fms %s\n", elapsed.Seconds()*1000, line.text); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// readTraceFile returns the lines of a log on a flow, and those on admission levels.
func readTraceFile(flowID, path string) (lines, levels []traceLine, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		level := isLevel(scanner.Text())
		flow := fieldOf(traceFlow, scanner.Text())
		if !level && (flow == "" || flow != flowID && !strings.HasPrefix(flow, flowID+">")) {
			continue
		}
		line := traceLine{text: scanner.Text()}
		if timestamp := traceTime.FindStringSubmatch(line.text); timestamp != nil {
			// A line without a valid time keeps its place in its file and sorts before
			// all lines with a time.
			line.at, _ = time.Parse(time.RFC3339Nano, timestamp[1])
		}
		if level {
			levels = append(levels, line)
		} else {
			lines = append(lines, line)
		}
	}
	return lines, levels, errors.WithStack(scanner.Err())
}
