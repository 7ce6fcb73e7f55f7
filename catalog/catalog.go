// Package catalog holds the routes, services, hosts and evacuated zones that
// operators and hosts declare in the platform's store. A Tracker publishes them
// as immutable snapshots, which the packet path reads without a lock; a Syncer
// keeps the Tracker up to date.
package catalog

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericrock/turmericrock/flow"
)

// Target is a service that receives a share of a route's flows.
type Target struct {
	Service string
	// Weight is the share, relative to the weights of the other targets.
	Weight float64
}

// Route assigns the flows for an address and port to services.
type Route struct {
	Name    string
	Targets []Target
	// Timeout is the maximum duration of a request of the route.
	Timeout time.Duration
	// TargetLatency is the latency objective of a request.
	TargetLatency time.Duration
	// Priority orders routes under overload; 0 is the highest.
	Priority int
	// Retryable reports whether a request may be executed more than once.
	Retryable bool
	// Bulk reports whether the route's flows transfer large amounts of data.
	Bulk bool
	// FormerServices are services that were targets in earlier versions of the
	// configuration. They may still hold open flows.
	FormerServices []FormerService
}

// Pick returns the service for a flow with the given hash. All processes with
// the same configuration pick the same one.
func (r *Route) Pick(hash uint64) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	point := float64(hash>>11) / (1 << 53) * total
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Allows reports whether the service is a target of the route with a positive
// weight.
func (r *Route) Allows(service string) bool {
	for _, t := range r.Targets {
		if t.Service == service && t.Weight > 0 {
			return true
		}
	}
	return false
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  uint64
	Routes   map[flow.Endpoint]*Route
	Services map[string]ServiceConfig
	// IdleTimeout is how long a flow may be idle before its state may be
	// discarded. It is set by operators; the lifetime of a flow is a setting of
	// the platform (see datagram.AgentConfig).
	IdleTimeout time.Duration
}

// ServiceConfig is the operators' declaration of a service.
type ServiceConfig struct {
	HealthPath string
	// MaxFlows is the maximum number of flows that a host of the service holds.
	MaxFlows int
	// Warmup is how long a host is cold after its start.
	Warmup time.Duration
	// WarmupPerSecond is the maximum rate of new flows per second at a cold
	// host; 0 means no limit.
	WarmupPerSecond float64
	// Retired reports that the configuration no longer declares the service. Its hosts get
	// no new flows, but may hold open ones. RetiredAt is when the process applied the first
	// configuration without it, on the local clock.
	Retired   bool
	RetiredAt time.Duration
}

// Host is a backend server, as described by its own entry in the store.
type Host struct {
	ID      string
	Service string
	// Addr is the endpoint at which the host receives packets. The host's agent
	// has the same IP address.
	Addr flow.Endpoint
	Zone string
	// Slots is the number of requests that the host processes concurrently.
	Slots    int
	Draining bool
	// WarmupLeft is the remaining warm-up time that the host reported.
	WarmupLeft time.Duration
	// WarmupReadAt is when WarmupLeft was read, on the local clock.
	WarmupReadAt time.Duration
	// StartUnixMilli is the host's start time in Unix milliseconds, on the
	// host's clock.
	StartUnixMilli int64
	// Sequence counts the descriptions that the host has written since its start.
	Sequence int64
	// Created is the position at which the entry was created, or zero if it is not known.
	Created Position
	// Position is that of the last change of the host's entry.
	Position
}

// Cold reports whether the host is still warming up at a time on the local
// clock.
func (h *Host) Cold(now time.Duration) bool {
	return now < h.WarmupReadAt+h.WarmupLeft
}

// Service is a service with its hosts.
type Service struct {
	Name string
	Tag  uint32
	ServiceConfig
	// Hosts are sorted by address, so that all processes see the same order.
	Hosts []*Host
	// Lapsed are hosts whose entries were found to be removed when the store came
	// back after an outage. Running hosts renew their entries within
	// LapsedHostGrace.
	Lapsed []*Host
}

// LapsedHostGrace is how long hosts whose entries lapsed while the store was away may
// still receive new flows.
const LapsedHostGrace = 2 * time.Second

// RemovedHost is a host whose entry in the store was removed.
type RemovedHost struct {
	Agent   [4]byte
	Service string
	// RemovedAt is when the entry was found to be removed, on the local clock.
	RemovedAt time.Duration
}

// Catalog is an immutable snapshot. It must not be modified after it is
// published.
type Catalog struct {
	// Position is the store's position up to which the snapshot is complete.
	Position
	// ConfirmedAt is the last time at which the snapshot was known to match the
	// store, on the local clock.
	ConfirmedAt time.Duration
	// FirstPublishedAt is the ConfirmedAt of the first snapshot that the
	// process published.
	FirstPublishedAt time.Duration
	// ConfigsKnownSince is the time since which the process, or a peer that has told it,
	// knows all configurations, so that no route has had other targets than its present and
	// former services since then.
	ConfigsKnownSince time.Duration
	// HealthySince is the time since which no read has failed. Reading a
	// complete history at startup moves it back (see Tracker.ApplyHistory).
	HealthySince time.Duration
	Config       *Config
	Services     map[string]*Service
	ByTag        map[uint32]*Service
	// Hosts maps the address of a machine to the host that holds it (see holderOf).
	Hosts map[[4]byte]*Host
	// HasUndeclaredHosts reports that the store lists hosts of services that the configuration
	// does not declare. They are left out.
	HasUndeclaredHosts bool
	// Agents are the addresses of all agents, sorted.
	Agents [][4]byte
	// LapsedAt is when the hosts in Service.Lapsed were found to be removed.
	LapsedAt time.Duration
	// Removed are hosts whose entries were removed less than a flow's lifetime
	// ago. They may still be running, because entries expire during a store
	// outage.
	Removed []RemovedHost
	// Evacuated is the set of zones that operators have taken out of service.
	Evacuated map[string]bool
}

// Usable reports whether the host may receive new flows.
func (c *Catalog) Usable(h *Host) bool {
	return !h.Draining && !c.Evacuated[h.Zone]
}

// Tag returns the hash that identifies a service in messages between processes.
func Tag(service string) uint32 {
	return uint32(xxhash.Sum64String(service))
}

// ZoneTag returns the hash, never 0, that identifies an availability zone in messages
// between processes.
func ZoneTag(zone string) uint16 {
	return max(1, uint16(xxhash.Sum64String(zone)))
}

// buildCatalog returns a snapshot of the configuration, the hosts by ID and the
// evacuated zones. It leaves out hosts of services that are not declared, whose entries
// may be another writer's. Of several hosts at one address it contains only the holder (see
// holderOf).
func buildCatalog(config *Config, hosts, lapsed map[string]*Host, evacuated map[string]bool) *Catalog {
	c := &Catalog{
		Config:    config,
		Services:  make(map[string]*Service, len(config.Services)),
		ByTag:     make(map[uint32]*Service, len(config.Services)),
		Hosts:     make(map[[4]byte]*Host, len(hosts)),
		Evacuated: make(map[string]bool, len(evacuated)),
	}
	for zone := range evacuated {
		c.Evacuated[zone] = true
	}
	for name, serviceConfig := range config.Services {
		s := &Service{Name: name, Tag: Tag(name), ServiceConfig: serviceConfig}
		c.Services[name] = s
		c.ByTag[s.Tag] = s
	}
	c.addHosts(hosts)
	for addr, h := range c.Hosts {
		c.Agents = append(c.Agents, addr)
		if s := c.Services[h.Service]; s != nil {
			s.Hosts = append(s.Hosts, h)
		}
	}
	for _, h := range lapsed {
		if s := c.Services[h.Service]; s != nil && c.Hosts[h.Addr.Addr] == nil {
			s.Lapsed = append(s.Lapsed, h)
		}
	}
	sort.Slice(c.Agents, func(i, j int) bool { return lessAddr(c.Agents[i], c.Agents[j]) })
	for _, s := range c.Services {
		sort.Slice(s.Hosts, func(i, j int) bool { return lessAddr(s.Hosts[i].Addr.Addr, s.Hosts[j].Addr.Addr) })
	}
	return c
}

// addHosts adds the hosts of declared services, one for each address.
func (c *Catalog) addHosts(hosts map[string]*Host) {
	contenders := make(map[[4]byte][]*Host) // The entries for each address that more than one gives.
	for _, h := range hosts {
		if _, declared := c.Config.Services[h.Service]; !declared {
			c.HasUndeclaredHosts = true
			continue
		}
		addr := h.Addr.Addr
		if other, ok := c.Hosts[addr]; ok {
			if contenders[addr] == nil {
				contenders[addr] = []*Host{other}
			}
			contenders[addr] = append(contenders[addr], h)
			continue
		}
		c.Hosts[addr] = h
	}
	for addr, entries := range contenders {
		c.Hosts[addr] = holderOf(entries)
	}
}

func lessAddr(a, b [4]byte) bool {
	return string(a[:]) < string(b[:])
}
