package catalog_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/internal/standin/store"
	"github.com/turmericrock/turmericrock/platform"
)

// node is a process with a tracker, a syncer and a server for its peers.
type node struct {
	tracker *catalog.Tracker
	syncer  *catalog.Syncer
	server  *httptest.Server
	cancel  context.CancelFunc
	mu      sync.Mutex
	changes int
}

var clockStart = time.Now()

func now() time.Duration { return time.Since(clockStart) + time.Minute }

// writer is a store or its clients.
type writer interface {
	Put(key string, value []byte) int64
}

func putConfig(w writer, version int) {
	w.Put("op/config", []byte(fmt.Sprintf(`{"version":%d,"routes":[],"services":[{"name":"s","health_path":"/health","max_conns":2000,"warmup_s":2.0,"warmup_per_s":0}],"limits":{"idle_timeout_ms":15000}}`, version)))
}

func putHost(s *store.Store, id, ip, zone, state string) {
	s.Put("servers/"+id, []byte(fmt.Sprintf(
		`{"backend":"s","address":"%s:8080","zone":%q,"version":"v1","concurrency":2,"state":%q,"warmup_left_ms":0,"sequence":1,"born":1}`, ip, zone, state)))
}

// startNode starts a node at a loopback address. All nodes serve their peers at
// the same port.
func startNode(t *testing.T, ip string, port uint16, storeURL string, seeds ...string) *node {
	n := &node{tracker: catalog.NewTracker()}
	listener, err := listen(ip, port)
	must.NoError(t, err)
	n.server = &httptest.Server{Listener: listener, Config: &http.Server{Handler: catalog.PeerHandler(n.tracker, now)}}
	n.server.Start()
	log := logrus.New()
	log.SetOutput(io.Discard)
	rejected := func(catalog.Value, error) {}
	n.syncer = &catalog.Syncer{
		Store:   platform.NewSource(platform.NewStoreClient(strings.TrimPrefix(storeURL, "http://")), now, rejected),
		Peers:   catalog.NewPeerClient(platform.Decode, now, rejected),
		Tracker: n.tracker, Self: netip.MustParseAddr(ip).As4(), PeerPort: port, Seeds: seeds, ReadHistory: true,
		Log: logrus.NewEntry(log), Now: now,
		OnChange: func(*catalog.Catalog) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.changes++
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go n.syncer.Run(ctx)
	t.Cleanup(n.stop)
	return n
}

func (n *node) stop() {
	n.cancel()
	n.server.CloseClientConnections()
	n.server.Close()
}

func (n *node) version() uint64 {
	if c := n.tracker.Current(); c != nil {
		return c.Config.Version
	}
	return 0
}

func waitUntil(t *testing.T, timeout time.Duration, description string, ok func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(ok), wait.Timeout(timeout), wait.Gap(10*time.Millisecond)), must.Sprint(description))
}

// configPropagationLimit is the platform's time limit for a new configuration
// to be in force.
const configPropagationLimit = 3 * time.Second

func newStoreWithHosts(t *testing.T) (*store.Store, string, uint16) {
	s := store.New()
	server := httptest.NewServer(s)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	putConfig(s, 1)
	putHost(s, "a", "127.0.9.1", "x", "ready")
	putHost(s, "b", "127.0.9.2", "y", "ready")
	putHost(s, "c", "127.0.9.3", "x", "ready")
	return s, server.URL, freePort(t)
}

func TestConfigChangeArrivesWhenAllReadersAreDown(t *testing.T) {
	s, url, port := newStoreWithHosts(t)
	readers := []*node{startNode(t, "127.0.9.1", port, url), startNode(t, "127.0.9.2", port, url), startNode(t, "127.0.9.3", port, url)}
	nonReader := startNode(t, "127.0.9.9", port, url)
	waitUntil(t, configPropagationLimit, "first snapshot", func() bool { return nonReader.version() == 1 })
	for _, r := range readers {
		r.stop()
	}
	putConfig(s, 2)
	waitUntil(t, configPropagationLimit, "change", func() bool { return nonReader.version() == 2 })
}

func TestConfigChangeArrivesWhenReadersStopReadingTheStore(t *testing.T) {
	s, url, port := newStoreWithHosts(t)
	unreachableStore := store.New()
	unreachableStore.SetFailure(store.Unresponsive, 0)
	for _, ip := range []string{"127.0.9.1", "127.0.9.2", "127.0.9.3"} {
		reader := startNode(t, ip, port, url)
		waitUntil(t, configPropagationLimit, "first snapshot", func() bool { return reader.version() == 1 })
		reader.cancel()
	}
	nonReader := startNode(t, "127.0.9.9", port, url)
	waitUntil(t, configPropagationLimit, "first snapshot", func() bool { return nonReader.version() == 1 })
	putConfig(s, 2)
	waitUntil(t, configPropagationLimit, "change", func() bool { return nonReader.version() == 2 })
}

func TestStartupReadsFromSeedsDuringStoreOutage(t *testing.T) {
	s, url, port := newStoreWithHosts(t)
	seedNode := startNode(t, "127.0.9.9", port, url)
	waitUntil(t, configPropagationLimit, "first snapshot", func() bool { return seedNode.version() == 1 })
	s.SetFailure(store.ConnectionReset, 0)
	newNode := startNode(t, "127.0.9.8", port, url, "127.0.9.99:1", fmt.Sprintf("127.0.9.9:%d", port))
	waitUntil(t, configPropagationLimit, "configuration from a seed", func() bool { return newNode.version() == 1 })
	must.MapLen(t, 3, newNode.tracker.Current().Hosts)
	s.SetFailure(store.Healthy, 0)
	putConfig(s, 2)
	waitUntil(t, configPropagationLimit, "change after the store recovered", func() bool { return newNode.version() == 2 })
}

// Guards against a host that has left being in use again after a restart during a
// store outage, because the first seed that answers was cut off from the store
// before the host left.
func TestStartupPrefersTheNewestSeed(t *testing.T) {
	s, url, port := newStoreWithHosts(t)
	stale := startNode(t, "127.0.9.9", port, url)
	waitUntil(t, configPropagationLimit, "first snapshot", func() bool { return stale.version() == 1 })
	stale.cancel()
	s.Delete("servers/c")
	fresh := startNode(t, "127.0.9.10", port, url)
	waitUntil(t, configPropagationLimit, "first snapshot", func() bool { return fresh.version() == 1 })
	s.SetFailure(store.ConnectionReset, 0)
	restarted := startNode(t, "127.0.9.8", port, url, fmt.Sprintf("127.0.9.9:%d", port), fmt.Sprintf("127.0.9.10:%d", port))
	waitUntil(t, configPropagationLimit, "the newer list", func() bool {
		c := restarted.tracker.Current()
		return c != nil && len(c.Hosts) == 2
	})
}

func TestExpiredHostReturnsAfterStoreOutage(t *testing.T) {
	s, url, port := newStoreWithHosts(t)
	n := startNode(t, "127.0.9.9", port, url)
	waitUntil(t, configPropagationLimit, "first snapshot", func() bool { return n.version() == 1 })
	s.SetFailure(store.Unavailable, 0)
	s.Delete("servers/a")
	s.Compact()
	s.SetFailure(store.Healthy, 0)
	waitUntil(t, configPropagationLimit, "removal", func() bool { return len(n.tracker.Current().Hosts) == 2 })
	must.Len(t, 1, n.tracker.Current().Removed)
	putHost(s, "a", "127.0.9.1", "x", "ready")
	waitUntil(t, configPropagationLimit, "return", func() bool { return len(n.tracker.Current().Hosts) == 3 })
}

func TestHistoryRevealsHostsRemovedBeforeStartup(t *testing.T) {
	cases := map[string]struct {
		setup        func(s *store.Store)
		removed      int
		wantComplete bool
	}{
		"lapsed":    {func(s *store.Store) { s.Delete("servers/b") }, 1, true},
		"drained":   {func(s *store.Store) { putHost(s, "b", "127.0.9.2", "y", "draining"); s.Delete("servers/b") }, 0, true},
		"not known": {func(s *store.Store) { s.Compact(); s.Delete("servers/b"); putHost(s, "d", "127.0.9.4", "y", "ready") }, 0, false},
		"not known, with later changes": {func(s *store.Store) {
			s.Compact()
			s.Delete("servers/b")
			for range 20 {
				s.Put("other", nil)
			}
		}, 0, false},
		"nothing is gone": {func(*store.Store) {}, 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, url, port := newStoreWithHosts(t)
			c.setup(s)
			n := startNode(t, "127.0.9.9", port, url)
			waitUntil(t, configPropagationLimit, "first snapshot", func() bool { return n.version() == 1 })
			listComplete := func() bool { return now()-n.tracker.Current().HealthySince > 30*time.Second }
			if c.wantComplete {
				waitUntil(t, configPropagationLimit, "complete list", listComplete)
			} else {
				begin := time.Now()
				waitUntil(t, configPropagationLimit, "a moment", func() bool { return time.Since(begin) > 300*time.Millisecond })
				must.False(t, listComplete())
			}
			must.Len(t, c.removed, n.tracker.Current().Removed)
		})
	}
}

// Requests to the store are billed. One suffices if the store still has enough
// history. Otherwise at most eight search for the start of what it has, all of
// which is useful.
func TestHistorySearchIsBounded(t *testing.T) {
	for retainedChanges, maxCalls := range map[int]int{5: 8, 40: 8, 300: 1, 2000: 1} {
		t.Run(fmt.Sprintf("remembered=%d", retainedChanges), func(t *testing.T) {
			s, url, port := newStoreWithHosts(t)
			for version := range 1000 {
				putConfig(s, 2+version)
			}
			if retainedChanges < 1000 {
				s.Compact()
				for version := range retainedChanges {
					putConfig(s, 2000+version)
				}
			}
			n := startNode(t, "127.0.9.9", port, url)
			waitUntil(t, configPropagationLimit, "first snapshot", func() bool { return n.version() > 1 })
			listComplete := func() bool { return now()-n.tracker.Current().HealthySince > 30*time.Second }
			waitUntil(t, configPropagationLimit, "complete list", listComplete)
			must.LessEq(t, maxCalls+2, s.Calls("/api/kv-watch"), must.Sprint("with two watches for changes"))
		})
	}
}
