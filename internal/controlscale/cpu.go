package controlscale

import (
	"time"

	"golang.org/x/sys/unix"
)

// processorTime returns the processor time that this process has spent.
func processorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
