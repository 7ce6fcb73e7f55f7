package mesh

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// handshakeListener returns connections whose TLS handshake is complete, and
// counts rejected ones by cause.
type handshakeListener struct {
	net.Listener
	config  *tls.Config
	timeout time.Duration
	counts  *counters
	slots   chan struct{}
	ready   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func newHandshakeListener(inner net.Listener, config Config, counts *counters) *handshakeListener {
	l := &handshakeListener{
		Listener: inner,
		config:   serverTLS(config.TLS),
		timeout:  config.OpenTimeout,
		counts:   counts,
		slots:    make(chan struct{}, config.MaxLinks),
		ready:    make(chan net.Conn),
		done:     make(chan struct{}),
	}
	go l.acceptLoop()
	return l
}

func (l *handshakeListener) acceptLoop() {
	for {
		conn, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			l.once.Do(func() { close(l.done) })
			return
		}
		if err != nil {
			continue
		}
		select {
		case l.slots <- struct{}{}:
			go l.handshake(&limitedConn{Conn: conn, release: func() { <-l.slots }})
		default:
			l.counts.countRefused(causeTooManyLinks)
			_ = conn.Close()
		}
	}
}

func (l *handshakeListener) handshake(conn net.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), l.timeout)
	defer cancel()
	tlsConn := tls.Server(conn, l.config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		l.counts.countRefused(handshakeCause(err))
		_ = conn.Close()
		return
	}
	select {
	case l.ready <- tlsConn:
	case <-l.done:
		_ = conn.Close()
	}
}

// Accept implements net.Listener.
func (l *handshakeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.ready:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// limitedConn frees its slot among the accepted connections when it is closed.
type limitedConn struct {
	net.Conn
	release func()
	once    sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}

func handshakeCause(err error) string {
	var verification *tls.CertificateVerificationError
	var name *CertificateNameError
	var network net.Error
	switch {
	case errors.As(err, &name):
		return causeCertificateName
	case errors.As(err, &verification):
		return causeCertificate
	case errors.As(err, &network) && network.Timeout():
		return causeTimeout
	default:
		return causeHandshake
	}
}
