package catalog_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
)

// lists reports whether the process lists the host beside the n-th process.
func (m *member) lists(n int) bool {
	return m.tracker.Current().Hosts[m.fleet.addr(n)] != nil
}

// isComplete reports whether the list of hosts of the process is confirmed to be complete as of a
// time.
func (m *member) isComplete(asOf time.Duration) bool {
	return m.tracker.Current().IsCompleteAsOf(asOf, m.confirmer.Latest())
}

// Guards against a process taking its list of hosts for complete although others list a host that
// it lacks, since its reader is cut off from the store (incident list-behind), and against it going
// on with that list for the 1.6 s until its reader's data is too old.
func TestListThatLacksAHostIsNotConfirmed(t *testing.T) {
	runFleet(t, 1, 6, 8, func(f *fleet) {
		f.sleep(5 * time.Second)
		for _, reader := range f.readers() {
			f.members[fleetIP(reader)].setCut(true)
			f.sleep(10 * time.Millisecond)
			f.putHost(7, "ready", 1)
			f.sleep(50 * time.Millisecond)
			behind := 0
			for n := 1; n <= 8; n++ {
				m := f.members[fleetIP(n)]
				if n == reader || m.lists(7) {
					continue
				}
				behind++
				asOf := f.now()
				must.False(f.t, m.isComplete(asOf))
				m.confirmer.Request(asOf)
				for range 40 {
					f.sleep(10 * time.Millisecond)
					if m.isComplete(asOf) {
						must.True(f.t, m.lists(7), must.Sprint("confirmed without the host"))
					}
				}
				must.True(f.t, m.isComplete(asOf), must.Sprint("not confirmed within 0.4 s"))
			}
			must.Positive(f.t, behind)
			f.members[fleetIP(reader)].setCut(false)
			f.clients.Delete("servers/h7")
			f.sleep(5 * time.Second)
		}
	})
}

// Guards against a list being confirmed without a read of the store: none can be had while no
// process reaches it, and the earlier ones do not count for later times.
func TestNothingIsConfirmedWhileTheStoreIsAway(t *testing.T) {
	runFleet(t, 1, 6, 8, func(f *fleet) {
		f.sleep(5 * time.Second)
		m := f.members[fleetIP(8)]
		before := f.now()
		m.confirmer.Request(before)
		f.sleep(100 * time.Millisecond)
		must.True(f.t, m.isComplete(before))
		for _, other := range f.members {
			other.setCut(true)
		}
		asOf := f.now()
		for range 30 {
			m.confirmer.Request(asOf)
			f.sleep(100 * time.Millisecond)
			must.False(f.t, m.isComplete(asOf))
		}
		must.True(f.t, m.isComplete(before))
		for _, other := range f.members {
			other.setCut(false)
		}
		for range 30 {
			m.confirmer.Request(asOf)
			f.sleep(100 * time.Millisecond)
		}
		must.True(f.t, m.isComplete(asOf))
	})
}

// Guards against each process of a fleet that has lost power calling the store for itself, and
// against flows waiting for a confirmation for longer than a few round trips.
func TestConfirmationsOfAFleetShareReads(t *testing.T) {
	runFleet(t, 1, 30, 40, func(f *fleet) {
		f.sleep(5 * time.Second)
		var asOf time.Duration
		quiet := f.callsDuring(func() { f.sleep(time.Second) })
		calls := f.callsDuring(func() {
			for range 20 {
				asOf = f.now()
				for _, m := range f.members {
					m.confirmer.Request(asOf)
				}
				f.sleep(50 * time.Millisecond)
				for _, m := range f.members {
					must.True(f.t, m.isComplete(asOf), must.Sprint(m.ip))
				}
			}
		})
		must.LessEq(f.t, quiet+80, calls, must.Sprint("40 processes have asked 20 times each"))
	})
}

// blockedStore is a store whose reads take a while. It records when they begin. The tests that use
// it run on synctest's fake clock, on which sleeping takes no real time.
type blockedStore struct {
	catalog.Source
	now func() time.Duration

	mu     sync.Mutex
	begun  []time.Duration
	change []catalog.Change
}

func (s *blockedStore) Changes(_ context.Context, after catalog.Position, wait time.Duration) (catalog.ReadResult, error) {
	if wait > 0 {
		return catalog.ReadResult{}, errors.New("only reads without a wait are expected")
	}
	s.mu.Lock()
	s.begun = append(s.begun, s.now())
	changes := s.change
	s.mu.Unlock()
	time.Sleep(80 * time.Millisecond)
	after.Revision += int64(len(changes))
	return catalog.ReadResult{Position: after, Changes: changes}, nil
}

// newBlockedConfirmer returns a running confirmer of a process with a blockedStore and one host.
func newBlockedConfirmer(t *testing.T) (*catalog.Confirmer, *blockedStore) {
	started := time.Now()
	now := func() time.Duration { return time.Since(started) + time.Second }
	s := &blockedStore{now: now}
	tracker := catalog.NewTracker()
	listed := catalog.Host{ID: "h1", Service: "s", Zone: "a", Addr: flow.Endpoint{Addr: [4]byte{10, 0, 0, 1}, Port: 80}, StartUnixMilli: 1}
	tracker.Replace(at(10), []catalog.Change{
		configChange(10, 1, "s"), {HostID: "h1", Host: &listed, Value: catalog.Value{Key: "servers/h1", Position: at(10)}},
	}, now())
	must.MapLen(t, 1, tracker.Current().Hosts)
	confirmer := catalog.NewConfirmer(&catalog.Syncer{
		Store: s, Tracker: tracker, Now: now, Log: logrus.NewEntry(logrus.New()), Self: [4]byte{10, 0, 0, 1},
	}, func() {})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { confirmer.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return confirmer, s
}

// Guards against a request being answered by a read of the store that had begun before: it does not
// show what was listed meanwhile.
func TestConfirmationIsOfAReadThatBeginsAfterTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		confirmer, s := newBlockedConfirmer(t)
		var asking sync.WaitGroup
		for n := range 20 {
			asking.Go(func() {
				time.Sleep(time.Duration(n) * 17 * time.Millisecond)
				asked := s.now()
				w := httptest.NewRecorder()
				confirmer.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, catalog.ConfirmPath, nil))
				must.Eq(t, http.StatusOK, w.Code)
				answered := s.now()
				s.mu.Lock()
				defer s.mu.Unlock()
				fresh := false
				for _, begun := range s.begun {
					fresh = fresh || begun >= asked && begun+80*time.Millisecond <= answered
				}
				must.True(t, fresh, must.Sprintf("asked at %v, reads at %v", asked, s.begun))
			})
		}
		asking.Wait()
		must.LessEq(t, 6, len(s.begun))
	})
}

// Guards against flows waiting for changes that bring no host, such as those of hosts that warm up,
// which a reader learns up to 0.6 s later, and against a list counting as complete that lacks a host
// or the present one at an address.
func TestOnlyChangesThatMayBringAHostRequireALaterList(t *testing.T) {
	host := func(last byte, service string, born int64) *catalog.Host {
		return &catalog.Host{ID: "h", Service: service, Zone: "a", Addr: flow.Endpoint{Addr: [4]byte{10, 0, 0, last}, Port: 80}, StartUnixMilli: born}
	}
	for name, tc := range map[string]struct {
		change   catalog.Change
		required int64
	}{
		"a listed host drains":               {catalog.Change{HostID: "h", Host: host(1, "s", 1)}, 10},
		"a host leaves":                      {catalog.Change{HostID: "h"}, 10},
		"a zone is taken out of service":     {catalog.Change{Zone: "a"}, 10},
		"a host is new":                      {catalog.Change{HostID: "h", Host: host(2, "s", 1)}, 11},
		"a host has started again":           {catalog.Change{HostID: "h", Host: host(1, "s", 2)}, 11},
		"another service has the address":    {catalog.Change{HostID: "h", Host: host(1, "u", 1)}, 11},
		"a configuration declares a service": {configChange(11, 2, "u"), 11},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				confirmer, s := newBlockedConfirmer(t)
				s.change = []catalog.Change{tc.change}
				confirmer.Request(s.now())
				time.Sleep(time.Second)
				must.Eq(t, tc.required, confirmer.Latest().Revision)
			})
		})
	}
}

func FuzzConfirmation(f *testing.F) {
	valid, err := cbor.Marshal(map[int]int64{1: 1, 2: 7})
	must.NoError(f, err)
	f.Add(valid)
	f.Fuzz(func(t *testing.T, body []byte) {
		if position, err := catalog.DecodeConfirmation(body); err == nil && (position.Revision < 0 || position.Era < 0) {
			t.Fatalf("accepted %+v", position)
		}
	})
}
