package catalog_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/platform"
)

// oddHostEntries are entries that another writer may leave among those of the hosts. The
// address of one of them is that of a running host.
func oddHostEntries(address string) map[string]string {
	entry := `{"backend":"s","address":"` + address + `","zone":"x","version":"v1","concurrency":2,"state":"ready","warmup_left_ms":0,"born":7,"sequence":1}`
	return map[string]string{
		"deeply nested":            strings.Replace(entry, `"zone":"x"`, `"zone":"x","note":`+strings.Repeat("[", 50_000)+strings.Repeat("]", 50_000), 1),
		"not closed":               strings.Repeat(`{"a":`, 50_000),
		"number too large":         strings.Replace(entry, `"concurrency":2`, `"concurrency":1e300`, 1),
		"no slots":                 strings.Replace(entry, `"concurrency":2`, `"concurrency":-1`, 1),
		"start too late":           strings.Replace(entry, `"born":7`, `"born":1e300`, 1),
		"port out of range":        strings.Replace(entry, address, "127.0.9.1:70000", 1),
		"port 0":                   strings.Replace(entry, address, "127.0.9.1:0", 1),
		"service is not declared":  strings.Replace(entry, `"backend":"s"`, `"backend":"t"`, 1),
		"state is not named":       strings.Replace(entry, "ready", "sleeping", 1),
		"bytes that are not text":  "\x00\xff\xfe",
		"other type":               `[1,2,3]`,
		"empty":                    "",
		"long zone":                strings.Replace(entry, `"zone":"x"`, `"zone":"`+strings.Repeat("z", 100_000)+`"`, 1),
		"warm-up that overflows":   strings.Replace(entry, `"warmup_left_ms":0`, `"warmup_left_ms":1e300`, 1),
		"address of every machine": strings.Replace(entry, address, "0.0.0.0:8080", 1),
	}
}

// Guards against one odd entry among those of the hosts ending a process, stopping it from
// following the list, or taking the address of a running host.
func TestOddHostEntryDoesNotDisturbTheList(t *testing.T) {
	for name, entry := range oddHostEntries(fleetIP(2) + ":8080") {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 1, 4, 6, func(f *fleet) {
				before := f.store.TotalCalls()
				f.sleep(time.Second)
				quiet := f.store.TotalCalls() - before
				f.store.Put("servers/odd", []byte(entry))
				f.requireThroughout(time.Second, "the hosts are listed", func(m *member) bool {
					c := m.tracker.Current()
					return len(c.Hosts) == 4 && c.Hosts[m.fleet.addr(2)].ID == "h2" && len(c.Agents) == 4
				})
				started := f.start(7)
				f.putHost(5, "ready", 1)
				f.putHost(3, "draining", 2)
				putConfig(f.clients, 2)
				f.sleep(configPropagationLimit)
				f.requireVersion(2)
				for ip, m := range f.members {
					must.True(f.t, m.hostUsable(5) && !m.hostUsable(3) && m.hostUsable(2), must.Sprint(ip))
				}
				must.NotNil(f.t, started.tracker.Current())
				before = f.store.TotalCalls()
				f.sleep(4 * time.Second)
				must.LessEq(f.t, 4*quiet+4, f.store.TotalCalls()-before, must.Sprint("nobody reads again"))
			})
		})
	}
}

// A service may be declared after its hosts have come.
func TestHostIsListedOnceItsServiceIsDeclared(t *testing.T) {
	runFleet(t, 1, 4, 6, func(f *fleet) {
		f.clients.Put("servers/h9", []byte(`{"backend":"later","address":"127.0.9.9:8080","zone":"x","version":"v1","concurrency":2,"state":"ready","warmup_left_ms":0,"sequence":1}`))
		f.sleep(time.Second)
		f.requireThroughout(time.Second, "not yet", func(m *member) bool { return !m.hostListed(9) })
		f.clients.Put("op/config", []byte(`{"version":2,"routes":[],"services":[{"name":"s","health_path":"/health","max_conns":2000,"warmup_s":2.0,"warmup_per_s":0},{"name":"later","health_path":"/health","max_conns":2000,"warmup_s":2.0,"warmup_per_s":0}],"limits":{"idle_timeout_ms":15000}}`))
		f.sleep(configPropagationLimit)
		f.requireThroughout(time.Second, "listed", func(m *member) bool { return m.hostListed(9) })
	})
}

// Guards against values under unknown keys being held and passed on to peers.
func TestValuesOfOtherWritersAreNotPassedOn(t *testing.T) {
	tracker := catalog.NewTracker()
	change := catalog.Change{Value: catalog.Value{Key: "other/key", Data: make([]byte, 1<<16), Position: at(2)}}
	tracker.Replace(at(2), []catalog.Change{configValue(t, 1), change}, now())
	client, address := servePeer(t, tracker)
	result, err := client.Changes(t.Context(), address, catalog.Position{}, 0)
	must.NoError(t, err)
	must.Len(t, 1, result.Changes)
}

// Guards against numbers of a peer's answer that overflow: an age that makes old data new,
// or a position that outranks all others.
func TestPeerAnswerOutOfRangeIsRefused(t *testing.T) {
	const tooLong = int64(1) << 62
	valid := map[int]any{1: 5, 2: true, 3: 10, 6: 1}
	value := func(field int, v any) []any {
		one := map[int]any{1: "op/config", 2: []byte("{}"), 3: 5, 5: 0}
		one[field] = v
		return []any{one}
	}
	former := func(ageMS int64) any {
		return map[int]any{1: 0, 3: []any{map[int]any{1: []byte{198, 18, 0, 1}, 2: 443, 3: []any{map[int]any{1: "s", 2: ageMS}}}}}
	}
	for name, change := range map[string]map[int]any{
		"revision":                      {1: -1},
		"age":                           {3: tooLong},
		"negative age":                  {3: -5},
		"era":                           {6: -1},
		"settling":                      {7: tooLong},
		"value revision":                {4: value(3, -1)},
		"value creation":                {4: value(8, -1)},
		"value age":                     {4: value(5, tooLong)},
		"value era":                     {4: value(7, -3)},
		"late value revision":           {11: value(3, -1)},
		"late value age":                {11: value(5, tooLong)},
		"removal age":                   {9: []any{map[int]any{1: "servers/h1", 4: tooLong}}},
		"age of a former service":       {10: former(tooLong)},
		"negative age of one":           {10: former(-1)},
		"number too large for its type": {1: uint64(1) << 63},
	} {
		answer := map[int]any{}
		for k, v := range valid {
			answer[k] = v
		}
		for k, v := range change {
			answer[k] = v
		}
		body, err := cbor.Marshal(answer)
		must.NoError(t, err)
		_, err = newPeerClient().DecodePeerAnswer(body, 0)
		must.Error(t, err, must.Sprint(name))
	}
	valid[10] = former(5)
	body, err := cbor.Marshal(valid)
	must.NoError(t, err)
	_, err = newPeerClient().DecodePeerAnswer(body, 0)
	must.NoError(t, err)
}

// Guards against many small compressed values that expand to more than the memory of a
// process.
func TestPeerAnswerThatExpandsTooMuchIsRefused(t *testing.T) {
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	_, err := w.Write(make([]byte, 6<<20))
	must.NoError(t, err)
	must.NoError(t, w.Close())
	var values []any
	for n := range 4 {
		values = append(values, map[int]any{1: fmt.Sprintf("other/%d", n), 2: compressed.Bytes(), 3: 5, 5: 0, 6: true})
	}
	body, err := cbor.Marshal(map[int]any{1: 5, 2: true, 3: 10, 4: values})
	must.NoError(t, err)
	_, err = newPeerClient().DecodePeerAnswer(body, 0)
	var invalid *catalog.PeerAnswerError
	must.True(t, errors.As(err, &invalid), must.Sprint(err))
}

func newPeerClient() *catalog.PeerClient {
	return catalog.NewPeerClient(platform.Decode, now, func(catalog.Value, error) {})
}

// Whatever a peer answers is decoded with numbers in range, or refused.
func FuzzPeerAnswer(f *testing.F) {
	for _, answer := range []any{
		map[int]any{1: 5, 2: true, 3: 10, 4: []any{map[int]any{1: "servers/h1", 2: []byte("{}"), 3: 4, 5: 7}}, 6: 1},
		map[int]any{1: -1, 3: int64(1) << 62, 9: []any{map[int]any{1: "k", 4: -1}}},
		map[int]any{1: uint64(1) << 63},
	} {
		body, err := cbor.Marshal(answer)
		must.NoError(f, err)
		f.Add(body)
	}
	f.Add(bytes.Repeat([]byte{0x81}, 10_000))
	f.Add([]byte{0xa1, 0x04, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	client := newPeerClient()
	f.Fuzz(func(t *testing.T, body []byte) {
		result, err := client.DecodePeerAnswer(body, 0)
		if err != nil {
			return
		}
		if result.Age < 0 || result.SettlingFor < 0 || result.Revision < 0 || result.Era < 0 {
			t.Fatalf("an answer out of range was decoded: %+v", result)
		}
		for _, c := range result.Changes {
			if c.Value.Revision < 0 || c.Value.Era < 0 || c.Value.ReadAt > now() {
				t.Fatalf("a value out of range was decoded: %+v", c.Value)
			}
		}
	})
}

// Guards against a log that grows with each read of the same odd value.
func TestRejectedValueIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	rejected := catalog.NewRejectedValues(logrus.NewEntry(log))
	cause := errors.New("cause")
	for range 50 {
		rejected.Record(catalog.Value{Key: "servers/odd", Data: make([]byte, 70), Position: at(3)}, cause)
	}
	must.Eq(t, 1, strings.Count(out.String(), "value_rejected"))
	must.StrContains(t, out.String(), "bytes=70")
	rejected.Record(catalog.Value{Key: "servers/odd", Position: at(4)}, cause)
	must.Eq(t, 2, strings.Count(out.String(), "value_rejected"), must.Sprint("the value was written anew"))
	log.SetOutput(io.Discard)
	for n := range int64(5000) {
		rejected.Record(catalog.Value{Key: fmt.Sprint("servers/", n), Position: at(n)}, cause)
	}
	must.LessEq(t, 1024, rejected.Remembered())
}
