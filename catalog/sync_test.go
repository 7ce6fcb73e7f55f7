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

// node is a process that keeps a catalog.
type node struct {
	tracker *catalog.Tracker
	syncer  *catalog.Syncer
	server  *httptest.Server
	cancel  context.CancelFunc
	mu      sync.Mutex
	changes int
}

var started = time.Now()

func now() time.Duration { return time.Since(started) + time.Minute }

func putConfig(s *store.Store, version int) {
	s.Put("op/config", []byte(fmt.Sprintf(`{"version":%d,"routes":[],"services":[{"name":"s"}],"limits":{"idle_timeout_ms":15000}}`, version)))
}

func putHost(s *store.Store, id, ip, zone, state string) {
	s.Put("servers/"+id, []byte(fmt.Sprintf(
		`{"backend":"s","address":"%s:8080","zone":%q,"concurrency":2,"state":%q,"born":1}`, ip, zone, state)))
}

// startNode starts a process at a loopback address. Its peers are at the port.
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

func eventually(t *testing.T, within time.Duration, what string, ok func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(ok), wait.Timeout(within), wait.Gap(10*time.Millisecond)), must.Sprint(what))
}

// configBound is the platform's bound for a configuration to be in force.
const configBound = 3 * time.Second

func newFleet(t *testing.T) (*store.Store, string, uint16) {
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

func TestFewAgentsReadTheStoreForAll(t *testing.T) {
	s, url, port := newFleet(t)
	var nodes []*node
	for n := 1; n <= 6; n++ {
		nodes = append(nodes, startNode(t, fmt.Sprintf("127.0.9.%d", n), port, url))
	}
	for _, n := range nodes {
		eventually(t, configBound, "first snapshot", func() bool { return n.version() == 1 })
	}
	watches := s.Calls("/api/kv-watch")
	putConfig(s, 2)
	for _, n := range nodes {
		eventually(t, configBound, "change", func() bool { return n.version() == 2 })
	}
	begin, ranges := time.Now(), s.Calls("/api/kv-range")
	eventually(t, 5*time.Second, "two seconds", func() bool { return time.Since(begin) > 2*time.Second })
	must.LessEq(t, 24, s.Calls("/api/kv-watch")-watches, must.Sprint("two readers at about a call a second, and the agents' histories"))
	must.Eq(t, ranges, s.Calls("/api/kv-range"))
}

func TestChangeIsInForceAlthoughAllReadersAreGone(t *testing.T) {
	s, url, port := newFleet(t)
	readers := []*node{startNode(t, "127.0.9.1", port, url), startNode(t, "127.0.9.2", port, url), startNode(t, "127.0.9.3", port, url)}
	other := startNode(t, "127.0.9.9", port, url)
	eventually(t, configBound, "first snapshot", func() bool { return other.version() == 1 })
	for _, r := range readers {
		r.stop()
	}
	putConfig(s, 2)
	eventually(t, configBound, "change", func() bool { return other.version() == 2 })
}

func TestChangeIsInForceAlthoughTheReadersLostTheStore(t *testing.T) {
	s, url, port := newFleet(t)
	away := store.New()
	away.Fail(store.Silent, 0)
	for _, ip := range []string{"127.0.9.1", "127.0.9.2", "127.0.9.3"} {
		reader := startNode(t, ip, port, url)
		eventually(t, configBound, "first snapshot", func() bool { return reader.version() == 1 })
		reader.cancel()
	}
	other := startNode(t, "127.0.9.9", port, url)
	eventually(t, configBound, "first snapshot", func() bool { return other.version() == 1 })
	putConfig(s, 2)
	eventually(t, configBound, "change", func() bool { return other.version() == 2 })
}

func TestProcessLearnsFromSeedsWhileTheStoreIsAway(t *testing.T) {
	s, url, port := newFleet(t)
	known := startNode(t, "127.0.9.9", port, url)
	eventually(t, configBound, "first snapshot", func() bool { return known.version() == 1 })
	s.Fail(store.Reset, 0)
	fresh := startNode(t, "127.0.9.8", port, url, "127.0.9.99:1", fmt.Sprintf("127.0.9.9:%d", port))
	eventually(t, configBound, "word of a seed", func() bool { return fresh.version() == 1 })
	must.MapLen(t, 3, fresh.tracker.Current().Hosts)
	s.Fail(store.Healthy, 0)
	putConfig(s, 2)
	eventually(t, configBound, "change after the store's return", func() bool { return fresh.version() == 2 })
}

func TestEntriesThatLapsedComeBackWithTheStore(t *testing.T) {
	s, url, port := newFleet(t)
	n := startNode(t, "127.0.9.9", port, url)
	eventually(t, configBound, "first snapshot", func() bool { return n.version() == 1 })
	s.Fail(store.Busy, 0)
	s.Delete("servers/a")
	s.Compact()
	s.Fail(store.Healthy, 0)
	eventually(t, configBound, "removal", func() bool { return len(n.tracker.Current().Hosts) == 2 })
	must.Len(t, 1, n.tracker.Current().Removed)
	putHost(s, "a", "127.0.9.1", "x", "ready")
	eventually(t, configBound, "return", func() bool { return len(n.tracker.Current().Hosts) == 3 })
}

func TestHistoryTellsOfHostsThatWentAwayBeforeTheStart(t *testing.T) {
	cases := map[string]struct {
		before  func(s *store.Store)
		removed int
		steady  bool
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
			s, url, port := newFleet(t)
			c.before(s)
			n := startNode(t, "127.0.9.9", port, url)
			eventually(t, configBound, "first snapshot", func() bool { return n.version() == 1 })
			steady := func() bool { return now()-n.tracker.Current().HealthySince > 30*time.Second }
			if c.steady {
				eventually(t, configBound, "complete list", steady)
			} else {
				begin := time.Now()
				eventually(t, configBound, "a moment", func() bool { return time.Since(begin) > 300*time.Millisecond })
				must.False(t, steady())
			}
			must.Len(t, c.removed, n.tracker.Current().Removed)
		})
	}
}

// Calls are priced. A store that remembers enough is asked once; one that has
// forgotten is asked eight times at most, since all that it remembers counts.
func TestHistoryTakesFewCalls(t *testing.T) {
	for remembered, calls := range map[int]int{5: 8, 40: 8, 300: 1, 2000: 1} {
		t.Run(fmt.Sprintf("remembered=%d", remembered), func(t *testing.T) {
			s, url, port := newFleet(t)
			for version := range 1000 {
				putConfig(s, 2+version)
			}
			if remembered < 1000 {
				s.Compact()
				for version := range remembered {
					putConfig(s, 2000+version)
				}
			}
			n := startNode(t, "127.0.9.9", port, url)
			eventually(t, configBound, "first snapshot", func() bool { return n.version() > 1 })
			steady := func() bool { return now()-n.tracker.Current().HealthySince > 30*time.Second }
			eventually(t, configBound, "complete list", steady)
			must.LessEq(t, calls+2, s.Calls("/api/kv-watch"), must.Sprint("with two watches for changes"))
		})
	}
}
