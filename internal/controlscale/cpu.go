package controlscale

import (
	"time"

	"golang.org/x/sys/unix"
)

// processCPUTime returns the user and system CPU time of this process, or 0 if
// it cannot be read.
func processCPUTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
