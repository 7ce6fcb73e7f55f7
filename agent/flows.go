package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// flowTable holds the established flows, so that they can be drained or
// closed together.
type flowTable struct {
	handler http.Handler

	mu     sync.Mutex
	server *http3.Server
	conns  map[*quic.Conn]struct{}
}

func newFlowTable(handler http.Handler) *flowTable {
	return &flowTable{
		handler: handler,
		server:  &http3.Server{Handler: handler},
		conns:   make(map[*quic.Conn]struct{}),
	}
}

// serve serves the flow until it ends.
func (t *flowTable) serve(conn *quic.Conn) {
	t.mu.Lock()
	server := t.server
	t.conns[conn] = struct{}{}
	t.mu.Unlock()
	_ = server.ServeQUICConn(conn)
	t.mu.Lock()
	delete(t.conns, conn)
	t.mu.Unlock()
}

// drain sends GOAWAY on all flows and waits until they have ended or the
// time is over. Flows that come later are served by a new server.
func (t *flowTable) drain(within time.Duration) {
	t.mu.Lock()
	server := t.server
	t.server = &http3.Server{Handler: t.handler}
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	_ = server.Shutdown(ctx)
}

// closeAll ends all flows at once, so that callers move elsewhere.
func (t *flowTable) closeAll() {
	t.mu.Lock()
	conns := make([]*quic.Conn, 0, len(t.conns))
	for conn := range t.conns {
		conns = append(conns, conn)
	}
	t.mu.Unlock()
	for _, conn := range conns {
		_ = conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "zone out of service")
	}
}
