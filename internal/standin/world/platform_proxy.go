package world

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
)

// platformProxy forwards requests to the platform and can disconnect single
// readers from it. Each reader uses its own path prefix.
type platformProxy struct {
	next   http.Handler
	server *httptest.Server

	mu           sync.Mutex
	disconnected map[string]chan struct{}
}

func newPlatformProxy(next http.Handler) *platformProxy {
	p := &platformProxy{next: next, disconnected: make(map[string]chan struct{})}
	p.server = httptest.NewServer(p)
	return p
}

func (p *platformProxy) close() {
	p.server.CloseClientConnections()
	p.server.Close()
}

func (p *platformProxy) url(reader string) string {
	return p.server.URL + "/" + reader
}

// setDisconnected disconnects a reader, which also aborts its pending watches,
// or reconnects it.
func (p *platformProxy) setDisconnected(reader string, disconnect bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if signal := p.disconnectSignal(reader); disconnect && !isClosed(signal) {
		close(signal)
	}
	if !disconnect {
		delete(p.disconnected, reader)
	}
}

// disconnectSignal returns the channel that is closed when the reader is
// disconnected. The caller holds mu.
func (p *platformProxy) disconnectSignal(reader string) chan struct{} {
	signal := p.disconnected[reader]
	if signal == nil {
		signal = make(chan struct{})
		p.disconnected[reader] = signal
	}
	return signal
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// ServeHTTP implements http.Handler. It aborts the connections of a
// disconnected reader without a response.
func (p *platformProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	reader, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	p.mu.Lock()
	disconnected := p.disconnectSignal(reader)
	p.mu.Unlock()
	if isClosed(disconnected) {
		panic(http.ErrAbortHandler)
	}
	done := make(chan struct{})
	recorder := httptest.NewRecorder()
	forwarded := r.Clone(r.Context())
	forwarded.URL.Path = "/" + rest
	go func() {
		defer close(done)
		p.next.ServeHTTP(recorder, forwarded)
	}()
	select {
	case <-disconnected:
		panic(http.ErrAbortHandler)
	case <-done:
		copyResponse(w, recorder)
	}
}

func copyResponse(w http.ResponseWriter, recorder *httptest.ResponseRecorder) {
	for name, values := range recorder.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(recorder.Body.Bytes())
}
