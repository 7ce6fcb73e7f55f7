package agent

import (
	"bytes"
	"io"
	"net/http"
)

const (
	// prefetchSize is the number of bytes of a request's body that are read
	// before the request waits for a slot.
	prefetchSize = 64 << 10
	// maxPrefetches bounds the number of prefetched bodies in memory.
	maxPrefetches = 256
)

// prefetcher reads the first bytes of request bodies before the requests are
// admitted. A slow caller then holds no slot while it sends a small body, and a
// body that is truncated within these bytes never reaches the backend server.
type prefetcher struct {
	permits chan struct{}
}

func newPrefetcher() *prefetcher {
	return &prefetcher{permits: make(chan struct{}, maxPrefetches)}
}

// fetch reads the first bytes of the body and replaces r.Body by a reader of the
// whole body. The function returned releases the prefetch permit. A read error,
// returned as a *NotRunError, means that the caller truncated the body; nothing
// of it has been sent to the backend server.
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

// reserve takes a prefetch permit and returns the number of bytes to read and
// the function that releases the permit. For streams, and when all permits are
// taken, the number is 1, which suffices to detect an empty body.
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

// prefetchedBody reads the prefetched bytes, followed by the rest of the body.
type prefetchedBody struct {
	io.Reader
	io.Closer
}
