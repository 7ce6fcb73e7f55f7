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

// rawBackend is a backend server whose connections are handled by a function of
// the test, which reads and writes the raw bytes.
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

// readRequest reads a request with its body. It returns an error when either is
// incomplete.
func readRequest(conn net.Conn) (*http.Request, []byte, error) {
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(r.Body)
	return r, body, err
}

// respondWith returns a handler that reads a request and writes the bytes of
// response.
func respondWith(response string) func(net.Conn) {
	return func(conn net.Conn) {
		if _, _, err := readRequest(conn); err != nil {
			return
		}
		_, _ = io.WriteString(conn, response)
	}
}

// resetAfter returns a handler that reads until it has seen the text. The
// connection is then reset, since SO_LINGER is 0.
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
