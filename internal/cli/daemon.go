package cli

import (
	"context"
	"crypto/tls"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/internal/audit"
	"github.com/turmericrock/turmericrock/internal/certs"
	"github.com/turmericrock/turmericrock/internal/logging"
	"github.com/turmericrock/turmericrock/internal/metrics"
	"github.com/turmericrock/turmericrock/internal/ops"
	"github.com/turmericrock/turmericrock/internal/reload"
	"github.com/turmericrock/turmericrock/internal/settings"
	"github.com/turmericrock/turmericrock/keyring"
)

const auditCapacity = 1000 // records

// daemon holds what entry and agent processes have in common.
type daemon struct {
	common  settings.Common
	started time.Time
	log     *logrus.Logger
	trail   *audit.Trail
	ring    *keyring.Ring
	poller  *reload.Poller
	// mesh is the TLS configuration of links to other processes.
	mesh *tls.Config
}

// newDaemon loads the key and certificate files that the settings name. It starts
// nothing.
func newDaemon(common settings.Common, out io.Writer) (*daemon, error) {
	log, err := logging.New(out, common.LogLevel)
	if err != nil {
		return nil, err
	}
	keys, err := keyring.LoadFile(common.KeyFile)
	if err != nil {
		return nil, err
	}
	ring, err := keyring.NewRing(keys)
	if err != nil {
		return nil, err
	}
	pair, err := certs.LoadPair(common.Mesh.Certificate, common.Mesh.Key)
	if err != nil {
		return nil, err
	}
	authority, err := certs.LoadAuthority(common.Mesh.Authority)
	if err != nil {
		return nil, err
	}
	trail := audit.NewTrail(log, auditCapacity)
	d := &daemon{
		common:  common,
		started: time.Now(),
		log:     log,
		trail:   trail,
		ring:    ring,
		poller:  reload.New(log, trail),
		mesh: &tls.Config{
			GetCertificate:       pair.GetCertificate,
			GetClientCertificate: pair.GetClientCertificate,
			RootCAs:              authority,
			MinVersion:           tls.VersionTLS13,
		},
	}
	d.watchKeys()
	d.watchPair(pair, common.Mesh.Certificate)
	return d, nil
}

func (d *daemon) watchKeys() {
	path := d.common.KeyFile
	changed := d.poller.ChangeRecorder(audit.Keys, path)
	report := func(from, to keyring.Keys) { changed(from.String(), to.String()) }
	d.poller.Watch(keyring.NewWatcher(path, d.ring, report, d.poller.FailureRecorder(audit.Keys, path)))
}

func (d *daemon) watchPair(pair *certs.Pair, path string) {
	pair.OnChange(d.poller.ChangeRecorder(audit.Certificate, path), d.poller.FailureRecorder(audit.Certificate, path))
	d.poller.Watch(pair)
}

// role is an entry or an agent.
type role interface {
	metrics.Source
	Ready() error
	Run(ctx context.Context) error
}

// run runs the role and serves its operators' endpoint until the role ends.
func (d *daemon) run(ctx context.Context, r role, status func() ops.Status) error {
	d.poller.Watch(&zoneWatcher{log: d.log, status: status})
	ready := func() error {
		if err := r.Ready(); err != nil {
			return err
		}
		return checkZone(status())
	}
	server, err := ops.Listen(
		ops.Config{Address: d.common.Ops.Address, AllowRemote: d.common.Ops.Remote},
		ops.Process{
			Status:  func() ops.Status { return d.addProcessInfo(status()) },
			Ready:   ready,
			Metrics: []metrics.Source{r, d.poller},
			Trail:   d.trail,
		},
	)
	if err != nil {
		return err
	}
	d.log.WithField("ops", server.Addr()).Info("ops_listening")
	sideCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	defer group.Wait()
	defer stop()
	group.Go(func() { d.poller.Run(sideCtx) })
	group.Go(func() {
		if err := server.Serve(sideCtx); err != nil {
			d.log.WithField("error", err).Error("ops_failed")
		}
	})
	return errors.WithStack(r.Run(ctx))
}

// addProcessInfo adds the fields that are the same for all roles to the status.
func (d *daemon) addProcessInfo(status ops.Status) ops.Status {
	status.Version = Version()
	status.UptimeMS = time.Since(d.started).Milliseconds()
	return status
}
