package cli

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/datagram"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/internal/explain"
	"github.com/turmericrock/turmericrock/internal/metrics"
)

// newExplained returns an entry that knows one route with two hosts in zones a and b, or
// has no catalog.
func newExplained(withCatalog bool) *datagram.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	var c *catalog.Catalog
	if withCatalog {
		s := &catalog.Service{Name: "s", Tag: catalog.Tag("s")}
		for n, zone := range []string{"a", "b"} {
			s.Hosts = append(s.Hosts, &catalog.Host{ID: "h" + zone, Service: "s", Zone: zone, Slots: 3, Addr: flow.Endpoint{Addr: [4]byte{10, 0, 0, byte(11 + n)}, Port: 8080}})
		}
		route := &catalog.Route{Name: "r", Priority: 2, TargetLatency: 300 * time.Millisecond, Timeout: 1500 * time.Millisecond, Targets: []catalog.Target{{Service: "s", Weight: 1}}}
		c = &catalog.Catalog{
			Config:   &catalog.Config{Version: 7, Routes: map[flow.Endpoint]*catalog.Route{{Addr: [4]byte{198, 18, 0, 1}, Port: 443}: route}},
			Services: map[string]*catalog.Service{"s": s},
		}
	}
	return datagram.NewEntry(datagram.EntryConfig{
		Zone: "a", Catalog: func() *catalog.Catalog { return c }, Events: datagram.NewEvents(logrus.NewEntry(log)),
	})
}

func startExplained(t *testing.T, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// runExplain runs the command and returns its exit code, output and errors.
func runExplain(t *testing.T, args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = run(t.Context(), append([]string{"turmericrock", "explain"}, args...), &o, &e)
	return code, o.String(), e.String()
}

func now() time.Duration { return time.Minute }

func TestExplainPrintsTheDecisionAndTheTermsOfCosts(t *testing.T) {
	entry := newExplained(true)
	address := startExplained(t, explain.Handler(now, entry.Explain))
	code, out, errs := runExplain(t, "-metrics", address, "-route", "198.18.0.1:443")
	must.Zero(t, code, must.Sprint(errs))
	for _, want := range []string{
		"entry, configuration 7", "198.18.0.1:443 (r), priority 2, target latency 300 ms, time limit 1500 ms", "an example", "zone a",
		"service     s\n", "placed at 10.0.0.11", "not refused: 10.0.0.11 has not recently said", "zone 0.600", "no recent report",
	} {
		must.StrContains(t, out, want)
	}
	must.Less(t, strings.LastIndex(out, "10.0.0.12"), strings.LastIndex(out, "10.0.0.11"), must.Sprint("the lowest cost first"))
	_, out, _ = runExplain(t, "-metrics", address, "-route", "198.18.0.1:443", "-zone", "b", "-requester", "100.64.0.7:40001", "-json")
	var x datagram.Explanation
	must.NoError(t, json.Unmarshal([]byte(out), &x))
	must.Eq(t, "10.0.0.12", x.Host)
	must.Eq(t, "100.64.0.7:40001", x.Requester)
	must.False(t, x.Example)
	must.Eq(t, "b", x.Zone)
	must.Eq(t, 0.6, x.Candidates[1].Terms.Zone)
}

// Guards against failures that an operator or a script cannot tell apart.
func TestExplainFailuresDiffer(t *testing.T) {
	known := startExplained(t, explain.Handler(now, newExplained(true).Explain))
	empty := startExplained(t, explain.Handler(now, newExplained(false).Explain))
	earlier := startExplained(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "# HELP metrics\n") }))
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, closed.Close())
	const route = "198.18.0.1:443"
	for name, tc := range map[string]struct {
		args []string
		code int
		text string
	}{
		"unknown route": {[]string{"-metrics", known, "-route", "198.18.0.1:444"}, int(ExitUnknownRoute), "route 198.18.0.1:444 is unknown"},
		"unknown zone":  {[]string{"-metrics", known, "-route", route, "-zone", "z"}, int(ExitUnknownZone), "zone z is unknown"},
		"no catalog":    {[]string{"-metrics", empty, "-route", route}, int(ExitNoCatalog), "no catalog"},
		"unreachable":   {[]string{"-metrics", closed.Addr().String(), "-route", route}, int(ExitUnreachable), "does not answer"},
		"earlier build": {[]string{"-metrics", earlier, "-route", route}, int(ExitFailure), "serves no explanations"},
		"no route":      {[]string{"-metrics", known}, int(ExitUsage), "flag -route is required"},
		"no address":    {[]string{"-route", route}, int(ExitUsage), "flag -metrics is required"},
		"bad requester": {[]string{"-metrics", known, "-route", route, "-requester", "x"}, int(ExitUsage), "flag -requester"},
		"argument":      {[]string{"-metrics", known, "-route", route, "x"}, int(ExitUsage), "argument x"},
	} {
		t.Run(name, func(t *testing.T) {
			code, out, errs := runExplain(t, tc.args...)
			must.Eq(t, tc.code, code, must.Sprint(errs))
			must.StrContains(t, errs, tc.text)
			must.Eq(t, "", out)
		})
	}
}

// Guards against the metrics being lost behind the explanations, and the reverse.
func TestMetricsAddressServesBoth(t *testing.T) {
	entry := newExplained(true)
	n := &datagramNode{now: now, metricSources: []metrics.Source{entry}, explain: entry.Explain}
	address := startExplained(t, n.metricsHandler())
	code, _, errs := runExplain(t, "-metrics", address, "-route", "198.18.0.1:443")
	must.Zero(t, code, must.Sprint(errs))
	for _, path := range []string{"/metrics", "/"} {
		response, err := http.Get("http://" + address + path)
		must.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
		must.StrContains(t, string(body), "process_cpu_seconds_total")
	}
}
