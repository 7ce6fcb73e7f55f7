package catalog

import (
	"maps"
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/flow"
)

// FormerService is a service that was a target of a route in an earlier configuration.
type FormerService struct {
	Service string
	// LeftAt is when the process applied the first configuration in which it was no
	// target, on the local clock.
	LeftAt time.Duration
}

// MayHoldFlows reports whether hosts of the service may hold flows of the
// route, because the service is or was one of its targets.
func (r *Route) MayHoldFlows(service string) bool {
	return slices.ContainsFunc(r.FormerServices, func(f FormerService) bool { return f.Service == service }) ||
		slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
}

// addFormerServices records in each route the services that were targets in the
// previous configuration and no longer are, and keeps the services that are no longer declared.
func (c *Config) addFormerServices(previous *Config, now time.Duration) {
	for name, s := range previous.Services {
		if !s.Retired {
			s.Retired, s.RetiredAt = true, now
		}
		c.addRetired(name, s, now)
	}
	for destination, route := range c.Routes {
		previousRoute := previous.Routes[destination]
		if previousRoute == nil {
			continue
		}
		for _, t := range previousRoute.Targets {
			route.addFormer(FormerService{Service: t.Service, LeftAt: now})
		}
		for _, former := range previousRoute.FormerServices {
			route.addFormer(former)
		}
	}
}

// addRetired keeps a service that was declared, unless it is declared, or no flow is old enough
// to be open at its hosts. It reports whether the service was added.
func (c *Config) addRetired(name string, s ServiceConfig, now time.Duration) bool {
	if _, known := c.Services[name]; known || now-s.RetiredAt >= removedHostRetention {
		return false
	}
	c.Services[name] = s
	return true
}

// addFormer records a service that was a target, and reports whether it is new.
func (r *Route) addFormer(former FormerService) bool {
	if r.MayHoldFlows(former.Service) {
		return false
	}
	r.FormerServices = append(r.FormerServices, former)
	return true
}

// withFormerServices returns a copy of the configuration with further former services of
// its routes, or nil if there is none that it lacks. Services that are not declared have
// no hosts and are left out.
func (c *Config) withFormerServices(former map[flow.Endpoint][]FormerService) *Config {
	var next *Config
	for destination, services := range former {
		route := c.Routes[destination]
		if route == nil {
			continue
		}
		extended := *route
		extended.FormerServices = slices.Clone(route.FormerServices)
		added := false
		for _, f := range services {
			if _, declared := c.Services[f.Service]; declared && extended.addFormer(f) {
				added = true
			}
		}
		if !added {
			continue
		}
		if next == nil {
			copied := *c
			copied.Routes = maps.Clone(c.Routes)
			next = &copied
		}
		next.Routes[destination] = &extended
	}
	return next
}

// AdoptFormerServices records what a peer knows of services that were targets of routes
// before this process started. Flows that are open at hosts of these services stay there.
func (t *Tracker) AdoptFormerServices(former map[flow.Endpoint][]FormerService) {
	if t.config == nil {
		return
	}
	next := t.config.withFormerServices(former)
	if next == nil {
		return
	}
	t.config = next
	if c := t.current.Load(); c != nil {
		republished := *c
		republished.Config = next
		t.current.Store(&republished)
	}
}

// adoptRetiredServices records services that a peer knows to have been declared, with the time
// at which each was retired, and reports whether that changes the snapshot. Their hosts, which
// are listed still, belong to the catalog again.
func (t *Tracker) adoptRetiredServices(retired map[string]time.Duration, now time.Duration) bool {
	if t.config == nil {
		return false
	}
	next := *t.config
	next.Services = maps.Clone(t.config.Services)
	changed := false
	for name, at := range retired {
		changed = next.addRetired(name, ServiceConfig{Retired: true, RetiredAt: at}, now) || changed
	}
	if changed {
		t.config = &next
		t.publish(t.position, t.confirmedAt)
	}
	return changed
}

// wireFormerServices is the encoding of the former services of a route, with the time
// since each left.
type wireFormerServices struct {
	Addr     [4]byte             `cbor:"1,keyasint"`
	Port     uint16              `cbor:"2,keyasint"`
	Services []wireFormerService `cbor:"3,keyasint"`
}

type wireFormerService struct {
	Service string `cbor:"1,keyasint"`
	AgeMS   int64  `cbor:"2,keyasint"`
}

// encodeFormerServices returns the former services of all routes but those that left so
// long ago that no flow is that old.
func encodeFormerServices(c *Config, now time.Duration) []wireFormerServices {
	var encoded []wireFormerServices
	for destination, route := range c.Routes {
		w := wireFormerServices{Addr: destination.Addr, Port: destination.Port}
		for _, f := range route.FormerServices {
			if age := max(0, now-f.LeftAt); age < removedHostRetention {
				w.Services = append(w.Services, wireFormerService{Service: f.Service, AgeMS: age.Milliseconds()})
			}
		}
		if len(w.Services) > 0 {
			encoded = append(encoded, w)
		}
	}
	return encoded
}

// decodeFormerServices returns what a peer told, by destination.
func decodeFormerServices(encoded []wireFormerServices, now time.Duration) map[flow.Endpoint][]FormerService {
	former := make(map[flow.Endpoint][]FormerService, len(encoded))
	for _, w := range encoded {
		destination := flow.Endpoint{Addr: w.Addr, Port: w.Port}
		for _, f := range w.Services {
			former[destination] = append(former[destination], FormerService{Service: f.Service, LeftAt: now - fromMilliseconds(f.AgeMS)})
		}
	}
	return former
}
