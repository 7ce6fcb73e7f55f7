package certs_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/internal/certs"
	"github.com/turmericrock/turmericrock/internal/standin/pki"
)

func TestPairReloadsCertificateAndKeyTogether(t *testing.T) {
	authority, err := pki.NewAuthority()
	must.NoError(t, err)
	folder := t.TempDir()
	must.NoError(t, authority.IssueFiles(folder, "a", "a.test"))
	certificate, key := filepath.Join(folder, "a.crt"), filepath.Join(folder, "a.key")
	pair, err := certs.LoadPair(certificate, key)
	must.NoError(t, err)
	changes, failures := 0, 0
	pair.OnChange(func(from, to string) {
		must.NotEq(t, from, to)
		changes++
	}, func(error) { failures++ })
	first, err := pair.GetCertificate(nil)
	must.NoError(t, err)
	pair.Check()
	must.Eq(t, 0, changes+failures)

	// Until its key is replaced too, the new certificate is rejected.
	newCertificate, newKey, err := authority.Issue("b.test")
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(certificate, newCertificate, 0o600))
	pair.Check()
	pair.Check()
	must.Eq(t, 1, failures)
	kept, _ := pair.GetCertificate(nil)
	must.True(t, first == kept)

	must.NoError(t, os.WriteFile(key, newKey, 0o600))
	pair.Check()
	must.Eq(t, 1, changes)
	second, _ := pair.GetClientCertificate(nil)
	must.Eq(t, []string{"b.test"}, second.Leaf.DNSNames)

	must.NoError(t, os.Remove(key))
	pair.Check()
	must.Eq(t, 2, failures)
	kept, _ = pair.GetCertificate(nil)
	must.True(t, second == kept)
}

func TestLoadRejectsUnusableFiles(t *testing.T) {
	folder := t.TempDir()
	empty := filepath.Join(folder, "empty")
	must.NoError(t, os.WriteFile(empty, nil, 0o600))
	var fileErr *certs.FileError
	_, err := certs.LoadPair(empty, empty)
	must.True(t, errors.As(err, &fileErr))
	_, err = certs.LoadPair(filepath.Join(folder, "none"), empty)
	must.True(t, errors.As(err, &fileErr))
	_, err = certs.LoadAuthority(empty)
	must.True(t, errors.As(err, &fileErr))
	_, err = certs.LoadAuthority(filepath.Join(folder, "none"))
	must.True(t, errors.As(err, &fileErr))
}
