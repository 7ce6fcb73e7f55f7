package explain_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/datagram"
	"github.com/turmericrock/turmericrock/internal/explain"
)

// ask returns the answer to a request.
func ask(explained explain.Func, method, query string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	now := func() time.Duration { return time.Minute }
	explain.Handler(now, explained).ServeHTTP(w, httptest.NewRequest(method, explain.Path+"?"+query, nil))
	return w
}

func noExplanation(time.Duration, datagram.ExplainQuery) (*datagram.Explanation, error) {
	return nil, errors.New("not asked")
}

func TestOnlyGetIsAllowed(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodHead, http.MethodOptions} {
		w := ask(noExplanation, method, "route=198.18.0.1:443")
		must.Eq(t, http.StatusMethodNotAllowed, w.Code)
		must.Eq(t, http.MethodGet, w.Header().Get("Allow"))
	}
}

// Guards against queries that are answered for something else than was asked for.
func TestInvalidQueriesAreRejected(t *testing.T) {
	for _, query := range []string{
		"", "route=", "route=x", "route=[::1]:443", "route=198.18.0.1", "route=198.18.0.1:443&requester=x",
		"route=198.18.0.1:443&requestor=100.64.0.7:1", "route=198.18.0.1:443&zone=" + strings.Repeat("z", 129),
		"route=198.18.0.1:443&zone=" + strings.Repeat("z", 600), "route=%zz",
	} {
		w := ask(noExplanation, http.MethodGet, query)
		must.Eq(t, http.StatusBadRequest, w.Code, must.Sprint(query))
		must.StrContains(t, w.Body.String(), `"error":"bad_query"`)
	}
}

func TestStatusTellsErrorsApart(t *testing.T) {
	for _, tc := range []struct {
		err    error
		status int
		code   string
	}{
		{&datagram.NoCatalogError{}, http.StatusServiceUnavailable, "no_catalog"},
		{&datagram.UnknownRouteError{Route: "r"}, http.StatusNotFound, "unknown_route"},
		{&datagram.UnknownZoneError{Zone: "z"}, http.StatusNotFound, "unknown_zone"},
		{errors.New("other"), http.StatusInternalServerError, ""},
	} {
		w := ask(func(time.Duration, datagram.ExplainQuery) (*datagram.Explanation, error) { return nil, tc.err }, http.MethodGet, "route=198.18.0.1:443")
		must.Eq(t, tc.status, w.Code)
		must.StrContains(t, w.Body.String(), `"error":"`+tc.code+`"`)
	}
}

// Guards against answers of any size: names come from the store.
func TestAnswersAreBounded(t *testing.T) {
	const route = "route=198.18.0.1:443"
	large := func(candidates int, service string) explain.Func {
		return func(time.Duration, datagram.ExplainQuery) (*datagram.Explanation, error) {
			x := &datagram.Explanation{Role: "entry", Service: service}
			for range candidates {
				x.Candidates = append(x.Candidates, datagram.HostExplanation{ID: strings.Repeat("h", 10_000)})
			}
			return x, nil
		}
	}
	w := ask(large(50, "s"), http.MethodGet, route)
	must.Eq(t, http.StatusOK, w.Code)
	must.LessEq(t, 128<<10, w.Body.Len())
	var x datagram.Explanation
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &x))
	must.Eq(t, 50, len(x.Candidates)+x.Omitted)
	must.SliceNotEmpty(t, x.Candidates)
	must.Eq(t, http.StatusInternalServerError, ask(large(0, strings.Repeat("s", 200_000)), http.MethodGet, route).Code)
}

// Guards against an explanation of an agent that leaves out what decided.
func TestTextOfAnAgent(t *testing.T) {
	var out strings.Builder
	must.NoError(t, explain.WriteText(&out, &datagram.Explanation{
		Role: "agent", Route: "198.18.0.1:443", RouteName: "r", Decision: "passed_on", Reason: "cold", Host: "10.0.0.12",
		Agent: &datagram.AgentExplanation{
			Service: "s", Busy: 9, Waiting: 4, Slots: 3, ServiceMS: 40, Stalled: true,
			LastAdmission: &datagram.AdmissionExplanation{
				Decision: "accept", Ahead: 9, EstimateMS: 133.3, Share: 0.8, ForwardAbove: 0.45, RefuseAbove: 0.7,
				Late: &datagram.LateExplanation{Admitted: true, Ahead: 7, WaitMS: 200, Share: 0.5},
			},
			Cold: &datagram.ColdExplanation{Limit: 8, Recent: 8, AssumedUsed: true},
		},
		Candidates: []datagram.HostExplanation{{Host: "10.0.0.11", Excluded: "avoided"}},
	}))
	for _, want := range []string{
		"passed on to 10.0.0.12, because: cold", "3 slots, 9 unanswered requests of which 4 wait here", "answered nothing for long",
		"last asked  accept: 9 requests ahead, estimated latency 133.3 ms, share 0.80", "late        accept: 7 requests ahead, expected wait 200.0 ms",
		"cold        refuse: 8 of 8 new flows in the last second, counts as used up", "avoided",
	} {
		must.StrContains(t, out.String(), want)
	}
}

// Guards against a client that waits for a process that does not answer.
func TestClientGivesUp(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer server.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	_, err := explain.Get(t.Context(), address, datagram.ExplainQuery{Route: netip.MustParseAddrPort("198.18.0.1:443")})
	var unreachable *explain.UnreachableError
	must.True(t, errors.As(err, &unreachable))
}
