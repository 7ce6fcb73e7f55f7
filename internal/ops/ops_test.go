package ops_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/internal/audit"
	"github.com/turmericrock/turmericrock/internal/metrics"
	"github.com/turmericrock/turmericrock/internal/ops"
)

var errNotReady = errors.New("no configuration")

// fakeSource is a metrics source whose samples the test changes.
type fakeSource struct {
	packets atomic.Int64
}

func (c *fakeSource) Collect(emit func(metrics.Sample)) {
	n := c.packets.Load()
	emit(metrics.Sample{Name: "packets", Cause: "forwarded", Value: n})
	emit(metrics.Sample{Name: "packets", Cause: "forged", Value: 2})
	emit(metrics.Sample{Name: "hosts", Value: 7, Gauge: true})
	if n > 5 {
		emit(metrics.Sample{Name: "late", Value: 1})
	}
}

// testServer is a running server of a process whose state the test changes.
type testServer struct {
	*ops.Server
	source   fakeSource
	notReady atomic.Bool
	trail    *audit.Trail
}

func startServer(t *testing.T, remote bool) *testServer {
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := &testServer{trail: audit.NewTrail(log, 10)}
	server, err := ops.Listen(
		ops.Config{Address: netip.MustParseAddrPort("127.0.0.1:0"), AllowRemote: remote},
		ops.Process{
			Status: func() ops.Status {
				return ops.Status{Role: "entry", Revision: 9, ConfirmationAgeMS: 1500, Hosts: map[string]int{"serving": 3}}
			},
			Ready: func() error {
				if e.notReady.Load() {
					return errNotReady
				}
				return nil
			},
			Metrics: []metrics.Source{&e.source},
			Trail:   e.trail,
		})
	must.NoError(t, err)
	e.Server = server
	ctx, cancel := context.WithCancel(t.Context())
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-serveErr)
	})
	return e
}

// get returns the status and the body of the response. The Host header is host, or
// the server's address if host is empty.
func (e *testServer) get(t *testing.T, path, host string) (int, string) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+e.Addr().String()+path, nil)
	must.NoError(t, err)
	request.Host = host
	response, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return response.StatusCode, string(body)
}

func TestHealthAndReadiness(t *testing.T) {
	e := startServer(t, false)
	e.notReady.Store(true)
	status, body := e.get(t, ops.PathReady, "")
	must.Eq(t, http.StatusServiceUnavailable, status)
	must.Eq(t, "no configuration\n", body)
	status, _ = e.get(t, ops.PathHealth, "")
	must.Eq(t, http.StatusOK, status)
	e.notReady.Store(false)
	status, _ = e.get(t, ops.PathReady, "")
	must.Eq(t, http.StatusOK, status)
}

func TestMetrics(t *testing.T) {
	e := startServer(t, false)
	for _, n := range []int64{5, 8} {
		e.source.packets.Store(n)
		_, body := e.get(t, ops.PathMetrics, "")
		must.StrContains(t, body, `turmericrock_packets_total{cause="forwarded"} `+string(rune('0'+n)))
		must.StrContains(t, body, `turmericrock_packets_total{cause="forged"} 2`)
		must.StrContains(t, body, "turmericrock_hosts 7")
		must.StrContains(t, body, "process_cpu_seconds_total")
	}
	_, body := e.get(t, ops.PathMetrics, "")
	must.StrContains(t, body, "turmericrock_late_total 1")
}

func TestRequestsWithForeignHostAreRejected(t *testing.T) {
	e := startServer(t, false)
	for _, host := range []string{"evil.example", "evil.example:80"} {
		status, _ := e.get(t, ops.PathStatus, host)
		must.Eq(t, http.StatusForbidden, status)
	}
	for _, host := range []string{"localhost", "127.0.0.1:7480", "[::1]:7480"} {
		status, _ := e.get(t, ops.PathStatus, host)
		must.Eq(t, http.StatusOK, status)
	}
	status, _ := startServer(t, true).get(t, ops.PathStatus, "node.example")
	must.Eq(t, http.StatusOK, status)
}

func TestClient(t *testing.T) {
	e := startServer(t, false)
	e.trail.Add(audit.Record{At: time.Now(), What: audit.Zone.Of("mid-1"), To: "out"})
	e.trail.Add(audit.Record{At: time.Now(), What: string(audit.Keys), To: "active=2"})
	client := ops.NewClient(e.Addr())
	status, err := client.Status(t.Context())
	must.NoError(t, err)
	must.True(t, status.Ready)
	var text bytes.Buffer
	must.NoError(t, status.WriteText(&text))
	must.StrContains(t, text.String(), "revision   9, confirmed 1.5s ago\n")
	must.StrContains(t, text.String(), "hosts      serving=3\n")

	var lines bytes.Buffer
	must.NoError(t, client.Audit(t.Context(), &lines, "zone", "1h"))
	must.StrContains(t, lines.String(), `"to":"out"`)
	must.StrNotContains(t, lines.String(), "active")
	err = client.Audit(t.Context(), &lines, "", "yesterday")
	var responseErr *ops.ResponseError
	must.True(t, errors.As(err, &responseErr))
	must.Eq(t, http.StatusBadRequest, responseErr.Status)
}
