package cli

import (
	"context"
	"crypto/tls"
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"
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

const auditSize = 1000 // records

// base holds what both roles start from.
type base struct {
	common  settings.Common
	started time.Time
	log     *logrus.Logger
	trail   *audit.Trail
	ring    *keyring.Ring
	loop    *reload.Loop
	// mesh is the TLS configuration of links to other processes.
	mesh *tls.Config
}

// newBase loads what the settings name. It starts nothing.
func newBase(common settings.Common, out io.Writer) (*base, error) {
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
	trail := audit.NewTrail(log, auditSize)
	b := &base{
		common:  common,
		started: time.Now(),
		log:     log,
		trail:   trail,
		ring:    ring,
		loop:    reload.New(log, trail),
		mesh: &tls.Config{
			GetCertificate:       pair.GetCertificate,
			GetClientCertificate: pair.GetClientCertificate,
			RootCAs:              authority,
			MinVersion:           tls.VersionTLS13,
		},
	}
	b.watchKeys()
	b.watchPair(pair, common.Mesh.Certificate)
	return b, nil
}

func (b *base) watchKeys() {
	path := b.common.KeyFile
	changed := b.loop.Changed(audit.Keys, path)
	report := func(from, to keyring.Keys) { changed(from.String(), to.String()) }
	b.loop.Watch(keyring.NewWatcher(path, b.ring, report, b.loop.Failed(audit.Keys, path)))
}

func (b *base) watchPair(pair *certs.Pair, path string) {
	pair.OnChange(b.loop.Changed(audit.Certificate, path), b.loop.Failed(audit.Certificate, path))
	b.loop.Watch(pair)
}

// role is a process of the system.
type role interface {
	metrics.Source
	Ready() error
	Run(ctx context.Context) error
}

// run serves the role with its endpoint for operators until the role ends.
func (b *base) run(ctx context.Context, r role, status func() ops.Status) error {
	b.loop.Watch(&zoneWatcher{log: b.log, status: status})
	ready := func() error {
		if err := r.Ready(); err != nil {
			return err
		}
		return checkZone(status())
	}
	server, err := ops.Listen(
		ops.Config{Address: b.common.Ops.Address, Remote: b.common.Ops.Remote},
		ops.Process{
			Status:  func() ops.Status { return b.complete(status()) },
			Ready:   ready,
			Metrics: []metrics.Source{r, b.loop},
			Trail:   b.trail,
		},
	)
	if err != nil {
		return err
	}
	b.log.WithField("ops", server.Addr()).Info("ops_listening")
	side, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	defer group.Wait()
	defer stop()
	group.Go(func() { b.loop.Run(side) })
	group.Go(func() {
		if err := server.Serve(side); err != nil {
			b.log.WithField("error", err).Error("ops_failed")
		}
	})
	return errors.WithStack(r.Run(ctx))
}

// complete adds what does not depend on the role.
func (b *base) complete(status ops.Status) ops.Status {
	status.Version = Version()
	status.UptimeMS = time.Since(b.started).Milliseconds()
	return status
}

// untilSignal returns a context that ends with SIGINT or SIGTERM.
func untilSignal(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
}
