package ops

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/internal/audit"
	"github.com/turmericrock/turmericrock/internal/metrics"
)

const (
	headerTimeout   = 2 * time.Second
	writeTimeout    = 10 * time.Second
	idleTimeout     = 30 * time.Second
	shutdownTimeout = time.Second
	maxHeaderBytes  = 16 << 10 // bytes
)

// Config holds the settings of a Server.
type Config struct {
	// Address is the TCP address to listen on.
	Address netip.AddrPort
	// AllowRemote permits requests from other machines.
	AllowRemote bool
}

// Process provides the state of the process that a Server reports on.
type Process struct {
	// Status returns the current status.
	Status func() Status
	// Ready returns the reason why the process is not ready, or nil.
	Ready func() error
	// Metrics are the sources of the samples served at PathMetrics.
	Metrics []metrics.Source
	Trail   *audit.Trail
}

// Server serves the operators' endpoint of a process.
type Server struct {
	config   Config
	process  Process
	exporter *exporter
	listener net.Listener
	server   *http.Server
}

// Listen returns a server that is bound to the configured address. Serve must be
// called to answer requests.
func Listen(config Config, process Process) (*Server, error) {
	exporter, err := newExporter(process.Metrics)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", config.Address.String())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s := &Server{config: config, process: process, exporter: exporter, listener: listener}
	s.server = &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       headerTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return s, nil
}

// Addr returns the address that the server is bound to.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Serve answers requests until ctx is done. It returns nil after a shutdown.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.shutdown)
	defer stop()
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.WithStack(err)
}

func (s *Server) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = s.server.Shutdown(ctx)
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, s.health)
	mux.HandleFunc("GET "+PathReady, s.ready)
	mux.HandleFunc("GET "+PathStatus, s.status)
	mux.HandleFunc("GET "+PathAudit, s.audit)
	mux.HandleFunc("GET "+PathMetrics, s.metrics)
	return s.restrictAccess(mux)
}

// restrictAccess rejects, unless AllowRemote is set, requests from other machines and
// requests whose Host header may come from DNS rebinding by a web page in a local
// browser.
func (s *Server) restrictAccess(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from, err := netip.ParseAddrPort(r.RemoteAddr)
		local := err == nil && from.Addr().Unmap().IsLoopback()
		if !s.config.AllowRemote && !(local && isIPOrLocalhost(r.Host)) {
			http.Error(w, "only callers on this machine are served", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// isIPOrLocalhost reports whether the Host header is an IP address or localhost. A
// web page could make any other name resolve to this machine.
func isIPOrLocalhost(host string) bool {
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		name = host
	}
	_, err = netip.ParseAddr(strings.Trim(name, "[]"))
	return err == nil || name == "localhost"
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	writeLine(w, http.StatusOK, "ok")
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.process.Ready(); err != nil {
		writeLine(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeLine(w, http.StatusOK, "ready")
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	status := s.process.Status()
	err := s.process.Ready()
	status.Ready = err == nil
	if err != nil {
		status.NotReadyReason = err.Error()
	}
	data, err := json.Marshal(status)
	if err != nil {
		writeLine(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(data, '\n'))
}

func (s *Server) audit(w http.ResponseWriter, r *http.Request) {
	filter, err := audit.ParseFilter(r.URL.Query().Get("what"), r.URL.Query().Get("since"), time.Now())
	if err != nil {
		writeLine(w, http.StatusBadRequest, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	_ = s.process.Trail.WriteLines(w, filter)
}

func (s *Server) metrics(w http.ResponseWriter, r *http.Request) {
	if err := s.exporter.collect(); err != nil {
		writeLine(w, http.StatusInternalServerError, err.Error())
		return
	}
	s.exporter.handler.ServeHTTP(w, r)
}

func writeLine(w http.ResponseWriter, status int, line string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(line + "\n"))
}
