package world

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const headerTimeout = 5 * time.Second

// server runs the HTTP server of a backend server. After a stop it can be
// started again on the same address.
type server struct {
	recorder *requestRecorder

	mu   sync.Mutex
	addr netip.AddrPort
	http *http.Server
}

func startServer(n *Node, requestLog *RequestLog) (*server, error) {
	s := &server{
		recorder: &requestRecorder{
			next:       n.Backend,
			requestLog: requestLog,
			service:    n.vm.Service.String(),
			host:       n.vm.ID,
		},
		addr: netip.AddrPortFrom(n.vm.Addr.Addr(), 0),
	}
	return s, s.start()
}

func (s *server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		return nil
	}
	listener, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(s.addr))
	if err != nil {
		return errors.WithStack(err)
	}
	s.addr = listener.Addr().(*net.TCPAddr).AddrPort()
	s.http = &http.Server{Handler: s.recorder, ReadHeaderTimeout: headerTimeout}
	go func(server *http.Server) { _ = server.Serve(listener) }(s.http)
	return nil
}

// stop closes the server and its connections immediately.
func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		_ = s.http.Close()
		s.http = nil
	}
}

func (s *server) url() string {
	return "http://" + s.addr.String()
}
