package cli

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"github.com/quic-go/quic-go/http3"
	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/internal/standin/pki"
)

// startService serves HTTP/3 with the handler and returns the command-line arguments
// of a call to it.
func startService(t *testing.T, handler http.HandlerFunc) []string {
	authority, err := pki.NewAuthority()
	must.NoError(t, err)
	certificate, err := authority.TLSCertificate("a.test")
	must.NoError(t, err)
	root := filepath.Join(t.TempDir(), "root.crt")
	must.NoError(t, os.WriteFile(root, authority.CertificatePEM(), 0o600))
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	must.NoError(t, err)
	server := &http3.Server{Handler: handler, TLSConfig: &tls.Config{Certificates: []tls.Certificate{certificate}}}
	go func() { _ = server.Serve(conn) }()
	t.Cleanup(func() {
		_ = server.Close()
		_ = conn.Close()
	})
	return []string{"turmericrock", "call", "-address", conn.LocalAddr().String(), "-name", "a.test", "-ca", root}
}

func TestCallSendsRequestAndPrintsResponse(t *testing.T) {
	baseArgs := startService(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, strings.Join([]string{r.Method, r.URL.RequestURI(), r.Header.Get("X-Lot"), string(body)}, "|"))
	})
	file := filepath.Join(t.TempDir(), "body")
	must.NoError(t, os.WriteFile(file, []byte("lot 7"), 0o600))
	var out, errs bytes.Buffer
	args := append(baseArgs, "-method", "PUT", "-header", "X-Lot: 7", "-body-file", file, "/lookup?a=b")
	must.Eq(t, 0, run(t.Context(), args, &out, &errs))
	must.Eq(t, "PUT|/lookup?a=b|7|lot 7", out.String())
	must.Eq(t, "200 OK attempts=1\n", errs.String())
}

func TestCallReturnsWorstExitStatus(t *testing.T) {
	base := startService(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cut" {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusNotFound)
	})
	must.Eq(t, int(ExitHTTPStatus), run(t.Context(), append(base, "-repeat", "2", "/gone"), io.Discard, io.Discard))
	must.Eq(t, int(ExitUnknown), run(t.Context(), append(base, "/cut"), io.Discard, io.Discard))

	var worst worstExit
	for _, status := range []subcommands.ExitStatus{subcommands.ExitSuccess, ExitHTTPStatus, ExitNotRun, ExitUnknown, ExitHTTPStatus} {
		worst.record(status)
	}
	must.Eq(t, ExitUnknown, worst.status)
}
