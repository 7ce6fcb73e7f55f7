// Package pki creates short-lived certificates for tests and the demo.
package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// Authority is a certificate authority.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns a certificate authority with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(24 * time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// RootCAs returns a pool that holds the authority's certificate.
func (a *Authority) RootCAs() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return pool
}

// CertificatePEM returns the authority's certificate in PEM form.
func (a *Authority) CertificatePEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.certificate.Raw})
}

// Issue returns a certificate and its key in PEM form for the DNS names and
// 127.0.0.1, valid for servers and clients.
func (a *Authority) Issue(names ...string) (certificate, key []byte, err error) {
	leafKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: names[0]},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(24 * time.Hour),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		DNSNames:     names,
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &leafKey.PublicKey, a.key)
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(leafKey)
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	certificate = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	key = pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	return certificate, key, nil
}

// IssueFiles issues a certificate for the names and writes it and its key to
// NAME.crt and NAME.key in the folder.
func (a *Authority) IssueFiles(folder, name string, names ...string) error {
	certificate, key, err := a.Issue(names...)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, name+".crt"), certificate, 0o600); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(filepath.Join(folder, name+".key"), key, 0o600))
}

// TLSCertificate issues a certificate for the names and returns it as a
// tls.Certificate.
func (a *Authority) TLSCertificate(names ...string) (tls.Certificate, error) {
	certificate, key, err := a.Issue(names...)
	if err != nil {
		return tls.Certificate{}, err
	}
	pair, err := tls.X509KeyPair(certificate, key)
	return pair, errors.WithStack(err)
}
