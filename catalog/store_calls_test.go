package catalog_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/platform"
)

// pipeNetwork connects processes in memory, so that they run in virtual time.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	open      int
}

// countedConn is an end of a connection that counts until it is closed.
type countedConn struct {
	net.Conn
	network *pipeNetwork
	once    sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.network.count(-1) })
	return c.Conn.Close()
}

func (p *pipeNetwork) count(change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open += change
}

// openConnections returns the number of connections that their clients have not closed,
// those to the store included.
func (p *pipeNetwork) openConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeNetwork) listen(address string) net.Listener {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
	p.listeners[address] = l
	return l
}

// remove makes connections to an address fail.
func (p *pipeNetwork) remove(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.listeners, address)
}

func (p *pipeNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	p.mu.Lock()
	l := p.listeners[address]
	p.mu.Unlock()
	if l == nil {
		return nil, net.ErrClosed
	}
	client, server := net.Pipe()
	select {
	case l.connections <- server:
		p.count(1)
		return &countedConn{Conn: client, network: p}, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// slowStore is a store whose answers take latency. It counts the watches and the
// snapshots of each process. Its sleeps, like those of the test, are on synctest's
// fake clock: they model the latency and take no real time.
type slowStore struct {
	latency time.Duration
	now     func() time.Duration

	mu                 sync.Mutex
	values             []catalog.Value
	changed            chan struct{}
	watches, snapshots map[string]int
}

func (s *slowStore) put(key, data string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values = append(s.values, catalog.Value{Key: key, Data: []byte(data), Position: at(int64(len(s.values) + 1))})
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the changes after a revision and a channel that is closed at the
// next one.
func (s *slowStore) since(after int64) (catalog.ReadResult, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := catalog.ReadResult{Position: at(int64(len(s.values)))}
	for _, v := range s.values[after:] {
		v.ReadAt = s.now()
		change, err := platform.Decode(v)
		if err != nil {
			panic(err) // The test wrote the value.
		}
		result.Changes = append(result.Changes, change)
	}
	return result, s.changed
}

func (s *slowStore) count(calls map[string]int, who string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls[who]++
}

// totals returns copies of the counts by process.
func (s *slowStore) totals() (watches, snapshots map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	watches, snapshots = make(map[string]int), make(map[string]int)
	for who, n := range s.watches {
		watches[who] = n
	}
	for who, n := range s.snapshots {
		snapshots[who] = n
	}
	return watches, snapshots
}

// storeCaller is the store as one process calls it.
type storeCaller struct {
	*slowStore
	who string
}

func (c storeCaller) Snapshot(context.Context) (catalog.ReadResult, error) {
	c.count(c.snapshots, c.who)
	time.Sleep(c.latency)
	result, _ := c.since(0)
	result.Full = true
	return result, nil
}

func (c storeCaller) Hosts(context.Context) (catalog.ReadResult, error) {
	time.Sleep(c.latency)
	result, _ := c.since(0)
	return result, nil
}

func (c storeCaller) Changes(ctx context.Context, after catalog.Position, wait time.Duration) (catalog.ReadResult, error) {
	c.count(c.watches, c.who)
	time.Sleep(c.latency)
	result, changed := c.since(after.Revision)
	if len(result.Changes) > 0 {
		return result, nil
	}
	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
		return catalog.ReadResult{}, ctx.Err()
	}
	result, _ = c.since(after.Revision)
	return result, nil
}

// HostChanges has forgotten the changes before the last two.
func (c storeCaller) HostChanges(_ context.Context, after catalog.Position) (catalog.ReadResult, error) {
	time.Sleep(c.latency)
	result, _ := c.since(after.Revision)
	if after.Revision < result.Revision-2 {
		return catalog.ReadResult{}, &catalog.HistoryLostError{After: after}
	}
	return result, nil
}

// Guards against processes that are not readers calling the store in the steady
// state, and against readers calling it more often than their watches last. The
// calls by which each process reads the history at its start are not part of the
// steady state and are slow here.
func TestOnlyReadersQueryTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const port, watchWait, window = 7700, 900 * time.Millisecond, 10 * time.Second
		started := time.Now()
		now := func() time.Duration { return time.Since(started) + time.Minute }
		s := &slowStore{
			latency: 50 * time.Millisecond, now: now, changed: make(chan struct{}),
			watches: make(map[string]int), snapshots: make(map[string]int),
		}
		s.put("op/config", `{"version":1,"routes":[],"services":[{"name":"s","health_path":"/health","max_conns":2000,"warmup_s":2.0,"warmup_per_s":0}],"limits":{"idle_timeout_ms":15000}}`)
		for i, zone := range []string{"x", "y", "x"} {
			s.put(fmt.Sprintf("servers/h%d", i+1), fmt.Sprintf(
				`{"backend":"s","address":"127.0.9.%d:8080","zone":%q,"version":"v1","concurrency":2,"state":"ready","warmup_left_ms":0,"sequence":1,"born":1}`, i+1, zone))
		}
		network := &pipeNetwork{listeners: make(map[string]*pipeListener)}
		ctx, cancel := context.WithCancel(context.Background())
		var trackers []*catalog.Tracker
		var group sync.WaitGroup
		for n := 1; n <= 6; n++ {
			ip := fmt.Sprintf("127.0.9.%d", n)
			tracker := catalog.NewTracker()
			trackers = append(trackers, tracker)
			server := &http.Server{Handler: catalog.PeerHandler(tracker, now)}
			listener := network.listen(fmt.Sprintf("%s:%d", ip, port))
			group.Go(func() { _ = server.Serve(listener) })
			log := logrus.New()
			log.SetOutput(io.Discard)
			peers := catalog.NewPeerClient(platform.Decode, now, func(catalog.Value, error) {})
			peers.SetDial(network.dial)
			syncer := &catalog.Syncer{
				Store: storeCaller{s, ip}, Peers: peers, Tracker: tracker, Self: netip.MustParseAddr(ip).As4(), PeerPort: port,
				ReadHistory: true, Log: logrus.NewEntry(log), Now: now, OnChange: func(*catalog.Catalog) {},
			}
			group.Go(func() {
				syncer.Run(ctx)
				_ = server.Close()
			})
		}
		// All processes have started and read the history by then, on the fake clock. The
		// sleeps of this test and of slowStore take no real time.
		time.Sleep(3 * time.Second)
		watches, snapshots := s.totals()
		for _, tracker := range trackers {
			must.NotNil(t, tracker.Current())
		}
		time.Sleep(window)
		later, laterSnapshots := s.totals()
		must.Eq(t, snapshots, laterSnapshots)
		callers := 0
		for who, n := range later {
			calls := n - watches[who]
			must.LessEq(t, int(window/watchWait)+1, calls, must.Sprint("one call a watch of ", who))
			if calls > 0 {
				callers++
			}
		}
		must.Eq(t, 2, callers, must.Sprint("readers"))
		s.put("op/config", `{"version":2,"routes":[],"services":[{"name":"s","health_path":"/health","max_conns":2000,"warmup_s":2.0,"warmup_per_s":0}],"limits":{"idle_timeout_ms":15000}}`)
		time.Sleep(time.Second)
		for _, tracker := range trackers {
			must.Eq(t, 2, tracker.Current().Config.Version)
		}
		cancel()
		group.Wait()
	})
}
