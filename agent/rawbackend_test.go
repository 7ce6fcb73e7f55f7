package agent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// rawBackend is a backend server whose test plays the bytes of each
// connection.
type rawBackend struct {
	listener net.Listener
	handle   func(conn net.Conn)

	mu          sync.Mutex
	connections int
	open        map[net.Conn]struct{}
}

func startRawBackend(t *testing.T, handle func(conn net.Conn)) *rawBackend {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	b := &rawBackend{listener: listener, handle: handle, open: make(map[net.Conn]struct{})}
	var group sync.WaitGroup
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.connections++
			b.open[conn] = struct{}{}
			b.mu.Unlock()
			group.Go(func() {
				defer func() { _ = conn.Close() }()
				b.handle(conn)
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		b.mu.Lock()
		for conn := range b.open {
			_ = conn.Close()
		}
		b.mu.Unlock()
		group.Wait()
	})
	return b
}

func (b *rawBackend) url() string {
	return "http://" + b.listener.Addr().String()
}

func (b *rawBackend) connectionCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.connections
}

// readRequest reads a whole request. Its error tells of one that is not
// whole.
func readRequest(conn net.Conn) (*http.Request, []byte, error) {
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(r.Body)
	return r, body, err
}

// answering reads a request and answers with the bytes.
func respondWith(response string) func(net.Conn) {
	return func(conn net.Conn) {
		if _, _, err := readRequest(conn); err != nil {
			return
		}
		_, _ = io.WriteString(conn, response)
	}
}

// cutAfter reads until the text has been seen and cuts the connection.
func resetAfter(text string) func(net.Conn) {
	return func(conn net.Conn) {
		var seen strings.Builder
		buf := make([]byte, 1)
		for !strings.HasSuffix(seen.String(), text) {
			if _, err := conn.Read(buf); err != nil {
				return
			}
			seen.Write(buf)
		}
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}
