package world

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Usage is the resource usage of a process.
type Usage struct {
	// CPUTime is the CPU time used, user and system.
	CPUTime time.Duration
	// ResidentBytes is the resident memory in bytes.
	ResidentBytes uint64
}

// Usage returns the resource usage of the node's process so far.
func (n *Node) Usage() (Usage, error) {
	return ProcessUsage(n.pid())
}

const (
	clockTick          = 10 * time.Millisecond
	fieldUserTime      = 11
	fieldSystemTime    = 12
	fieldResidentPages = 21
)

// ProcessUsage returns the resource usage of the process so far. It reads
// /proc/PID/stat; the field indexes count from the field after the command
// name.
func ProcessUsage(pid int) (Usage, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return Usage{}, errors.WithStack(err)
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	user, err := strconv.ParseUint(fields[fieldUserTime], 10, 64)
	if err != nil {
		return Usage{}, errors.WithStack(err)
	}
	system, err := strconv.ParseUint(fields[fieldSystemTime], 10, 64)
	if err != nil {
		return Usage{}, errors.WithStack(err)
	}
	pages, err := strconv.ParseUint(fields[fieldResidentPages], 10, 64)
	if err != nil {
		return Usage{}, errors.WithStack(err)
	}
	return Usage{
		CPUTime:       time.Duration(user+system) * clockTick,
		ResidentBytes: pages * uint64(os.Getpagesize()),
	}, nil
}
