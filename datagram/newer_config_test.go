package datagram_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/catalog"
)

// Guards against a requester's flows going to the new service of a route and back to the former
// one: an entry that lacks the new configuration sends one opening to an agent that has it, which
// passes the opening on, and the next one to an agent that lacks it as well. The entry learns
// from the first one that there is a newer configuration.
func TestEntryLearnsOfANewerConfigurationFromTheAgentThatActsOnIt(t *testing.T) {
	c := newCluster(t)
	c.addHost(11, "s")
	c.addHost(12, "s")
	c.addHost(13, "u")
	c.publish(1, nil, "s")
	former := c.current
	c.publish(2, nil, "u")
	c.addEntryWithCatalog(1, former)
	c.catalogs = map[[4]byte]*catalog.Catalog{addr(11): former}
	type notice struct {
		agent   [4]byte
		version uint64
	}
	var notices []notice
	c.onNewerConfig = func(at, process [4]byte, version uint64) {
		if at == addr(1) {
			notices = append(notices, notice{process, version})
		}
	}
	services := make(map[string]int)
	for port := uint16(1000); port < 1020; port++ {
		known := len(notices)
		service := c.hosts[c.requester(port, 1).open()].service
		services[service]++
		if service == "u" {
			must.Greater(t, known, len(notices), must.Sprint("no notice of the flow that the new service got"))
			must.Eq(t, 2, notices[known].version)
			must.NotEq(t, addr(11), notices[known].agent)
		} else {
			must.Eq(t, known, len(notices))
		}
	}
	must.MapLen(t, 2, services)
}

// Guards against an agent that lacks a configuration accepting openings by the former one after
// its host has run requests by the new one, which an entry knew.
func TestAgentLearnsOfANewerConfigurationFromTheEntryThatActsOnIt(t *testing.T) {
	c := newCluster(t)
	c.addHost(11, "s")
	c.addHost(12, "u")
	c.publish(1, nil, "s")
	former := c.current
	c.publish(2, nil, "u")
	c.addEntry(1)
	c.catalogs = map[[4]byte]*catalog.Catalog{addr(12): former}
	noticed := 0
	c.onNewerConfig = func(at, process [4]byte, version uint64) {
		if at == addr(12) && process == addr(1) {
			must.Eq(t, 2, version)
			noticed++
		}
	}
	must.Eq(t, addr(12), c.requester(1000, 1).open())
	must.Positive(t, noticed)
}
