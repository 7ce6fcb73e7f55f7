package cli

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/internal/ops"
)

// ZoneError reports that the configuration in force does not declare the process's
// availability zone.
type ZoneError struct {
	Zone     string
	Revision uint64
}

// Error implements error.
func (e *ZoneError) Error() string {
	return fmt.Sprintf("[node] zone = %q is not declared in revision %d; allowed is a zone of zones.ini", e.Zone, e.Revision)
}

// checkZone returns a *ZoneError if a configuration is in force that does not declare
// the process's zone.
func checkZone(s ops.Status) error {
	if s.Revision == 0 || s.ZoneDeclared {
		return nil
	}
	return &ZoneError{Zone: s.Zone, Revision: s.Revision}
}

// zoneWatcher logs an error when the configuration in force does not declare the
// process's zone, once per revision.
type zoneWatcher struct {
	log            *logrus.Logger
	status         func() ops.Status
	loggedRevision uint64
}

// Check implements reload.Watcher.
func (w *zoneWatcher) Check() {
	status := w.status()
	err := checkZone(status)
	if err == nil || status.Revision == w.loggedRevision {
		return
	}
	w.loggedRevision = status.Revision
	w.log.WithField("error", err).Error("zone_not_declared")
}
