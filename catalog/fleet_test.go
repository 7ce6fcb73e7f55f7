package catalog_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/internal/standin/store"
	"github.com/turmericrock/turmericrock/platform"
)

const (
	fleetPort = 7700
	// fleetStoreLatency is how long the store takes for an answer.
	fleetStoreLatency = 4 * time.Millisecond
	storeAddress      = "store:80"
)

// fleet is a store and the processes that read it, in virtual time.
type fleet struct {
	t       *testing.T
	store   *store.Store
	clients *store.Clients
	network *pipeNetwork
	started time.Time
	// wrapPeers, if set, wraps the handler by which the processes that start later serve
	// their peers.
	wrapPeers func(n int, h http.Handler) http.Handler
	// seeds are the processes that those that start later ask first.
	seeds []int
	// entries are the processes that, like entries, do not need the store's history.
	entries []int
	// firstStart is set while the whole system starts for the first time.
	firstStart bool
	members    map[string]*member
	group      sync.WaitGroup
	random     *rand.Rand
}

// member is one lifetime of a process of the fleet.
type member struct {
	fleet   *fleet
	ip      string
	tracker *catalog.Tracker
	syncer  *catalog.Syncer
	// confirmer confirms the member's list of hosts.
	confirmer *catalog.Confirmer
	server    *http.Server
	cancel    context.CancelFunc

	logs logBuffer
	mu   sync.Mutex
	// cut is set while the process cannot reach the store.
	cut   bool
	conns []net.Conn
}

// runFleet runs a test in virtual time on a fleet of n processes, the first hosts of
// which have an entry in the store.
func runFleet(t *testing.T, seed uint64, hosts, n int, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			t: t, store: store.New(), started: time.Now(), members: make(map[string]*member),
			network: &pipeNetwork{listeners: make(map[string]*pipeListener)}, random: rand.New(rand.NewPCG(seed, seed)),
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.sleep(fleetStoreLatency)
			f.store.ServeHTTP(w, r)
		})}
		listener := f.network.listen(storeAddress)
		f.group.Go(func() { _ = server.Serve(listener) })
		defer func() {
			for _, m := range f.members {
				m.stop()
			}
			_ = server.Close()
			f.group.Wait()
			// Handlers of calls that were cut off end within the latency of the store.
			f.sleep(time.Second)
		}()
		f.clients = store.NewClients(f.store)
		putConfig(f.clients, 1)
		for i := 1; i <= hosts; i++ {
			f.putHost(i, "ready", 1)
		}
		for i := 1; i <= n; i++ {
			f.start(i)
		}
		f.sleep(3 * time.Second)
		test(f)
	})
}

func (f *fleet) now() time.Duration { return time.Since(f.started) + time.Minute }

// sleep lets time pass on synctest's fake clock, which takes no real time.
func (f *fleet) sleep(d time.Duration) { time.Sleep(d) }

func fleetIP(n int) string { return fmt.Sprintf("127.0.9.%d", n) }

// addr returns the address of the n-th process.
func (f *fleet) addr(n int) [4]byte { return netip.MustParseAddr(fleetIP(n)).As4() }

// putHost writes the entry of the host beside the n-th process.
func (f *fleet) putHost(n int, state string, sequence int) {
	f.putHostAs(fmt.Sprintf("h%d", n), n, n, state, sequence)
}

// putHostAs writes the entry of a host with the given ID and start time.
func (f *fleet) putHostAs(id string, born, n int, state string, sequence int) {
	zone := []string{"x", "y", "z"}[n%3]
	f.clients.Put("servers/"+id, []byte(fmt.Sprintf(
		`{"backend":"s","address":"%s:8080","zone":%q,"version":"v1","concurrency":2,"state":%q,"warmup_left_ms":0,"born":%d,"sequence":%d}`,
		fleetIP(n), zone, state, born, sequence)))
}

// start starts the n-th process.
func (f *fleet) start(n int) *member {
	m := &member{fleet: f, ip: fleetIP(n), tracker: catalog.NewTracker()}
	listener := f.network.listen(fmt.Sprintf("%s:%d", m.ip, fleetPort))
	handler := catalog.PeerHandler(m.tracker, f.now)
	if f.wrapPeers != nil {
		handler = f.wrapPeers(n, handler)
	}
	log := logrus.New()
	log.SetOutput(&m.logs)
	rejected := func(catalog.Value, error) {}
	peers := catalog.NewPeerClient(platform.Decode, f.now, rejected)
	delay := readDelay(n)
	peers.SetDial(delayedDial(f.network.dial, delay))
	version := uint64(0)
	m.syncer = &catalog.Syncer{
		Store:   platform.NewSource(platform.NewStoreClientWithDial(storeAddress, delayedDial(m.dialStore, delay)), f.now, rejected),
		Peers:   peers,
		Tracker: m.tracker, Self: netip.MustParseAddr(m.ip).As4(), PeerPort: fleetPort, ReadHistory: !f.firstStart && !slices.Contains(f.entries, n), FirstStart: f.firstStart,
		Log: logrus.NewEntry(log), Now: f.now,
		OnChange: func(c *catalog.Catalog) {
			if c.Config.Version < version {
				f.t.Errorf("%s went back from version %d to %d", m.ip, version, c.Config.Version)
			}
			version = c.Config.Version
		},
	}
	for _, seed := range f.seeds {
		m.syncer.Seeds = append(m.syncer.Seeds, fmt.Sprintf("%s:%d", fleetIP(seed), fleetPort))
	}
	m.confirmer = catalog.NewConfirmer(m.syncer, func() {})
	mux := http.NewServeMux()
	mux.Handle("/", handler)
	mux.Handle(catalog.ConfirmPath, m.confirmer.Handler())
	m.server = &http.Server{Handler: mux}
	f.group.Go(func() { _ = m.server.Serve(listener) })
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	f.group.Go(func() { m.syncer.Run(ctx) })
	f.group.Go(func() { m.confirmer.Run(ctx) })
	f.members[m.ip] = m
	return m
}

// logBuffer holds log lines. It is safe for concurrent use.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(line)
}

// String returns all lines so far.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.String()
}

// delayedConn takes a time for each read.
type delayedConn struct {
	net.Conn
	delay time.Duration
}

// Read implements net.Conn.
func (c *delayedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	time.Sleep(c.delay)
	return n, err
}

// readDelay returns how long the n-th process takes for each read. It differs between
// processes, as otherwise many events would happen at the same time, and the scheduler would
// decide about their order.
func readDelay(n int) time.Duration {
	const shortest, spread = 10 * time.Microsecond, 100 * time.Microsecond
	return shortest + time.Duration(rand.New(rand.NewPCG(uint64(n), 0)).Int64N(int64(spread)))
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// delayedDial returns a function that connects to servers and takes a time for each read.
func delayedDial(dial dialFunc, delay time.Duration) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &delayedConn{Conn: conn, delay: delay}, nil
	}
}

// stop ends the process.
func (m *member) stop() {
	m.cancel()
	_ = m.server.Close()
	m.fleet.network.remove(fmt.Sprintf("%s:%d", m.ip, fleetPort))
	m.setCut(true)
}

// setCut cuts the process off from the store or reconnects it.
func (m *member) setCut(cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = cut
	if cut {
		for _, c := range m.conns {
			_ = c.Close()
		}
		m.conns = nil
	}
}

func (m *member) dialStore(ctx context.Context, network, address string) (net.Conn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cut {
		return nil, net.ErrClosed
	}
	conn, err := m.fleet.network.dial(ctx, network, address)
	if err == nil {
		m.conns = append(m.conns, conn)
	}
	return conn, err
}

// requireVersion fails the test if a process does not have the version of the
// configuration.
func (f *fleet) requireVersion(want uint64) {
	f.t.Helper()
	for ip, m := range f.members {
		must.Eq(f.t, want, m.tracker.Current().Config.Version, must.Sprint("version at ", ip))
	}
}

// largeConfigBytes is about the size in bytes of a configuration by putLargeConfig in a
// response of the store.
const largeConfigBytes = 300_000

// putLargeConfig writes a configuration with thousands of routes.
func putLargeConfig(w writer, version int) {
	const routes = 2000
	text := fmt.Sprintf(`{"version":%d,"services":[{"name":"s","health_path":"/health","max_conns":2000,"warmup_s":2.0,"warmup_per_s":0}],"limits":{"idle_timeout_ms":15000},"routes":[`, version)
	var b strings.Builder
	b.WriteString(text)
	for n := range routes {
		if n > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `{"name":"route-%d","vhost":"198.18.%d.%d","prefix":"/80/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":1,"backend":"s","max_attempts":2}`, n, n/250, n%250)
	}
	b.WriteString("]}")
	w.Put("op/config", []byte(b.String()))
}

// restore has the store return from the copy of a revision, and its clients write again
// what it has lost.
func (f *fleet) restore(revision int64) {
	f.store.Restore(revision)
	f.rewriteLost()
}

func (f *fleet) rewriteLost() {
	lost := f.clients.Lost()
	f.random.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	for _, key := range lost {
		f.clients.Rewrite(key)
	}
}

// outage makes the store unavailable for a while and runs restore at its end.
func (f *fleet) outage(d time.Duration, restore func()) {
	f.store.SetUnavailable(true)
	f.sleep(d)
	restore()
	f.store.SetUnavailable(false)
}

// Guards against changes not being in force after the store was restored from a copy:
// their revisions were given out before, so that they were taken for known ones.
func TestChangeIsInForceAfterStoreIsRestored(t *testing.T) {
	for _, lost := range []int{1, 2, 5} {
		t.Run(fmt.Sprintf("lost=%d", lost), func(t *testing.T) {
			runFleet(t, 1, 4, 6, func(f *fleet) {
				copied := f.store.Revision()
				for version := range lost {
					putConfig(f.clients, 2+version)
				}
				f.sleep(time.Second)
				f.outage(2*time.Second, func() { f.restore(copied) })
				f.sleep(4 * time.Second)
				putConfig(f.clients, 2+lost)
				f.sleep(configPropagationLimit)
				f.requireVersion(uint64(2 + lost))
			})
		})
	}
}

// Guards against a gap in what a process knows: it asks for the changes after a revision
// that was given out twice, and the store has passed it in the meantime.
func TestProcessThatMissedTheRestoreReadsEverything(t *testing.T) {
	runFleet(t, 1, 4, 6, func(f *fleet) {
		copied := f.store.Revision()
		f.putHost(4, "draining", 2)
		f.sleep(time.Second)
		for _, m := range f.members {
			m.setCut(true)
		}
		f.store.Restore(copied)
		putConfig(f.clients, 2)
		f.store.Put("other", nil)
		f.store.Put("other", nil)
		f.sleep(time.Second)
		for _, m := range f.members {
			m.setCut(false)
		}
		f.sleep(configPropagationLimit)
		f.requireVersion(2)
	})
}

// Guards against a read that is ignored being repeated at once, without end: after a
// restore of the store every process did so.
func TestRestoredStoreIsCalledAsOftenAsOneThatWasAway(t *testing.T) {
	const n, window = 6, 10 * time.Second
	calls := func(restore bool) (total uint64) {
		runFleet(t, 1, 4, n, func(f *fleet) {
			copied := f.store.Revision()
			putConfig(f.clients, 2)
			putConfig(f.clients, 3)
			f.sleep(time.Second)
			before := f.store.TotalCalls()
			f.outage(2*time.Second, func() {
				if restore {
					f.restore(copied)
				}
			})
			f.sleep(window)
			total = f.store.TotalCalls() - before
		})
		return total
	}
	// Each process reads all values once more after a restore.
	must.LessEq(t, calls(false)+2*n, calls(true))
}

// Guards against an outdated answer of the store, which is ignored, counting as a
// success, after which the store is asked again at once.
func TestOutdatedStoreIsNotCalledWithoutPause(t *testing.T) {
	const n, window, retryInterval, callsPerRead = 6, 10 * time.Second, 250 * time.Millisecond, 2
	runFleet(t, 1, 4, n, func(f *fleet) {
		f.store.SaveSnapshot()
		putConfig(f.clients, 2)
		f.sleep(time.Second)
		f.store.ServeStale(true)
		before := f.store.TotalCalls()
		f.sleep(window)
		must.LessEq(t, uint64(n*callsPerRead*(window/retryInterval+1)), f.store.TotalCalls()-before)
		f.requireVersion(2)
	})
}

// hostListed reports whether a process lists the host beside the n-th process.
func (m *member) hostListed(n int) bool {
	return m.tracker.Current().Hosts[netip.MustParseAddr(fleetIP(n)).As4()] != nil
}

// hostUsable reports whether a process would send new flows to the host beside the n-th
// process.
func (m *member) hostUsable(n int) bool {
	c := m.tracker.Current()
	h := c.Hosts[netip.MustParseAddr(fleetIP(n)).As4()]
	return h != nil && c.Usable(h)
}

// requireThroughout checks a condition on all processes every 50 ms for a while.
func (f *fleet) requireThroughout(d time.Duration, what string, ok func(m *member) bool) {
	f.t.Helper()
	for end := f.now() + d; f.now() < end; f.sleep(50 * time.Millisecond) {
		for ip, m := range f.members {
			must.True(f.t, ok(m), must.Sprintf("%s: %s, %v before the end", ip, what, end-f.now()))
		}
	}
}

const (
	// rewriteDelay is how long after the return of the store its clients write again
	// what was lost.
	rewriteDelay = 1200 * time.Millisecond
	// settled is a time after the return of the store by which all processes hold what
	// the store holds.
	settled = 15 * time.Second
)

// Guards against the copy that a store returns from bringing back what had gone, or
// taking back what had come, until it is written again.
func TestCopyOfTheStoreDoesNotUndoLaterChanges(t *testing.T) {
	cases := map[string]struct {
		before, change func(f *fleet)
		holds          func(m *member) bool
	}{
		"host left": {
			change: func(f *fleet) {
				f.putHost(4, "draining", 2)
				f.sleep(time.Second)
				f.clients.Delete("servers/h4")
			},
			holds: func(m *member) bool { return !m.hostListed(4) },
		},
		"host drains": {
			change: func(f *fleet) { f.putHost(4, "draining", 2) },
			holds:  func(m *member) bool { return !m.hostUsable(4) },
		},
		"host came": {
			change: func(f *fleet) { f.putHost(5, "ready", 1) },
			holds:  func(m *member) bool { return m.hostUsable(5) },
		},
		"zone returned": {
			before: func(f *fleet) { f.clients.Put("op/evacuate/x", []byte("{}")) },
			change: func(f *fleet) { f.clients.Delete("op/evacuate/x") },
			holds:  func(m *member) bool { return !m.tracker.Current().Evacuated["x"] },
		},
		"zone evacuated": {
			change: func(f *fleet) { f.clients.Put("op/evacuate/x", []byte("{}")) },
			holds:  func(m *member) bool { return m.tracker.Current().Evacuated["x"] },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 1, 4, 6, func(f *fleet) {
				if c.before != nil {
					c.before(f)
				}
				f.sleep(time.Second)
				copied := f.store.Revision()
				c.change(f)
				f.sleep(time.Second)
				f.requireThroughout(time.Second, "before the restore", c.holds)
				f.outage(2*time.Second, func() { f.store.Restore(copied) })
				f.requireThroughout(rewriteDelay, "before the values are written again", c.holds)
				f.rewriteLost()
				f.requireThroughout(settled, "after that", c.holds)
			})
		})
	}
}
