package world

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
)

// gatekeeper stands before the platform and can cut single readers off. Each
// reader has a path prefix of its own.
type gatekeeper struct {
	next   http.Handler
	server *httptest.Server

	mu  sync.Mutex
	off map[string]chan struct{}
}

func newGatekeeper(next http.Handler) *gatekeeper {
	g := &gatekeeper{next: next, off: make(map[string]chan struct{})}
	g.server = httptest.NewServer(g)
	return g
}

func (g *gatekeeper) close() {
	g.server.CloseClientConnections()
	g.server.Close()
}

func (g *gatekeeper) url(reader string) string {
	return g.server.URL + "/" + reader
}

// cut cuts a reader off, waiting watches included, or ends that.
func (g *gatekeeper) cut(reader string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if held := g.signal(reader); cut && !closed(held) {
		close(held)
	}
	if !cut {
		delete(g.off, reader)
	}
}

// signal returns the channel that is closed once the reader is cut off. The
// caller holds mu.
func (g *gatekeeper) signal(reader string) chan struct{} {
	held := g.off[reader]
	if held == nil {
		held = make(chan struct{})
		g.off[reader] = held
	}
	return held
}

func closed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// ServeHTTP implements http.Handler. A reader that is cut off gets no answer
// but a broken connection.
func (g *gatekeeper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	reader, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	g.mu.Lock()
	off := g.signal(reader)
	g.mu.Unlock()
	if closed(off) {
		panic(http.ErrAbortHandler)
	}
	done := make(chan struct{})
	answer := httptest.NewRecorder()
	inner := r.Clone(r.Context())
	inner.URL.Path = "/" + rest
	go func() {
		defer close(done)
		g.next.ServeHTTP(answer, inner)
	}()
	select {
	case <-off:
		panic(http.ErrAbortHandler)
	case <-done:
		copyAnswer(w, answer)
	}
}

func copyAnswer(w http.ResponseWriter, answer *httptest.ResponseRecorder) {
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}
