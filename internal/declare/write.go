package declare

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/platform"
)

// Write writes each value to a file in the folder, named by the value's key. It
// writes the manifest last, so that it never refers to a part that is missing.
func (b *Bundle) Write(folder string) error {
	for _, ref := range b.Manifest.Parts {
		if err := writeValue(folder, platform.KeyPart(ref.Digest), b.Parts[ref.Digest]); err != nil {
			return err
		}
	}
	return writeValue(folder, platform.KeyManifest, b.EncodedManifest)
}

// CheckRevision reads the previous manifest from the file at path, returns it,
// and rejects a revision that is not higher than the previous one. The error is
// a *RevisionError, or says why the file cannot be read.
func CheckRevision(revision uint64, path string) (fleet.Manifest, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return fleet.Manifest{}, errors.WithStack(err)
	}
	previous, err := fleet.DecodeManifest(data)
	if err != nil {
		return fleet.Manifest{}, errors.WithMessage(err, path)
	}
	if revision <= previous.Revision {
		return previous, &RevisionError{Revision: revision, Previous: previous.Revision}
	}
	return previous, nil
}

// writeValue replaces the file atomically.
func writeValue(folder, key string, data []byte) error {
	path := filepath.Join(folder, filepath.FromSlash(key))
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return errors.WithStack(err)
	}
	temporary := path + ".new"
	if err := os.WriteFile(temporary, data, 0o644); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.Rename(temporary, path))
}
