package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/netip"
	"slices"

	"github.com/pkg/errors"
)

// Zone is an availability zone. Out reports whether operators have taken it out
// of service.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// Number identifies the zone in connection IDs, from 1 to 255.
	Number uint8 `json:"number"`
	Out    bool  `json:"out"`
}

// PartRef refers to one part of a configuration by its name and the digest of
// its content. Size is in bytes.
type PartRef struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
	Size   int    `json:"size"`
}

// Manifest is the root document of a configuration. It declares the zones and
// refers to the parts, which hold the services.
type Manifest struct {
	Revision uint64    `json:"revision"`
	Zones    []Zone    `json:"zones"`
	Parts    []PartRef `json:"parts"`
}

// Part is a document that holds a subset of the services of a configuration.
type Part struct {
	Services []Service `json:"services"`
}

// Config is a validated configuration. It is complete unless it was assembled
// as a partial one.
type Config struct {
	Manifest Manifest
	// Digest identifies the content of the manifest and so, through the
	// digests of its parts, of the whole configuration.
	Digest string

	services []Service
	byAddr   map[netip.AddrPort]int
	byID     map[ServiceID]int
	zones    map[string]Zone
}

// Encode returns the canonical JSON encoding of a manifest, a part or a VM
// list.
func Encode(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	return data, errors.WithStack(err)
}

// Digest returns the hex SHA-256 of data.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// DecodeManifest decodes a JSON manifest. The error is a *DecodeError.
func DecodeManifest(data []byte) (Manifest, error) {
	return decode[Manifest]("manifest", data)
}

// DecodePart decodes a JSON part. The error is a *DecodeError.
func DecodePart(data []byte) (Part, error) {
	return decode[Part]("part", data)
}

// DecodeVMList decodes a JSON list of VMs. The error is a *DecodeError.
func DecodeVMList(data []byte) (VMList, error) {
	return decode[VMList]("vm list", data)
}

func decode[T any](kind string, data []byte) (T, error) {
	var value T
	if err := json.Unmarshal(data, &value); err != nil {
		return value, &DecodeError{Kind: kind, Err: err}
	}
	return value, nil
}

// Assemble builds a configuration from a manifest and its encoded parts, keyed
// by digest. It verifies the digest of each part and validates the result, and
// returns either the whole configuration or an error. If partial is set, it
// skips parts that the manifest refers to and that are missing from parts; an
// agent uses this to hold only its own service. The error is a *PartError, a
// *DecodeError or one of Validate.
func Assemble(manifest Manifest, parts map[string][]byte, partial bool) (*Config, error) {
	encoded, err := Encode(manifest)
	if err != nil {
		return nil, err
	}
	config := &Config{Manifest: manifest, Digest: Digest(encoded)}
	for _, ref := range manifest.Parts {
		data, found := parts[ref.Digest]
		if !found && partial {
			continue
		}
		if !found || Digest(data) != ref.Digest {
			return nil, &PartError{Part: ref.Name, Digest: ref.Digest, Missing: !found}
		}
		part, err := DecodePart(data)
		if err != nil {
			return nil, err
		}
		config.services = append(config.services, part.Services...)
	}
	if err := config.buildIndexes(); err != nil {
		return nil, err
	}
	return config, nil
}

// Services returns the services in order of their IDs.
func (c *Config) Services() []Service {
	return c.services
}

// Service returns the service with the ID and whether it exists.
func (c *Config) Service(id ServiceID) (Service, bool) {
	i, found := c.byID[id]
	if !found {
		return Service{}, false
	}
	return c.services[i], true
}

// ServiceAt returns the service at the address and whether it exists.
func (c *Config) ServiceAt(addr netip.AddrPort) (Service, bool) {
	i, found := c.byAddr[addr]
	if !found {
		return Service{}, false
	}
	return c.services[i], true
}

// Zone returns the zone with the name and whether it is declared.
func (c *Config) Zone(name string) (Zone, bool) {
	zone, found := c.zones[name]
	return zone, found
}

// ZoneOut reports whether operators have taken the zone out of service. A zone
// that is not declared counts as out of service.
func (c *Config) ZoneOut(name string) bool {
	zone, found := c.zones[name]
	return !found || zone.Out
}

// ZonesOut reports which zones are out of service, indexed by zone number.
func (c *Config) ZonesOut() [256]bool {
	var out [256]bool
	for _, zone := range c.Manifest.Zones {
		out[zone.Number] = zone.Out
	}
	return out
}

// Revision returns the revision of the configuration.
func (c *Config) Revision() uint64 {
	return c.Manifest.Revision
}

func (c *Config) buildIndexes() error {
	slices.SortFunc(c.services, func(a, b Service) int {
		return compareServiceIDs(a.ID, b.ID)
	})
	if err := Validate(c.Manifest.Zones, c.services); err != nil {
		return err
	}
	c.byAddr = make(map[netip.AddrPort]int, len(c.services))
	c.byID = make(map[ServiceID]int, len(c.services))
	c.zones = make(map[string]Zone, len(c.Manifest.Zones))
	for i, service := range c.services {
		c.byAddr[service.Addr] = i
		c.byID[service.ID] = i
	}
	for _, zone := range c.Manifest.Zones {
		c.zones[zone.Name] = zone
	}
	return nil
}
