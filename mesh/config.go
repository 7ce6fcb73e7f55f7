// Package mesh carries the messages of package dissemination between processes
// as CBOR over WebSocket and mutual TLS. It opens, accepts and closes links on
// request and makes no decisions itself.
package mesh

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/dissemination"
)

// ServerName is the DNS name in the certificate of every process.
const ServerName = "mesh.turmericrock"

// Config holds the settings of a Mesh.
type Config struct {
	// Address is the TCP address on which links are accepted.
	Address netip.AddrPort
	// TLS holds the process's certificate, and the CA certificate as RootCAs.
	TLS *tls.Config
	// Hello is sent to the peer on an accepted link.
	Hello dissemination.Hello
	// SendQueueSize is the maximum number of messages queued on one link.
	SendQueueSize int
	// MaxLinks limits the number of accepted connections that are open.
	MaxLinks int
	// OpenTimeout limits how long a link may take to open.
	OpenTimeout time.Duration
	// WriteTimeout limits how long it may take to send one message.
	WriteTimeout time.Duration
}

// DefaultConfig returns the default settings. Address, TLS and Hello have no
// default.
func DefaultConfig() Config {
	return Config{
		SendQueueSize: 64,
		MaxLinks:      128,
		OpenTimeout:   4 * time.Second,
		WriteTimeout:  5 * time.Second,
	}
}

// LoadTLS reads the process's certificate and key, and the certificate of the
// CA that signs its peers' certificates. All are PEM files.
func LoadTLS(certificate, key, authority string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	data, err := os.ReadFile(authority)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, &CAFileError{File: authority}
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}

// serverTLS returns a configuration that accepts only peers with a certificate
// for ServerName.
func serverTLS(base *tls.Config) *tls.Config {
	config := base.Clone()
	config.ClientCAs = base.RootCAs
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.NextProtos = []string{"http/1.1"}
	config.VerifyConnection = func(state tls.ConnectionState) error {
		if err := state.PeerCertificates[0].VerifyHostname(ServerName); err != nil {
			return &CertificateNameError{Err: err}
		}
		return nil
	}
	return config
}

func clientTLS(base *tls.Config) *tls.Config {
	config := base.Clone()
	config.ServerName = ServerName
	config.ClientSessionCache = tls.NewLRUClientSessionCache(sessionCacheSize)
	return config
}

const sessionCacheSize = 32
