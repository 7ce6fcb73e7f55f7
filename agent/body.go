package agent

import (
	"bytes"
	"io"
	"net/http"
)

const (
	// prefetchSize is how much of a request's body is read before the request
	// asks for a slot, in bytes.
	prefetchSize = 64 << 10
	// maxPrefetches bounds the bodies that are held at a time.
	maxPrefetches = 256
)

// prefetcher reads the start of request bodies, so that a slow caller holds
// no slot while it sends a small one, and a body that is cut short there
// never reaches the backend server.
type prefetcher struct {
	permits chan struct{}
}

func newPrefetcher() *prefetcher {
	return &prefetcher{permits: make(chan struct{}, maxPrefetches)}
}

// fetch reads the start of the body. The error tells that the caller cut it
// short; nothing of it was passed on. The function returned releases what is
// held.
func (p *prefetcher) fetch(r *http.Request, stream bool) (func(), error) {
	if r.Body == nil || r.ContentLength == 0 {
		return func() {}, nil
	}
	size, release := p.reserve(stream)
	prefix, err := io.ReadAll(io.LimitReader(r.Body, size))
	if err != nil {
		release()
		return nil, &NotRunError{Cause: CauseCallerGone, Err: err}
	}
	if int64(len(prefix)) < size {
		r.ContentLength = int64(len(prefix))
		r.Body = &prefetchedBody{Reader: bytes.NewReader(prefix), Closer: r.Body}
		return release, nil
	}
	rest := io.MultiReader(bytes.NewReader(prefix), r.Body)
	r.Body = &prefetchedBody{Reader: rest, Closer: r.Body}
	return release, nil
}

// size returns how much is read: one byte, to tell an empty body, from
// streams and when too many are held.
func (p *prefetcher) reserve(stream bool) (int64, func()) {
	if stream {
		return 1, func() {}
	}
	select {
	case p.permits <- struct{}{}:
		return prefetchSize, func() { <-p.permits }
	default:
		return 1, func() {}
	}
}

// fetchedBody reads what was fetched, then the rest.
type prefetchedBody struct {
	io.Reader
	io.Closer
}
