package main

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/turmericrock/turmericrock/flow"
)

const (
	historyEntries = 2
	historyHosts   = 8
	historyFlows   = 60
	// silentTime is how long watches hear nothing before the store drops its history.
	silentTime = time.Second
	// rollGap is the time between the stops of two processes.
	rollGap = time.Second
)

// lostHistory: the store drops its history. Seconds later, all agents and then the entries are
// stopped and started in turn, while requesters pause. With KILL=1 all processes are killed once
// in place of the loss of the history.
func lostHistory(f *fleet, trouble bool) ([]string, error) {
	if err := f.startAll(historyEntries, historyHosts); err != nil {
		return nil, err
	}
	if !f.awaitReady(historyEntries) {
		return nil, errors.New("the entries do not become ready")
	}
	r, err := newRouter(f, historyEntries)
	if err != nil {
		return nil, err
	}
	defer close(r.ended)
	time.Sleep(contactTime)
	switch {
	case trouble && os.Getenv("KILL") == "1":
		if err := f.killAll(historyEntries); err != nil {
			return nil, err
		}
	case trouble:
		f.dropHistory()
	}
	time.Sleep(2 * contactTime)
	clients, flows, err := f.openFlows(r, 1, historyFlows)
	if err != nil {
		return nil, err
	}
	for n := 1; n <= historyHosts; n++ {
		f.process(kindHost, n).signal(syscall.SIGTERM)
		time.Sleep(rollGap)
	}
	for n := 1; n <= historyEntries; n++ {
		f.process(kindEntry, n).signal(syscall.SIGTERM)
		time.Sleep(rollGap)
	}
	time.Sleep(time.Second)
	var mu sync.Mutex
	var group sync.WaitGroup
	var broken []string
	answered := 0
	for i, fl := range flows {
		h := f.holderOf(fl.key)
		if h == nil {
			return nil, errors.New("a host does not hold its flow")
		}
		group.Go(func() {
			begun := f.record.now()
			got := clients[i].request(fl)
			if got == outcomeTimeout {
				clients[i].close(fl)
			}
			strays, length := f.straysOf(fl.key, begun)
			mu.Lock()
			defer mu.Unlock()
			if got == outcomeDone {
				answered++
			}
			if strays >= 3 && length >= strayTime {
				broken = append(broken, fmt.Sprintf("FLOW: for %.1f s %d packets of %v reached other hosts and none host-%d, which serves and holds it", length.Seconds(), strays, fl.key, h.n))
			}
		})
	}
	group.Wait()
	f.record.say("%d of %d requests were answered", answered, len(flows))
	return broken, nil
}

// straysOf returns how many packets of a flow reached hosts that do not hold it before one
// reached its own, and the time from the first to the last of them.
func (f *fleet) straysOf(key flow.Key, after time.Duration) (strays int, length time.Duration) {
	var first time.Duration
	for _, a := range f.arrivalsOf(key, after) {
		if !a.returned {
			break
		}
		if strays == 0 {
			first = a.at
		}
		strays++
		length = a.at - first
	}
	return strays, length
}

// dropHistory makes watches hear nothing for a while, in which the configuration changes, and
// drops the store's history. The watches are cut.
func (f *fleet) dropHistory() {
	f.record.add("watches hear nothing")
	released := make(chan struct{})
	f.watches.Store(&released)
	time.Sleep(silentTime / 2)
	f.writeConfig(8, service)
	time.Sleep(silentTime / 2)
	f.store.Compact()
	f.watches.Store(nil)
	close(released)
	f.record.add("the store has dropped its history")
}

// withSilence makes watches hear nothing while the fleet says so, also those that wait already,
// and cuts them then.
func (f *fleet) withSilence(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/api/kv-watch" {
			h.ServeHTTP(w, r)
			return
		}
		answer := httptest.NewRecorder()
		h.ServeHTTP(answer, r)
		if released := f.watches.Load(); released != nil {
			select {
			case <-*released:
			case <-r.Context().Done():
			}
			panic(http.ErrAbortHandler)
		}
		maps.Copy(w.Header(), answer.Header())
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes()) // A client that has gone asks again.
	})
}
