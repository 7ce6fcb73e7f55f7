package caller

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// newFeedService starts a service that streams the chunks of a channel.
func newFeedService(t testing.TB, chunks <-chan string) *testService {
	return newTestService(t, func(_ int64, w http.ResponseWriter, r *http.Request) {
		for chunk := range chunks {
			_, _ = io.WriteString(w, chunk)
			if http.NewResponseController(w).Flush() != nil {
				return
			}
		}
	})
}

func TestFlowMigratesFromSilentPath(t *testing.T) {
	chunks := make(chan string)
	s := newFeedService(t, chunks)
	c := s.client(s.config())
	received := make(chan string)
	ended := make(chan error, 1)
	go func() {
		_, err := c.Stream(testContext(t), Request{Method: http.MethodGet, Path: "/feed"}, func(chunk []byte) {
			received <- string(chunk)
		})
		ended <- err
	}()
	chunks <- "one"
	must.Eq(t, "one", receive(t, "chunk", received))
	for round := range 2 {
		must.Eq(t, round+1, s.relay.SilenceKnownCallers())
		chunks <- "two"
		must.Eq(t, "two", receive(t, "chunk after the migration", received))
	}
	close(chunks)
	must.NoError(t, receive(t, "end", ended))
	stats := c.Stats()
	must.Eq(t, 1, stats.Flows)
	must.Eq(t, 1, s.runs.Load())
	must.GreaterEq(t, 2, stats.Migrations)
	c.mu.Lock()
	endpoints := c.current.endpoints
	c.mu.Unlock()
	for _, e := range endpoints[:len(endpoints)-1] {
		must.True(t, e.socket.isPortClosed())
	}
	must.False(t, endpoints[len(endpoints)-1].socket.isPortClosed())
}

func TestCloseReleasesAllSockets(t *testing.T) {
	chunks := make(chan string)
	s := newFeedService(t, chunks)
	defer close(chunks)
	c := s.client(s.config())
	ended := make(chan error, 1)
	go func() {
		_, err := c.Stream(testContext(t), Request{Method: http.MethodGet, Path: "/"}, func([]byte) {})
		ended <- err
	}()
	chunks <- "one"
	c.mu.Lock()
	f := c.current
	c.mu.Unlock()
	c.Close()
	mustErrorAs[*OutcomeUnknownError](t, receive(t, "end", ended))
	receive(t, "release", f.endpointsClosed)
	for _, e := range f.endpoints {
		must.ErrorIs(t, e.socket.udp.SetDeadline(time.Time{}), net.ErrClosed)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	must.MapEmpty(t, c.flows)
}

// A failed host does not respond on a new path either. Another flow replaces
// the silent one, and only idempotent requests abandon the silent flow.
func TestDeadFlowIsReplaced(t *testing.T) {
	began := make(chan string, 4)
	s := newTestService(t, func(_ int64, _ http.ResponseWriter, r *http.Request) {
		began <- r.URL.Path
		<-r.Context().Done()
	})
	other := newTestService(t, func(_ int64, w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "other")
	})
	other.tls.Certificates = s.tls.Certificates
	other.stop()
	other.start()
	config := s.config()
	config.ProbeTimeout = 100 * time.Millisecond
	c := s.client(config)
	lookup := make(chan *Response, 1)
	order := make(chan error, 1)
	go func() {
		response, err := c.Do(testContext(t), Request{Method: http.MethodGet, Path: "/lookup", Idempotent: true})
		must.NoError(t, err)
		lookup <- response
	}()
	go func() {
		_, err := c.Do(testContext(t), Request{Method: http.MethodPost, Path: "/order"})
		order <- err
	}()
	receive(t, "request", began)
	receive(t, "request", began)
	s.relay.SetEntries(other.relayTargets())
	must.Eq(t, "other", string(receive(t, "response from the other host", lookup).Body))
	select {
	case err := <-order:
		t.Fatalf("the non-idempotent request left its flow: %v", err)
	default:
	}
	c.Close()
	mustErrorAs[*OutcomeUnknownError](t, receive(t, "end of the order", order))
	must.Eq(t, 2, s.runs.Load())
	must.Eq(t, 1, other.runs.Load())
}

// A write error from the socket would end the flow.
func TestUnsendablePacketsAreDropped(t *testing.T) {
	s, err := newSocket("udp4")
	must.NoError(t, err)
	invalidAddr := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 0}
	_, err = s.udp.WriteTo([]byte("packet"), invalidAddr)
	must.Error(t, err)
	n, err := s.WriteTo([]byte("packet"), invalidAddr)
	must.NoError(t, err)
	must.Eq(t, len("packet"), n)
	s.closePort()
	_, err = s.WriteTo([]byte("packet"), invalidAddr)
	must.NoError(t, err)
	_ = s.Close()

	s, err = newSocket("udp4")
	must.NoError(t, err)
	must.NoError(t, s.Close())
	_, err = s.WriteTo([]byte("packet"), invalidAddr)
	must.ErrorIs(t, err, net.ErrClosed)
}

func TestSilenceDetectorCountsTicks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var detector silenceDetector
		packets := uint64(0)
		silentTicks := 0
		for range rapid.IntRange(1, 100).Draw(t, "ticks") {
			arrived := rapid.Uint64Range(0, 2).Draw(t, "arrived")
			packets += arrived
			if arrived > 0 {
				silentTicks = 0
			} else {
				silentTicks++
			}
			got := detector.observe(packets, pathCheckInterval)
			must.Eq(t, time.Duration(silentTicks)*pathCheckInterval, got)
		}
	})
}

func TestRetryBudgetNeverExceedsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(0, 0)
		now := start
		const ratio, burst = 0.25, 4.0
		b := newRetryBudget(ratio, burst, now)
		requests, retries := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.deposit()
				requests++
			} else if b.withdraw(now) {
				retries++
			}
		}
		allowed := burst + ratio*float64(requests) + minRetryRate*now.Sub(start).Seconds()
		must.LessEq(t, allowed+1e-6, float64(retries))
	})
}

func TestBackoffIsBounded(t *testing.T) {
	config := DefaultConfig()
	for attempt := 1; attempt < 20; attempt++ {
		wait := config.backoff(attempt)
		must.Between(t, config.Backoff/2, wait, config.MaxBackoff*3/2)
	}
}

// BenchmarkSilentPath measures the time from a path going silent to the next
// chunk of a response in progress.
func BenchmarkSilentPath(b *testing.B) {
	chunks := make(chan string)
	s := newFeedService(b, chunks)
	c := s.client(s.config())
	received := make(chan struct{})
	go func() {
		_, _ = c.Stream(b.Context(), Request{Method: http.MethodGet, Path: "/feed"}, func([]byte) {
			received <- struct{}{}
		})
	}()
	chunks <- "piece"
	<-received
	for b.Loop() {
		s.relay.SilenceKnownCallers()
		chunks <- "piece"
		<-received
	}
	close(chunks)
}

// TestPathSwitchDuringResponseHeaders relies on the race detector: the QUIC
// library does not synchronize a path switch with the parsing of response
// headers.
func TestPathSwitchDuringResponseHeaders(t *testing.T) {
	s := newTestService(t, func(_ int64, w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})
	c := s.client(s.config())
	ctx := testContext(t)
	get := Request{Method: http.MethodGet, Path: "/"}
	_, err := c.Do(ctx, get)
	must.NoError(t, err)
	c.mu.Lock()
	f := c.current
	c.mu.Unlock()

	stop := make(chan struct{})
	ended := make(chan error, 8)
	for range cap(ended) {
		go func() { ended <- runUntil(stop, func() error { _, err := c.Do(ctx, get); return err }) }()
	}
	for range 6 {
		candidates := f.addCandidate(nil)
		must.Len(t, 1, candidates)
		must.True(t, f.tryCandidate(candidates, 0, 10*time.Second))
	}
	close(stop)
	for range cap(ended) {
		must.NoError(t, receive(t, "end", ended))
	}
	must.Eq(t, 1, c.Stats().Flows)
}

// runUntil calls do until stop is closed or do returns an error.
func runUntil(stop <-chan struct{}, do func() error) error {
	for {
		select {
		case <-stop:
			return nil
		default:
		}
		if err := do(); err != nil {
			return err
		}
	}
}
