package catalog

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/steering/pacing"
)

// ConfirmPath is the HTTP path at which a process confirms the state of the store to peers.
const ConfirmPath = "/confirm"

// maxConfirmResponse is the maximum number of bytes read from the answer to a request for a
// confirmation.
const maxConfirmResponse = 1 << 10

// Confirmation says which lists of hosts are complete: one that is not from before Position holds
// all hosts that were listed at AsOf and have not left since.
type Confirmation struct {
	Position
	// AsOf is a time on the local clock before the store was read.
	AsOf time.Duration
}

// IsCompleteAsOf reports whether a confirmation shows that the snapshot holds all hosts that were
// listed at a time on the local clock.
func (c *Catalog) IsCompleteAsOf(at time.Duration, confirmed Confirmation) bool {
	return confirmed.Revision > 0 && confirmed.AsOf >= at && c.Era == confirmed.Era && !c.Position.Before(confirmed.Position)
}

// Confirmer finds out on request up to which position the list of hosts must be complete. A list
// that matched the store a while ago may lack hosts that other processes know and have sent flows
// to. A confirmation takes a read of the store that begins after the request, so that it depends
// on no clock. Readers do the reads for other processes, one for all requests that wait. It is
// safe for concurrent use.
type Confirmer struct {
	syncer *Syncer
	// onConfirmed is called after each confirmation.
	onConfirmed func()
	// requested holds a request that has not begun.
	requested chan struct{}
	latest    atomic.Pointer[Confirmation]
	reads     storeReads
	counters  confirmCounters

	mu sync.Mutex
	// startedAt is when the latest request began, and inFlight reports that it has not ended.
	startedAt time.Duration
	inFlight  bool
	// failedAt holds when readers last failed or did not answer within pacing.ConfirmPatience.
	// They are asked last for failedReaderBackoff.
	failedAt map[[4]byte]time.Duration
}

// NewConfirmer returns a confirmer for the snapshots of a syncer. onConfirmed is called after
// each confirmation, from a goroutine of Run.
func NewConfirmer(s *Syncer, onConfirmed func()) *Confirmer {
	return &Confirmer{
		syncer: s, onConfirmed: onConfirmed, requested: make(chan struct{}, 1),
		reads: storeReads{requested: make(chan struct{}, 1)}, failedAt: make(map[[4]byte]time.Duration),
	}
}

// Latest returns the latest confirmation, or a zero one if there is none.
func (f *Confirmer) Latest() Confirmation {
	if latest := f.latest.Load(); latest != nil {
		return *latest
	}
	return Confirmation{}
}

// Request asks for a confirmation as of a time, which has passed, or a later one. It does not
// block. If the store cannot be read, there is none, and it has to be asked for again.
func (f *Confirmer) Request(asOf time.Duration) {
	f.mu.Lock()
	suffices := f.inFlight && f.startedAt >= asOf
	f.mu.Unlock()
	if suffices {
		return
	}
	select {
	case f.requested <- struct{}{}:
	default:
	}
}

// Run serves requests until the context ends. Several may be in flight, so that a request does not
// wait for the answer to an earlier one.
func (f *Confirmer) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { f.reads.run(ctx, f.readStore) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.requested:
		}
		now := f.syncer.Now()
		f.begin(now)
		running.Go(func() { f.serve(ctx, now) })
		pause(ctx, pacing.ConfirmRequestInterval)
	}
}

func (f *Confirmer) begin(now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startedAt, f.inFlight = now, true
}

// end records the end of the request that began at a time.
func (f *Confirmer) end(startedAt time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight = f.inFlight && f.startedAt != startedAt
}

// serve serves a request that begins at the given time.
func (f *Confirmer) serve(ctx context.Context, now time.Duration) {
	answer, err := f.confirm(ctx)
	defer f.end(now)
	if err != nil {
		f.counters.failed.Add(1)
		f.syncer.Log.WithError(err).Debug("confirmation_failed")
		return
	}
	f.counters.confirmed.Add(1)
	f.record(Confirmation{Position: answer.position, AsOf: now})
	f.syncer.notifyPosition(answer.reader, answer.position)
	f.onConfirmed()
}

// record stores a confirmation, unless a later one has been stored.
func (f *Confirmer) record(c Confirmation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.AsOf > f.Latest().AsOf {
		f.latest.Store(&c)
	}
}

// confirmAnswer is the answer of a reader.
type confirmAnswer struct {
	reader   [4]byte
	position Position
	err      error
}

// confirm asks the readers, and then their substitutes, until one answers. If one does not answer
// within pacing.ConfirmPatience, the next one is asked as well.
func (f *Confirmer) confirm(ctx context.Context) (confirmAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, pacing.ConfirmTimeout)
	defer cancel()
	c := f.syncer.Tracker.Current()
	if c == nil {
		return confirmAnswer{}, errors.WithStack(&NoReaderError{})
	}
	readers := f.readers(c)
	answers := make(chan confirmAnswer, len(readers))
	var asking sync.WaitGroup
	defer asking.Wait() // After cancel, which ends the other requests.
	defer cancel()
	failed := 0
	err := errors.WithStack(&NoReaderError{})
	for asked := 0; failed < len(readers); {
		var next <-chan time.Time
		if asked < len(readers) {
			reader := readers[asked]
			asking.Go(func() { answers <- f.ask(ctx, reader) })
			asked++
			timer := time.NewTimer(pacing.ConfirmPatience)
			defer timer.Stop()
			next = timer.C
		}
		select {
		case answer := <-answers:
			if answer.err == nil {
				return answer, nil
			}
			f.recordFailure(answer.reader)
			err = answer.err
			failed++
		case <-next:
			f.recordFailure(readers[asked-1])
		}
	}
	return confirmAnswer{}, err
}

func (f *Confirmer) recordFailure(reader [4]byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failedAt[reader] = f.syncer.Now()
}

// readers returns the agents to ask: the readers, then their substitutes, with those that failed
// recently at the end. While no agent is listed, this process reads the store itself.
//
// Load pattern: all machines lose power, and each agent finds lost flows for some seconds. Each
// process asks one of the first half of the readers, so that few reads of the store serve all.
func (f *Confirmer) readers(c *Catalog) [][4]byte {
	readers := Readers(c)
	if len(readers) == 0 {
		return [][4]byte{f.syncer.Self}
	}
	first := int(readerScore(f.syncer.Self, 1) % uint64(max(1, len(readers)/2)))
	readers = slices.Concat(readers[first:], readers[:first], SubstituteReaders(c))
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.syncer.Now()
	maps.DeleteFunc(f.failedAt, func(_ [4]byte, at time.Duration) bool { return now-at >= failedReaderBackoff })
	slices.SortStableFunc(readers, func(x, y [4]byte) int {
		_, xFailed := f.failedAt[x]
		_, yFailed := f.failedAt[y]
		switch {
		case xFailed == yFailed:
			return 0
		case xFailed:
			return 1
		default:
			return -1
		}
	})
	return readers
}

// ask asks an agent, which may be this process.
func (f *Confirmer) ask(ctx context.Context, reader [4]byte) confirmAnswer {
	answer := confirmAnswer{reader: reader}
	if reader == f.syncer.Self {
		answer.position, answer.err = f.reads.join(ctx)
	} else {
		answer.position, answer.err = f.syncer.Peers.confirm(ctx, f.syncer.peerAddress(reader))
	}
	return answer
}

// readStore reads the store and returns the position up to which a list of hosts must be complete
// to be as recent as this read.
func (f *Confirmer) readStore(ctx context.Context) (Position, error) {
	c := f.syncer.Tracker.Current()
	if c == nil {
		return Position{}, errors.New("nothing read yet")
	}
	result, err := f.syncer.Store.Changes(ctx, c.Position, 0)
	switch {
	case err != nil:
		return Position{}, err
	case !slices.ContainsFunc(result.Changes, c.mayListHost):
		return c.Position, nil
	}
	f.syncer.endPause()
	return result.Position, nil
}

// mayListHost reports whether a change may add a host that the snapshot does not list.
func (c *Catalog) mayListHost(change Change) bool {
	if change.Config != nil {
		return true
	}
	h := change.Host
	if h == nil {
		return false
	}
	listed := c.Hosts[h.Addr.Addr]
	return listed == nil || listed.Service != h.Service || listed.StartUnixMilli != h.StartUnixMilli
}

// Handler returns a handler that confirms the state of the store to peers. Each answer takes a
// read of the store that begins after the request.
func (f *Confirmer) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), pacing.ConfirmTimeout)
		defer cancel()
		position, err := f.reads.join(ctx)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		body, err := cbor.Marshal(wireConfirmation(position))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(body) // The peer detects a truncated answer and asks again.
	})
}

// wireConfirmation is the CBOR body of the answer to a request for a confirmation.
type wireConfirmation struct {
	Era      int64 `cbor:"1,keyasint"`
	Revision int64 `cbor:"2,keyasint"`
}

// confirm asks the peer at an address (host:port) for a confirmation.
func (p *PeerClient) confirm(ctx context.Context, address string) (Position, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+ConfirmPath, nil)
	if err != nil {
		return Position{}, errors.WithStack(err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return Position{}, errors.Wrap(err, "peer")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxConfirmResponse))
	if err != nil {
		return Position{}, errors.Wrap(err, "peer")
	}
	if response.StatusCode != http.StatusOK {
		return Position{}, errors.Errorf("peer answered %d", response.StatusCode)
	}
	return decodeConfirmation(body)
}

// decodeConfirmation decodes the answer to a request for a confirmation. It returns a
// *PeerAnswerError if a number is outside of its range.
func decodeConfirmation(body []byte) (Position, error) {
	var wire wireConfirmation
	if err := cbor.Unmarshal(body, &wire); err != nil {
		return Position{}, errors.Wrap(err, "peer")
	}
	checker := peerFieldChecker{}
	checker.position("revision", wire.Revision, wire.Era)
	return Position(wire), checker.err
}

// storeReads shares each read among all requests that wait for one.
type storeReads struct {
	// requested is filled while next waits to begin.
	requested chan struct{}

	mu   sync.Mutex
	next *storeRead
}

// storeRead is a read that has not ended. Its results are valid once done is closed.
type storeRead struct {
	done     chan struct{}
	position Position
	err      error
}

// join waits for a read that begins after the call.
func (r *storeReads) join(ctx context.Context) (Position, error) {
	r.mu.Lock()
	if r.next == nil {
		r.next = &storeRead{done: make(chan struct{})}
		r.requested <- struct{}{} // It is empty, since no read waits.
	}
	read := r.next
	r.mu.Unlock()
	select {
	case <-read.done:
		return read.position, read.err
	case <-ctx.Done():
		return Position{}, errors.WithStack(ctx.Err())
	}
}

// run does the reads until the context ends.
func (r *storeReads) run(ctx context.Context, read func(context.Context) (Position, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.requested:
		}
		r.mu.Lock()
		next := r.next
		r.next = nil
		r.mu.Unlock()
		next.position, next.err = read(ctx)
		close(next.done)
		pause(ctx, pacing.ConfirmReadInterval)
	}
}
