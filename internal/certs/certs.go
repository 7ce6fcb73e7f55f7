// Package certs loads certificates and reloads them when their files change.
package certs

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// FileError reports a certificate, key or authority file that cannot be used.
type FileError struct {
	File string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string {
	return fmt.Sprintf("%s: %v", e.File, e.Err)
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error {
	return e.Err
}

// ExpiredError reports an expired certificate.
type ExpiredError struct {
	NotAfter time.Time
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return "certificate expired at " + e.NotAfter.UTC().Format(time.RFC3339)
}

// Pair is a certificate with its key, read from two PEM files and reloaded by
// Check.
type Pair struct {
	certificateFile string
	keyFile         string
	current         atomic.Pointer[tls.Certificate]

	// Only the goroutine that calls Check may use the fields below.
	lastContent []byte
	onChange    func(from, to string)
	onError     func(error)
}

// LoadPair reads a certificate and its key from PEM files. The error is a
// *FileError.
func LoadPair(certificateFile, keyFile string) (*Pair, error) {
	p := &Pair{certificateFile: certificateFile, keyFile: keyFile}
	content, err := p.readFiles()
	if err != nil {
		return nil, err
	}
	loaded, err := p.parse(content)
	if err != nil {
		return nil, err
	}
	p.lastContent = bytes.Join(content[:], nil)
	p.current.Store(loaded)
	return p, nil
}

// OnChange sets the functions that Check calls: onChange with summaries of the
// old and new certificate after a change, and onError for files that it rejects.
// It must be called before Check.
func (p *Pair) OnChange(onChange func(from, to string), onError func(error)) {
	p.onChange = onChange
	p.onError = onError
}

// GetCertificate returns the current certificate, for use in a tls.Config.
func (p *Pair) GetCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return p.current.Load(), nil
}

// GetClientCertificate returns the current certificate, for use in a tls.Config.
func (p *Pair) GetClientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return p.current.Load(), nil
}

// Check reads the files once and applies a valid change. It rejects a
// certificate that does not match its key, so the two files may be replaced one
// after the other.
func (p *Pair) Check() {
	content, err := p.readFiles()
	joined := bytes.Join(content[:], nil)
	if err != nil {
		joined = []byte(err.Error())
	}
	if bytes.Equal(joined, p.lastContent) {
		return
	}
	p.lastContent = joined
	if err != nil {
		p.onError(err)
		return
	}
	loaded, err := p.parse(content)
	if err != nil {
		p.onError(err)
		return
	}
	previous := p.current.Swap(loaded)
	p.onChange(summary(previous), summary(loaded))
}

func (p *Pair) readFiles() ([2][]byte, error) {
	certificate, err := os.ReadFile(p.certificateFile)
	if err != nil {
		return [2][]byte{}, &FileError{File: p.certificateFile, Err: err}
	}
	key, err := os.ReadFile(p.keyFile)
	if err != nil {
		return [2][]byte{}, &FileError{File: p.keyFile, Err: err}
	}
	return [2][]byte{certificate, key}, nil
}

func (p *Pair) parse(content [2][]byte) (*tls.Certificate, error) {
	loaded, err := tls.X509KeyPair(content[0], content[1])
	if err != nil {
		return nil, &FileError{File: p.certificateFile, Err: err}
	}
	if time.Now().After(loaded.Leaf.NotAfter) {
		return nil, &FileError{File: p.certificateFile, Err: &ExpiredError{NotAfter: loaded.Leaf.NotAfter}}
	}
	return &loaded, nil
}

// summary returns the first 8 bytes of the certificate's SHA-256 fingerprint and
// its expiry time.
func summary(c *tls.Certificate) string {
	sum := sha256.Sum256(c.Leaf.Raw)
	return "sha256=" + hex.EncodeToString(sum[:8]) + " until=" + c.Leaf.NotAfter.UTC().Format(time.RFC3339)
}

// LoadAuthority reads trusted root certificates from a PEM file. The error is a
// *FileError.
func LoadAuthority(path string) (*x509.CertPool, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{File: path, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, &FileError{File: path, Err: errors.WithStack(&NoCertificateError{})}
	}
	return pool, nil
}

// NoCertificateError reports an authority file without a PEM certificate.
type NoCertificateError struct{}

// Error implements error.
func (*NoCertificateError) Error() string {
	return "holds no PEM certificate"
}
