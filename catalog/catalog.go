// Package catalog holds what the operators and the hosts have declared:
// routes, services, hosts and zones out of service, as an immutable snapshot
// that traffic reads without a lock, and the tracker that builds it.
package catalog

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericrock/turmericrock/flow"
)

// Target is a service that a route sends a share of its flows to.
type Target struct {
	Service string
	// Weight is the share relative to the other targets.
	Weight float64
}

// Route sends the flows for an address and port to services.
type Route struct {
	Name    string
	Targets []Target
	// Timeout is how long a request of the route may take.
	Timeout time.Duration
	// TargetLatency is the latency objective of a request.
	TargetLatency time.Duration
	// Priority orders routes under overload; 0 is the highest.
	Priority int
	// Retryable tells whether a request may run more than once.
	Retryable bool
	// Bulk tells that the route's flows carry much data.
	Bulk bool
	// FormerServices are services that earlier versions sent flows to; open flows may
	// still be there.
	FormerServices []string
}

// Pick returns the target for a flow. Every process picks the same one.
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

// Allows reports whether the route sends flows to the service.
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
	// IdleTimeout is how long a flow may be idle before it may be forgotten.
	IdleTimeout time.Duration
}

// ServiceConfig is what the operators declare of a service.
type ServiceConfig struct {
	HealthPath string
	// MaxFlows is how many flows a host of the service holds.
	MaxFlows int
	// Warmup is how long a host is cold after its start.
	Warmup time.Duration
	// WarmupPerSecond is how many openings a second a cold host bears. 0 sets
	// no limit.
	WarmupPerSecond float64
}

// Host is a backend server as it describes itself.
type Host struct {
	ID      string
	Service string
	// Addr is where the host receives packets; its agent has the same address.
	Addr flow.Endpoint
	Zone string
	// Slots is how many requests the host works on at a time.
	Slots    int
	Draining bool
	// WarmupLeft is how long the host was to stay cold when it said so.
	WarmupLeft time.Duration
	// WarmupReadAt is the time on the process's own clock when WarmupLeft was read.
	WarmupReadAt time.Duration
	// StartUnixMilli is the host's start in Unix milliseconds, on the host's clock.
	StartUnixMilli int64
	Revision       int64
}

// Cold reports whether the host is cold at the time.
func (h *Host) Cold(now time.Duration) bool {
	return now < h.WarmupReadAt+h.WarmupLeft
}

// Service is a service with its hosts.
type Service struct {
	Name string
	Tag  uint32
	ServiceConfig
	// Hosts are ordered by address, so that every process sees one order.
	Hosts []*Host
}

// RemovedHost is a host whose description went away.
type RemovedHost struct {
	Agent   [4]byte
	Service string
	// RemovedAt is when the description went away, on the process's own clock.
	RemovedAt time.Duration
}

// Catalog is an immutable snapshot. Nothing in it is changed once published.
type Catalog struct {
	// Revision is the store's revision that the snapshot follows.
	Revision int64
	// ConfirmedAt is the time on the process's own clock at which the snapshot
	// was known to be current.
	ConfirmedAt time.Duration
	// FirstPublishedAt is when the process published its first snapshot.
	FirstPublishedAt time.Duration
	// HealthySince is since when no reading has failed.
	HealthySince time.Duration
	Config       *Config
	Services     map[string]*Service
	ByTag        map[uint32]*Service
	// Hosts maps the address of a machine to the newest host on it.
	Hosts map[[4]byte]*Host
	// Agents are the addresses of all agents, ordered.
	Agents [][4]byte
	// Removed are hosts whose description went away less than a flow's lifetime
	// ago. They may still live: descriptions lapse while the store is away.
	Removed []RemovedHost
	// Evacuated holds the zones that operators have taken out of service.
	Evacuated map[string]bool
}

// Usable reports whether a host may be given new flows.
func (c *Catalog) Usable(h *Host) bool {
	return !h.Draining && !c.Evacuated[h.Zone]
}

// Tag returns the number that stands for a service between processes.
func Tag(service string) uint32 {
	return uint32(xxhash.Sum64String(service))
}

// MayHoldFlows reports whether a host of the service may hold flows of the route.
func (r *Route) MayHoldFlows(service string) bool {
	if slices.Contains(r.FormerServices, service) {
		return true
	}
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
}

// addFormerServices notes the services that the version before sent flows to.
func (c *Config) addFormerServices(previous *Config) {
	for destination, route := range c.Routes {
		previousRoute := previous.Routes[destination]
		if previousRoute == nil {
			continue
		}
		for _, t := range previousRoute.Targets {
			if !route.MayHoldFlows(t.Service) {
				route.FormerServices = append(route.FormerServices, t.Service)
			}
		}
		for _, service := range previousRoute.FormerServices {
			if !route.MayHoldFlows(service) {
				route.FormerServices = append(route.FormerServices, service)
			}
		}
	}
}

func buildCatalog(config *Config, hosts map[string]*Host, evacuated map[string]bool) *Catalog {
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
	for _, h := range hosts {
		if other, ok := c.Hosts[h.Addr.Addr]; ok && newer(other, h) {
			continue
		}
		c.Hosts[h.Addr.Addr] = h
	}
	for addr, h := range c.Hosts {
		c.Agents = append(c.Agents, addr)
		if s := c.Services[h.Service]; s != nil {
			s.Hosts = append(s.Hosts, h)
		}
	}
	sort.Slice(c.Agents, func(i, j int) bool { return lessAddr(c.Agents[i], c.Agents[j]) })
	for _, s := range c.Services {
		sort.Slice(s.Hosts, func(i, j int) bool { return lessAddr(s.Hosts[i].Addr.Addr, s.Hosts[j].Addr.Addr) })
	}
	return c
}

// newer reports whether a is the later lifetime at an address. The host's own
// clock may lie, so that the store's order decides between equal starts.
func newer(a, b *Host) bool {
	if a.StartUnixMilli != b.StartUnixMilli {
		return a.StartUnixMilli > b.StartUnixMilli
	}
	return a.Revision > b.Revision
}

func lessAddr(a, b [4]byte) bool {
	return string(a[:]) < string(b[:])
}
