package catalog

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/steering/pacing"
)

// PeerPath is the HTTP path at which a process serves its catalog to peers.
const PeerPath = "/catalog"

const (
	// peerDialTimeout limits the time to connect to a peer.
	peerDialTimeout = 100 * time.Millisecond
	// peerTimeoutMargin is added to the wait time of a request to give its
	// timeout.
	peerTimeoutMargin = 300 * time.Millisecond
	// peerIdleTimeout is how long a connection to a peer is kept that is not used. A
	// process asks its readers more often, and others only at its start.
	peerIdleTimeout = 3 * time.Second
	// maxPeerResponse is the maximum number of bytes read from a response.
	maxPeerResponse = 16 << 20
	// maxPeerWait is the longest wait that a peer may request.
	maxPeerWait = 5 * time.Second
	// maxPeerTime is the longest age or remaining time that a peer may report.
	maxPeerTime = 30 * 24 * time.Hour
)

// peerResponse is the CBOR body of a response to a peer.
type peerResponse struct {
	Revision int64       `cbor:"1,keyasint"`
	Full     bool        `cbor:"2,keyasint"`
	AgeMS    int64       `cbor:"3,keyasint"`
	Values   []peerValue `cbor:"4,keyasint"`
	// After is the revision that the request named, so that a late second copy of
	// the answer to an earlier request is not taken for this one's.
	After int64 `cbor:"5,keyasint,omitempty"`
	// Era is that of Revision. Peers of earlier versions do not report it.
	Era int64 `cbor:"6,keyasint,omitempty"`
	// SettlingMS is the time in milliseconds until the peer settles in the present era of
	// the store, or 0 if it has settled.
	SettlingMS int64 `cbor:"7,keyasint,omitempty"`
	// Deviates reports whether the peer's state differs from what the store says.
	Deviates bool `cbor:"8,keyasint,omitempty"`
	// Gone holds the removals that the peer remembers, if the request asked for them.
	Gone []peerGone `cbor:"9,keyasint,omitempty"`
	// History holds what the peer knows of the time before, if the request asked for it.
	// Peers of earlier versions do not tell.
	History *wireHistory `cbor:"10,keyasint,omitempty"`
	// Late holds the peer's late changes. Peers of earlier versions send and read none.
	Late []peerValue `cbor:"11,keyasint,omitempty"`
	// Configs holds what the peer knows of earlier configurations, if the request asked for
	// the time before or named another version. Peers of earlier versions do not tell.
	Configs *wireConfigHistory `cbor:"12,keyasint,omitempty"`
}

// peerValue is the encoding of a Value. Since the clocks of processes differ,
// it gives the value's age instead of the time of the read.
type peerValue struct {
	Key      string `cbor:"1,keyasint"`
	Data     []byte `cbor:"2,keyasint"`
	Revision int64  `cbor:"3,keyasint"`
	Removed  bool   `cbor:"4,keyasint,omitempty"`
	// AgeMS is the time in milliseconds since the value was read from the
	// store.
	AgeMS int64 `cbor:"5,keyasint"`
	// Compressed reports that Data is compressed by gzip. Only peers that accept it
	// are sent such values.
	Compressed bool `cbor:"6,keyasint,omitempty"`
	// EarlierEra is the era of Revision if it differs from that of the response, plus 1.
	EarlierEra int64 `cbor:"7,keyasint,omitempty"`
	// Created is the revision at which the key was created, in the era of Revision, or 0 if
	// it is not known.
	Created int64 `cbor:"8,keyasint,omitempty"`
}

// era returns the era of the value's revision in a response of the given era.
func (v *peerValue) era(response int64) int64 {
	if v.EarlierEra == 0 {
		return response
	}
	return v.EarlierEra - 1
}

// PeerHandler returns a handler that serves the state of a tracker to peers.
// The query parameter after is the revision that the peer already has, era the era of
// that revision, which peers of earlier versions leave out, wait_ms the time in
// milliseconds to wait for a change, gzip is 1 if the peer accepts compressed values,
// gone is 1 if it asks for removals, history is 1 if it asks for the time before, and config
// is the version of the configuration that the peer already has, or 0, which peers of earlier
// versions leave out.
func PeerHandler(t *Tracker, now func() time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		after, err := decodePeerPosition(r.URL.Query())
		if err != nil {
			http.Error(w, "after or era is no number", http.StatusBadRequest)
			return
		}
		waitMS, err := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
		if err != nil || waitMS < 0 {
			http.Error(w, "wait_ms is no number of milliseconds", http.StatusBadRequest)
			return
		}
		wait := time.Duration(min(waitMS, maxPeerWait.Milliseconds())) * time.Millisecond
		withHistory := r.URL.Query().Get("history") == "1"
		response, ok := t.waitForChanges(r.Context(), after, wait, withHistory, now)
		if !ok {
			http.Error(w, "nothing read yet", http.StatusServiceUnavailable)
			return
		}
		if r.URL.Query().Get("gzip") == "1" {
			t.journal.compress(response.Era, response.Values)
		}
		if r.URL.Query().Get("gone") == "1" {
			response.Gone = t.gone.encode(now())
		}
		if c := t.Current(); c != nil && withHistory {
			response.History = encodeHistory(c, now())
		}
		if c := t.Current(); c != nil && (withHistory || namesOtherConfig(r.URL.Query(), c)) {
			response.Configs = encodeConfigHistory(c, now())
		}
		body, err := cbor.Marshal(response)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(body) // The peer detects a truncated response and asks again.
	})
}

// namesOtherConfig reports whether a peer has another version of the configuration.
func namesOtherConfig(query url.Values, c *Catalog) bool {
	version, err := strconv.ParseUint(query.Get("config"), 10, 64)
	return err == nil && version != c.Config.Version
}

// decodePeerPosition decodes the position that a peer names in its query.
func decodePeerPosition(query url.Values) (peerPosition, error) {
	revision, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil {
		return peerPosition{}, errors.WithStack(err)
	}
	if !query.Has("era") {
		return peerPosition{Position: Position{Revision: revision}, eraUnknown: true}, nil
	}
	era, err := strconv.ParseInt(query.Get("era"), 10, 64)
	if err != nil {
		return peerPosition{}, errors.WithStack(err)
	}
	return peerPosition{Position: Position{Era: era, Revision: revision}}, nil
}

// waitForChanges returns the changes after a position as soon as there are any,
// or an empty response once wait has elapsed, once the store can be read again after an
// outage, once the time before is known if the peer asks for that, or at once if the peer
// knows a later era of the store. It returns false if the tracker has not read anything yet or the context
// ends.
func (t *Tracker) waitForChanges(ctx context.Context, after peerPosition, wait time.Duration, withHistory bool, now func() time.Duration) (peerResponse, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	expired := wait <= 0
	wasOutdated := false
	for {
		values, full, position, confirmedAt, next := t.journal.changesSince(after)
		if position.Revision == 0 {
			return peerResponse{}, false
		}
		isOutdated := now()-confirmedAt > pacing.MaxPeerAge
		regained := wasOutdated && !isOutdated
		wasOutdated = isOutdated
		if len(values) == 0 && !full && after.Era <= position.Era && !expired && !regained && !(withHistory && t.knowsHistory(after.Position)) {
			select {
			case <-next:
				continue
			case <-ctx.Done():
				return peerResponse{}, false
			case <-timer.C:
				expired = true
			}
		}
		if expired {
			values, full, position, confirmedAt, _ = t.journal.changesSince(after)
		}
		response := peerResponse{
			Revision: position.Revision, Era: position.Era, Full: full, AgeMS: (now() - confirmedAt).Milliseconds(), After: after.Revision,
		}
		left, deviates := t.journal.settlingFor(now())
		response.SettlingMS, response.Deviates = left.Milliseconds(), deviates
		for _, v := range values {
			response.Values = append(response.Values, encodePeerValue(v, position.Era, now()))
		}
		if !full {
			for _, v := range t.journal.lateChanges(after.Era) {
				response.Late = append(response.Late, encodePeerValue(v, position.Era, now()))
			}
		}
		return response, true
	}
}

// encodePeerValue encodes a value for a response of the given era.
func encodePeerValue(v Value, era int64, now time.Duration) peerValue {
	wire := peerValue{
		Key: v.Key, Data: v.Data, Revision: v.Revision, Removed: v.Removed, AgeMS: (now - v.ReadAt).Milliseconds(),
		Created: v.Created,
	}
	if v.Era != era {
		wire.EarlierEra = v.Era + 1
	}
	return wire
}

// PeerClient reads changes from other processes. It is safe for concurrent use.
type PeerClient struct {
	Decode Decoder
	Now    func() time.Duration
	// OnRejected is called for each value that cannot be decoded.
	OnRejected func(v Value, err error)
	client     *http.Client
}

// NewPeerClient returns a PeerClient with the given decoder, local clock and
// callback for values that cannot be decoded.
func NewPeerClient(decode Decoder, now func() time.Duration, rejected func(Value, error)) *PeerClient {
	dialer := &net.Dialer{Timeout: peerDialTimeout, KeepAlive: -1}
	return &PeerClient{
		Decode: decode, Now: now, OnRejected: rejected,
		client: &http.Client{Transport: transportWithDial(dialer.DialContext)},
	}
}

// transportWithDial returns the transport of a PeerClient that connects by the
// given function.
func transportWithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	return &http.Transport{DialContext: dial, DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: peerIdleTimeout}
}

// Changes requests the changes after a position from the peer at an address
// (host:port). The peer waits up to wait for a change.
func (p *PeerClient) Changes(ctx context.Context, address string, after Position, wait time.Duration) (ReadResult, error) {
	return p.request(ctx, address, after, wait, peerOptions{})
}

// peerOptions is what a request asks for besides changes.
type peerOptions struct {
	// gone asks for the removals that the peer remembers, and history for what it knows
	// of hosts that left and of former services of routes.
	gone, history bool
	// config is the version of the configuration that the process has, or 0.
	config uint64
}

// request is like Changes and asks for more.
func (p *PeerClient) request(ctx context.Context, address string, after Position, wait time.Duration, options peerOptions) (ReadResult, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+peerTimeoutMargin)
	defer cancel()
	query := url.Values{
		"after":   {strconv.FormatInt(after.Revision, 10)},
		"era":     {strconv.FormatInt(after.Era, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
		"gzip":    {"1"},
		"config":  {strconv.FormatUint(options.config, 10)},
	}
	if options.gone {
		query.Set("gone", "1")
	}
	if options.history {
		query.Set("history", "1")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PeerPath+"?"+query.Encode(), nil)
	if err != nil {
		return ReadResult{}, errors.WithStack(err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return ReadResult{}, errors.Wrap(err, "peer")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPeerResponse+1))
	if err != nil {
		return ReadResult{}, errors.Wrap(err, "peer")
	}
	if len(body) > maxPeerResponse {
		return ReadResult{}, errors.WithStack(&PeerAnswerError{Field: "body", Problem: "is too long"})
	}
	if response.StatusCode != http.StatusOK {
		return ReadResult{}, errors.Errorf("peer answered %d", response.StatusCode)
	}
	return p.decode(body, after.Revision)
}

// CrossedAnswerError reports an answer to an earlier request on the same connection.
type CrossedAnswerError struct {
	// After is the revision that the request named, and Answered the one that the
	// answer is for.
	After, Answered int64
}

// Error implements error.
func (e *CrossedAnswerError) Error() string {
	return "the peer answered for revision " + strconv.FormatInt(e.Answered, 10) + " instead of " + strconv.FormatInt(e.After, 10)
}

// PeerAnswerError reports an answer of a peer with a field outside of its range.
type PeerAnswerError struct {
	// Field is the name of the field, and Problem says what is wrong with it.
	Field, Problem string
}

// Error implements error.
func (e *PeerAnswerError) Error() string {
	return "the peer's answer is invalid: " + e.Field + " " + e.Problem
}

// check returns a *PeerAnswerError if a number is outside of its range.
func (r *peerResponse) check() error {
	c := peerFieldChecker{}
	c.position("revision", r.Revision, r.Era)
	c.position("after", r.After, 0)
	c.time("age", r.AgeMS)
	c.time("settling", r.SettlingMS)
	for _, values := range [][]peerValue{r.Values, r.Late} {
		for i := range values {
			c.position("revision of a value", values[i].Revision, values[i].EarlierEra)
			c.position("creation of a value", values[i].Created, 0)
			c.time("age of a value", values[i].AgeMS)
		}
	}
	for i := range r.Gone {
		c.position("revision of a removal", r.Gone[i].Revision, r.Gone[i].Era)
		c.time("age of a removal", r.Gone[i].AgeMS)
	}
	if h := r.History; h != nil {
		c.time("history", h.HealthyForMS)
		for i := range h.Removed {
			c.time("age of a removed host", h.Removed[i].AgeMS)
		}
		for i := range h.Former {
			c.formerServices(&h.Former[i])
		}
	}
	if h := r.Configs; h != nil {
		c.time("known configurations", h.KnownMS)
		for i := range h.Former {
			c.formerServices(&h.Former[i])
		}
		c.formerServices(&wireFormerServices{Services: h.Retired})
	}
	return c.err
}

// peerFieldChecker checks the numbers of one answer and holds the first error.
type peerFieldChecker struct {
	err error
}

func (c *peerFieldChecker) fail(field, problem string) {
	if c.err == nil {
		c.err = errors.WithStack(&PeerAnswerError{Field: field, Problem: problem})
	}
}

func (c *peerFieldChecker) position(field string, revision, era int64) {
	if revision < 0 || era < 0 {
		c.fail(field, "is negative")
	}
}

// time checks an age or a remaining time in milliseconds.
func (c *peerFieldChecker) time(field string, ms int64) {
	if ms < 0 || ms > maxPeerTime.Milliseconds() {
		c.fail(field, "is out of range")
	}
}

func (c *peerFieldChecker) formerServices(w *wireFormerServices) {
	for _, f := range w.Services {
		c.time("age of a former service", f.AgeMS)
	}
}

func fromMilliseconds(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// decode decodes the body of the response to a request for the changes after a
// revision. A value that cannot be decoded is passed to OnRejected. Peers of earlier
// versions do not name the revision.
func (p *PeerClient) decode(body []byte, after int64) (ReadResult, error) {
	var response peerResponse
	if err := cbor.Unmarshal(body, &response); err != nil {
		return ReadResult{}, errors.Wrap(err, "peer")
	}
	if response.After != 0 && response.After != after {
		p.client.CloseIdleConnections()
		return ReadResult{}, errors.WithStack(&CrossedAnswerError{After: after, Answered: response.After})
	}
	err := response.check()
	if err != nil {
		return ReadResult{}, err
	}
	now := p.Now()
	result := ReadResult{Position: Position{Era: response.Era, Revision: response.Revision}, Full: response.Full, Age: fromMilliseconds(response.AgeMS)}
	result.gone = decodeGone(response.Gone, now)
	result.history, result.configs = response.History.decode(now), response.Configs.decode(now)
	result.SettlingFor, result.Deviates = fromMilliseconds(response.SettlingMS), response.Deviates
	values := peerValueDecoder{client: p, era: response.Era, now: now}
	if result.Changes, err = values.decode(response.Values); err != nil {
		return ReadResult{}, err
	}
	if result.late, err = values.decode(response.Late); err != nil {
		return ReadResult{}, err
	}
	return result, nil
}

// peerValueDecoder decodes the values of one response.
type peerValueDecoder struct {
	client *PeerClient
	era    int64
	now    time.Duration
	// expandedSize is the number of bytes of the values so far.
	expandedSize int
}

func (d *peerValueDecoder) decode(values []peerValue) ([]Change, error) {
	var changes []Change
	for _, wire := range values {
		data, err := wire.data(maxPeerResponse - d.expandedSize)
		if err != nil {
			return nil, err
		}
		d.expandedSize += len(data)
		v := Value{
			Key: wire.Key, Data: data, Position: Position{Era: wire.era(d.era), Revision: wire.Revision}, Removed: wire.Removed,
			Created: wire.Created,
			ReadAt:  d.now - fromMilliseconds(wire.AgeMS),
		}
		change, err := d.client.Decode(v)
		if err != nil {
			d.client.OnRejected(v, err)
		}
		changes = append(changes, change)
	}
	return changes, nil
}
