package main

import (
	"fmt"
	"net/netip"
)

// routeOf returns the address and port of a route. They stand in packets only; nothing is
// sent to them.
func routeOf(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 198, 18, 1}), uint16(8100+n))
}

// routeTo returns a route of the configuration.
func routeTo(n int, service string) map[string]any {
	return map[string]any{
		"name": fmt.Sprintf("r-%d", n), "vhost": routeOf(n).Addr().String(), "prefix": fmt.Sprintf("/%d/", routeOf(n).Port()),
		"route_type": "idempotent", "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2, "backend": service, "max_attempts": 2,
	}
}

// putConfig writes a configuration. It returns when the store has confirmed it.
func (l *lab) putConfig(version int, routes []map[string]any, names ...string) {
	var services []map[string]any
	for _, name := range names {
		services = append(services, map[string]any{
			"name": name, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": false, "warmup_s": 2.0, "warmup_per_s": 0.0,
		})
	}
	l.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// readerOf returns the machine of a zone that reads the store for others, or nil.
func (l *lab) readerOf(zone string) *machine {
	for _, m := range l.machines {
		if m.kind == kindSide && m.zone == zone && m.path.watches() {
			return m
		}
	}
	return nil
}
