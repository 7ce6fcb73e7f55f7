package dissemination

import (
	"slices"

	"github.com/turmericrock/turmericrock/fleet"
)

// valueStore stores manifests and parts by digest.
type valueStore struct {
	parts map[string][]byte
	// manifests holds the latest manifests, oldest first, so that nodes with an
	// older one can be sent a difference.
	manifests []storedManifest
}

// storedManifest is a manifest with its digest and its encoding.
type storedManifest struct {
	digest   string
	manifest fleet.Manifest
	raw      []byte
}

// manifestHistory is the maximum number of manifests held.
const manifestHistory = 4

func newValueStore() valueStore {
	return valueStore{parts: make(map[string][]byte)}
}

func (s *valueStore) manifest(digest string) (storedManifest, bool) {
	i := slices.IndexFunc(s.manifests, func(m storedManifest) bool { return m.digest == digest })
	if i < 0 {
		return storedManifest{}, false
	}
	return s.manifests[i], true
}

// addManifest adds a manifest that came into force and drops parts that are no
// longer needed.
func (s *valueStore) addManifest(m storedManifest) {
	if _, found := s.manifest(m.digest); found {
		return
	}
	s.manifests = append(s.manifests, m)
	if len(s.manifests) > manifestHistory {
		s.manifests = slices.Delete(s.manifests, 0, 1)
	}
	s.pruneParts(m.manifest)
}

// pruneParts drops the parts that are neither in the latest manifest nor in
// the one before it.
func (s *valueStore) pruneParts(current fleet.Manifest) {
	named := make(map[string]bool, len(current.Parts))
	for _, m := range s.manifests[max(0, len(s.manifests)-2):] {
		for _, ref := range m.manifest.Parts {
			named[ref.Digest] = true
		}
	}
	for digest := range s.parts {
		if !named[digest] {
			delete(s.parts, digest)
		}
	}
}

// manifestUpdate returns the manifest with the digest, as a difference from
// base if base is held and yields that digest, and otherwise whole. It returns
// nil if the manifest is not held.
func (s *valueStore) manifestUpdate(digest, base string) *ManifestUpdate {
	to, found := s.manifest(digest)
	if !found {
		return nil
	}
	whole := &ManifestUpdate{Whole: to.raw}
	from, found := s.manifest(base)
	if !found {
		return whole
	}
	update, err := DiffManifests(from.manifest, to.manifest)
	if err != nil {
		return whole
	}
	merged, err := MergeManifest(from.manifest, update)
	if err != nil || digestOf(merged) != digest {
		return whole
	}
	update.Base = rawDigest(base)
	return update
}

// digestOf returns the digest of a manifest, or "" if it cannot be encoded.
func digestOf(manifest fleet.Manifest) string {
	data, err := fleet.Encode(manifest)
	if err != nil {
		return ""
	}
	return fleet.Digest(data)
}
