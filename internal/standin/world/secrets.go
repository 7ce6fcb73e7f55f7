package world

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/keyring"
)

const (
	keyFileName     = "keys.ini"
	firstGeneration = 1
)

// fleetKeys are the fleet's secret keys by generation, as stored in the key
// file.
type fleetKeys struct {
	active uint8
	keys   map[uint8][keyring.SecretSize]byte
}

func newFleetKeys() *fleetKeys {
	return &fleetKeys{active: firstGeneration, keys: make(map[uint8][keyring.SecretSize]byte)}
}

func (s *fleetKeys) add(generation uint8) error {
	var secret [keyring.SecretSize]byte
	if _, err := rand.Read(secret[:]); err != nil {
		return errors.WithStack(err)
	}
	s.keys[generation] = secret
	return nil
}

// String returns the content of the key file.
func (s *fleetKeys) String() string {
	var out strings.Builder
	_, _ = fmt.Fprintf(&out, "[keys]\nactive = %d\n", s.active)
	for _, generation := range slices.Sorted(maps.Keys(s.keys)) {
		secret := s.keys[generation]
		_, _ = fmt.Fprintf(&out, "\n[key %d]\nsecret = %s\n", generation, hex.EncodeToString(secret[:]))
	}
	return out.String()
}

// AddKey adds a key that processes accept but do not use yet.
func (w *World) AddKey(generation uint8) error {
	if err := w.fleetKeys.add(generation); err != nil {
		return err
	}
	return w.writeKeys()
}

// ActivateKey makes processes use the key of the generation for everything
// they issue from now on.
func (w *World) ActivateKey(generation uint8) error {
	w.fleetKeys.active = generation
	return w.writeKeys()
}

// RemoveKey removes a key, so that processes no longer accept it.
func (w *World) RemoveKey(generation uint8) error {
	delete(w.fleetKeys.keys, generation)
	return w.writeKeys()
}

// writeKeys replaces the key file atomically, so that no process reads a
// partial file.
func (w *World) writeKeys() error {
	temporary := w.filePath(keyFileName + ".new")
	if err := os.WriteFile(temporary, []byte(w.fleetKeys.String()), 0o600); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.Rename(temporary, w.filePath(keyFileName)))
}

// writeKeysAndCertificates writes the first key and the certificates of the
// mesh and the services.
func (w *World) writeKeysAndCertificates() error {
	if err := os.MkdirAll(w.config.Folder, 0o755); err != nil {
		return errors.WithStack(err)
	}
	if err := w.AddKey(firstGeneration); err != nil {
		return err
	}
	if err := os.WriteFile(w.filePath("authority.crt"), w.authority.CertificatePEM(), 0o600); err != nil {
		return errors.WithStack(err)
	}
	if err := w.authority.IssueFiles(w.config.Folder, "mesh", MeshName); err != nil {
		return err
	}
	for _, service := range w.config.Services {
		if err := w.authority.IssueFiles(w.config.Folder, certificateName(service.ID), ServerName(service.ID)); err != nil {
			return err
		}
	}
	return nil
}
