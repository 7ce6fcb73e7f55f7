package declare

import (
	"slices"
	"strings"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/platform"
)

// Bundle is a configuration encoded for publication on the platform. The same
// declarations and revision yield the same bytes.
type Bundle struct {
	Manifest fleet.Manifest
	// EncodedManifest is the value of platform.KeyManifest.
	EncodedManifest []byte
	// Parts holds the encoded parts by the digest of their content.
	Parts map[string][]byte
}

// NewBundle encodes the declarations under the revision. It doubles the number
// of parts, up to fleet.MaxPartCount, until every value is within the
// platform's size limit. The error is a *SizeError or one of package fleet.
func NewBundle(d *Declarations, revision uint64) (*Bundle, error) {
	for count := fleet.MinPartCount; ; count *= 2 {
		bundle, err := encodeBundle(d, revision, count)
		if err != nil {
			return nil, err
		}
		err = bundle.checkSizes()
		if err != nil && count < fleet.MaxPartCount {
			continue
		}
		if err != nil {
			return nil, err
		}
		_, err = fleet.Assemble(bundle.Manifest, bundle.Parts, false)
		return bundle, err
	}
}

// LargestPart returns the size of the largest part in bytes.
func (b *Bundle) LargestPart() int {
	largest := 0
	for _, data := range b.Parts {
		largest = max(largest, len(data))
	}
	return largest
}

// ChangedParts returns the parts whose content the previous manifest does not
// refer to.
func (b *Bundle) ChangedParts(previous fleet.Manifest) []fleet.PartRef {
	var changed []fleet.PartRef
	for _, ref := range b.Manifest.Parts {
		known := slices.ContainsFunc(previous.Parts, func(old fleet.PartRef) bool {
			return old.Digest == ref.Digest
		})
		if !known {
			changed = append(changed, ref)
		}
	}
	return changed
}

func encodeBundle(d *Declarations, revision uint64, count int) (*Bundle, error) {
	bundle := &Bundle{
		Manifest: fleet.Manifest{Revision: revision, Zones: d.Zones, Parts: []fleet.PartRef{}},
		Parts:    make(map[string][]byte),
	}
	services := make(map[string][]fleet.Service)
	for _, service := range d.Services {
		name := fleet.PartName(service.ID, count)
		services[name] = append(services[name], service)
	}
	for name, members := range services {
		data, err := fleet.Encode(fleet.Part{Services: members})
		if err != nil {
			return nil, err
		}
		ref := fleet.PartRef{Name: name, Digest: fleet.Digest(data), Size: len(data)}
		bundle.Manifest.Parts = append(bundle.Manifest.Parts, ref)
		bundle.Parts[ref.Digest] = data
	}
	slices.SortFunc(bundle.Manifest.Parts, func(a, b fleet.PartRef) int {
		return strings.Compare(a.Name, b.Name)
	})
	root, err := fleet.Encode(bundle.Manifest)
	bundle.EncodedManifest = root
	return bundle, err
}

func (b *Bundle) checkSizes() error {
	if len(b.EncodedManifest) > platform.MaxValue {
		return &SizeError{Name: platform.KeyManifest, Size: len(b.EncodedManifest), Limit: platform.MaxValue}
	}
	for _, ref := range b.Manifest.Parts {
		if ref.Size > platform.MaxValue {
			return &SizeError{Name: "part " + ref.Name, Size: ref.Size, Limit: platform.MaxValue}
		}
	}
	return nil
}
