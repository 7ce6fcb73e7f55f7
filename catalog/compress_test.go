package catalog_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/platform"
)

// configValue returns a configuration with many routes.
func configValue(t *testing.T, revision int64) catalog.Change {
	var routes []string
	for n := range 240 {
		routes = append(routes, fmt.Sprintf(`{"name":"r%d","vhost":"198.18.0.%d","prefix":"/80/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":100,"priority":1,"backend":"s"}`, n, n))
	}
	change, err := platform.Decode(catalog.Value{Key: "op/config", Position: at(revision), ReadAt: now(), Data: []byte(fmt.Sprintf(
		`{"version":%d,"routes":[%s],"services":[{"name":"s"}],"limits":{"idle_timeout_ms":15000}}`, revision, strings.Join(routes, ",")))})
	must.NoError(t, err)
	return change
}

// The configuration changes many times within seconds. Guards against every process
// receiving each version in full, which loaded the links between zones.
func TestSeriesOfConfigurationsIsCompact(t *testing.T) {
	tracker := catalog.NewTracker()
	tracker.Replace(at(1), []catalog.Change{configValue(t, 1)}, now())
	size := 0
	peers := catalog.PeerHandler(tracker, now)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		peers.ServeHTTP(recorder, r)
		size = recorder.Body.Len()
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer server.Close()
	client := catalog.NewPeerClient(platform.Decode, now, func(catalog.Value, error) {})
	// The size of the answer is tested, not the time to connect, which is limited to 100 ms.
	client.SetDial((&net.Dialer{}).DialContext)
	address := strings.TrimPrefix(server.URL, "http://")
	full := configValue(t, 1).Value.Data
	for revision := int64(2); revision <= 6; revision++ {
		tracker.Apply(at(revision), []catalog.Change{configValue(t, revision)}, now())
	}
	result, err := client.Changes(context.Background(), address, at(1), time.Second)
	must.NoError(t, err)
	must.Len(t, 1, result.Changes, must.Sprint("only the last version"))
	must.Eq(t, 6, result.Changes[0].Config.Version)
	must.True(t, bytes.Equal(configValue(t, 6).Value.Data, result.Changes[0].Value.Data))
	must.Less(t, len(full)/4, size)
}

// servePeer serves a tracker to peers and returns a client and the address.
func servePeer(t *testing.T, tracker *catalog.Tracker) (*catalog.PeerClient, string) {
	server := httptest.NewServer(catalog.PeerHandler(tracker, now))
	t.Cleanup(server.Close)
	return newPeerClient(), strings.TrimPrefix(server.URL, "http://")
}

// Peers of earlier versions do not accept compressed values.
func TestValuesAreCompressedOnlyForPeersThatAcceptIt(t *testing.T) {
	tracker := catalog.NewTracker()
	tracker.Replace(at(1), []catalog.Change{configValue(t, 1)}, now())
	recorder := httptest.NewRecorder()
	catalog.PeerHandler(tracker, now).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, catalog.PeerPath+"?after=0&wait_ms=0", nil))
	must.StrContains(t, recorder.Body.String(), `"name":"r239"`)
}
