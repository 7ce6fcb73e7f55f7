package catalog_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
)

var movedRoute = flow.Endpoint{Addr: [4]byte{198, 18, 0, 1}, Port: 443}

// putRoute writes a configuration with one route to a service.
func putRoute(w writer, version int, service string) {
	w.Put("op/config", []byte(fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","vhost":"198.18.0.1","prefix":"/443/",
		"route_type":"idempotent","timeout_ms":1000,"target_latency_ms":100,"priority":2,"backend":%q}],
		"services":[{"name":"s"},{"name":"u"}],"limits":{"idle_timeout_ms":15000}}`, version, service)))
}

// knowsFormerService reports whether the process knows that hosts of the service may hold
// flows of the moved route.
func (m *member) knowsFormerService(service string) bool {
	c := m.tracker.Current()
	return c != nil && c.Config.Routes[movedRoute].MayHoldFlows(service)
}

// withoutFormerServices makes a peer handler answer like that of the earlier version, which
// does not tell former services.
func withoutFormerServices(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		h.ServeHTTP(recorder, r)
		var fields map[int]any
		if cbor.Unmarshal(recorder.Body.Bytes(), &fields) != nil {
			w.WriteHeader(recorder.Code)
			return
		}
		if history, ok := fields[10].(map[any]any); ok {
			delete(history, uint64(3))
		}
		body, err := cbor.Marshal(fields)
		if err != nil {
			panic(err) // The fields were decoded before.
		}
		_, _ = w.Write(body)
	})
}

// Guards against a process deciding after its restart as if a route had never been
// elsewhere: its own configurations are lost, and peers tell only the last one.
func TestFormerServicesAreHandedOverToProcessesThatRestart(t *testing.T) {
	for name, seeds := range map[string][]int{"from seeds": {7, 8}, "from readers": nil} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 1, 6, 8, func(f *fleet) {
				f.seeds, f.entries = seeds, []int{7, 8}
				putRoute(f.clients, 2, "s")
				f.sleep(configPropagationLimit)
				putRoute(f.clients, 3, "u")
				f.sleep(configPropagationLimit)
				for round := range 2 {
					for n := 8; n >= 1; n-- {
						m := f.restart(n)
						f.sleep(2 * time.Second)
						must.True(f.t, m.knowsFormerService("s"), must.Sprintf("round %d, process %d", round, n))
					}
				}
				putRoute(f.clients, 4, "u")
				f.sleep(configPropagationLimit)
				f.requireThroughout(time.Second, "a later configuration keeps it", func(m *member) bool { return m.knowsFormerService("s") })
				f.sleep(time.Minute)
				m := f.restart(6)
				f.sleep(2 * time.Second)
				must.False(f.t, m.knowsFormerService("s"), must.Sprint("no flow is as old as that"))
			})
		})
	}
}

// A process of the earlier version does not tell former services and is not disturbed by
// being told them.
func TestFormerServicesBesideProcessesOfTheEarlierVersion(t *testing.T) {
	runFleet(t, 1, 6, 6, func(f *fleet) {
		f.seeds = []int{4, 5}
		putRoute(f.clients, 2, "s")
		f.sleep(configPropagationLimit)
		putRoute(f.clients, 3, "u")
		f.sleep(configPropagationLimit)
		f.wrapPeers = func(_ int, h http.Handler) http.Handler { return withoutFormerServices(h) }
		for _, n := range []int{4, 5} {
			f.restart(n)
			f.sleep(2 * time.Second)
		}
		f.wrapPeers = nil
		m := f.restart(6)
		f.sleep(2 * time.Second)
		must.Eq(f.t, 3, m.tracker.Current().Config.Version)
		must.False(f.t, m.knowsFormerService("t"))
		putRoute(f.clients, 4, "s")
		f.sleep(configPropagationLimit)
		f.requireVersion(4)
		f.requireThroughout(time.Second, "learnt anew", func(m *member) bool { return m.knowsFormerService("u") })
	})
}

// Guards against what a peer tells changing a snapshot that other goroutines read, and
// against services that are not declared being held without bound.
func TestAdoptedFormerServicesDoNotChangeAPublishedSnapshot(t *testing.T) {
	tracker := catalog.NewTracker()
	tracker.AdoptFormerServices(map[flow.Endpoint][]catalog.FormerService{{Port: 1}: {{Service: "u"}}})
	tracker.Replace(at(10), []catalog.Change{configChange(10, 1, "s")}, time.Second)
	before := tracker.Current()
	tracker.AdoptFormerServices(map[flow.Endpoint][]catalog.FormerService{
		{Port: 1}: {{Service: "u"}, {Service: "u"}, {Service: "s"}, {Service: "undeclared"}}, {Port: 2}: {{Service: "u"}},
	})
	must.False(t, before.Config.Routes[flow.Endpoint{Port: 1}].MayHoldFlows("u"))
	after := tracker.Current()
	must.MapLen(t, 1, after.Config.Routes)
	must.Eq(t, []catalog.FormerService{{Service: "u"}}, after.Config.Routes[flow.Endpoint{Port: 1}].FormerServices)
	tracker.AdoptFormerServices(map[flow.Endpoint][]catalog.FormerService{{Port: 1}: {{Service: "u"}}})
	must.True(t, after == tracker.Current(), must.Sprint("nothing new"))
	tracker.Apply(at(11), []catalog.Change{configChange(11, 2, "s")}, time.Second)
	must.True(t, tracker.Current().Config.Routes[flow.Endpoint{Port: 1}].MayHoldFlows("u"))
}

// Guards against running processes missing a service that was a target of a route for less
// than they take to read: the store and peers leave out configurations that were superseded,
// and flows that were opened meanwhile stay at the service.
func TestServicesOfSupersededConfigurationsAreKnown(t *testing.T) {
	for _, gap := range []time.Duration{0, 20 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) {
			runFleet(t, 1, 6, 8, func(f *fleet) {
				f.seeds, f.entries = []int{7, 8}, []int{7, 8}
				putRoute(f.clients, 2, "s")
				f.sleep(configPropagationLimit)
				putRoute(f.clients, 3, "u")
				f.sleep(gap)
				putRoute(f.clients, 4, "s")
				f.sleep(configPropagationLimit)
				f.requireVersion(4)
				f.requireThroughout(time.Second, "knows the service in between", func(m *member) bool { return m.knowsFormerService("u") })
			})
		})
	}
}

// knowsConfigsFor returns for how long the process has known all configurations.
func (m *member) knowsConfigsFor() time.Duration {
	return m.fleet.now() - m.tracker.Current().ConfigsKnownSince
}

// Guards against a process that has restarted taking former services that it was told for
// all there are, after the processes that knew the others have restarted at the same time,
// and against one that a running process has told limiting its searches all the same.
func TestTimeOfKnownConfigurationsIsHandedOverToProcessesThatRestart(t *testing.T) {
	runFleet(t, 1, 6, 8, func(f *fleet) {
		f.seeds, f.entries = []int{7, 8}, []int{7, 8}
		putRoute(f.clients, 2, "s")
		f.sleep(10 * time.Second)
		for n := 1; n <= 8; n++ {
			m := f.restart(n)
			f.sleep(2 * time.Second)
			must.GreaterEq(f.t, 8*time.Second, m.knowsConfigsFor(), must.Sprint("process ", n))
		}
		for _, m := range f.members {
			m.stop()
		}
		for n := 1; n <= 8; n++ {
			f.start(n)
		}
		f.sleep(2 * time.Second)
		for n := 1; n <= 8; n++ {
			m := f.restart(n)
			f.sleep(time.Second)
			must.LessEq(f.t, time.Duration(2+n)*time.Second, m.knowsConfigsFor(), must.Sprint("process ", n))
		}
	})
}

// Guards against a process taking the services that it knows for all that a route had, after
// it could not read the store for a while and the store has discarded its history: there may
// have been configurations in between that nobody has seen.
func TestTimeOfKnownConfigurationsEndsWithTheHistoryOfTheStore(t *testing.T) {
	runFleet(t, 1, 6, 8, func(f *fleet) {
		f.seeds, f.entries = []int{7, 8}, []int{7, 8}
		putRoute(f.clients, 2, "s")
		f.sleep(10 * time.Second)
		for _, m := range f.members {
			m.setCut(true)
		}
		f.sleep(time.Second)
		putRoute(f.clients, 3, "u")
		putRoute(f.clients, 4, "s")
		f.store.Compact()
		f.sleep(time.Second)
		for _, m := range f.members {
			m.setCut(false)
		}
		f.sleep(3 * time.Second)
		f.requireVersion(4)
		for _, m := range f.members {
			must.False(f.t, m.knowsFormerService("u"))
			must.Less(f.t, 5*time.Second, m.knowsConfigsFor(), must.Sprint(m.ip))
		}
		f.sleep(time.Second)
		putRoute(f.clients, 5, "u")
		f.sleep(10 * time.Second)
		for _, m := range f.members {
			must.GreaterEq(f.t, 10*time.Second, m.knowsConfigsFor(), must.Sprint(m.ip))
		}
	})
}

// Guards against flows being reset at living hosts of a service that the configuration no longer
// declares, because a process that has restarted since leaves these hosts out: they are neither
// told that it has started, nor asked for the flows.
func TestHostsOfARetiredServiceAreKnownAfterARestart(t *testing.T) {
	for name, seeds := range map[string][]int{"from seeds": {7, 8}, "from readers": nil} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 1, 6, 8, func(f *fleet) {
				f.seeds, f.entries = seeds, []int{7, 8}
				putRoute(f.clients, 2, "s")
				for n := 4; n <= 6; n++ {
					key := fmt.Sprintf("servers/h%d", n)
					entry, _ := f.store.Get(key)
					f.clients.Put(key, bytes.Replace(entry, []byte(`"backend":"s"`), []byte(`"backend":"u"`), 1))
				}
				f.sleep(configPropagationLimit)
				putRouteAlone := func(version int) {
					f.clients.Put("op/config", []byte(fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","vhost":"198.18.0.1","prefix":"/443/",
						"route_type":"idempotent","timeout_ms":1000,"target_latency_ms":100,"priority":2,"backend":"u"}],
						"services":[{"name":"u"}],"limits":{"idle_timeout_ms":15000}}`, version)))
				}
				putRouteAlone(3)
				f.sleep(configPropagationLimit)
				for n := 1; n <= 8; n++ {
					m := f.restart(n)
					f.sleep(2 * time.Second)
					must.MapLen(f.t, 6, m.tracker.Current().Hosts, must.Sprint("process ", n))
					must.True(f.t, m.knowsFormerService("s"), must.Sprint("process ", n))
				}
				f.sleep(time.Minute)
				putRouteAlone(4)
				f.sleep(configPropagationLimit)
				f.requireThroughout(time.Second, "no flow is as old as that", func(m *member) bool { return len(m.tracker.Current().Hosts) == 3 })
			})
		})
	}
}
