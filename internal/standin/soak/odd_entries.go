package soak

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"
)

// maxOddEntryInterval is the longest time between two entries of another writer.
const maxOddEntryInterval = 700 * time.Millisecond

// oddEntries returns entries that name no host, with the address of a running one.
func oddEntries(address string) []string {
	entry := `{"backend":"desk","address":"` + address + `","zone":"a","version":"v1","concurrency":5,"state":"ready","warmup_left_ms":0,"sequence":1,"born":4000000000000}`
	replaced := func(from, to string) string { return strings.Replace(entry, from, to, 1) }
	return []string{
		replaced(`"zone":"a"`, `"zone":"a","note":`+strings.Repeat("[", 50_000)+strings.Repeat("]", 50_000)),
		strings.Repeat(`{"a":`, 50_000),
		replaced(`"concurrency":5`, `"concurrency":1e300`),
		replaced(`"concurrency":5`, `"concurrency":123456789012345678901234567890`),
		replaced(`"concurrency":5`, `"concurrency":-1`),
		replaced(`"born":4000000000000`, `"born":1e300`),
		replaced(`"warmup_left_ms":0`, `"warmup_left_ms":1e300`),
		replaced(address, "10.0.0.1:70000"),
		replaced(address, "10.0.0.1:0"),
		replaced(address, "255.255.255.255:80"),
		replaced(`"backend":"desk"`, `"backend":"undeclared"`),
		replaced(`"backend":"desk"`, `"backend":7`),
		replaced(`"version":"v1",`, ""),
		replaced(`"warmup_left_ms":0,`, ""),
		replaced(`"sequence":1,`, ""),
		replaced(`"version":"v1"`, `"version":null`),
		replaced("ready", "sleeping"),
		"\x00\xff\xfe", "[1,2]", "null", "",
	}
}

// writeOddEntries writes, changes and removes entries of another writer among those of the
// hosts until the run ends. It uses random numbers of its own, so that the faults that a
// seed selects stay the same.
func (r *run) writeOddEntries() {
	random := rand.New(rand.NewPCG(r.Seed, 1<<32))
	for r.ctx.Err() == nil {
		address := netip.AddrPortFrom(r.nodeIP(kindHost, random.IntN(r.Hosts)), portHost).String()
		entries := oddEntries(address)
		key := fmt.Sprintf("servers/odd-%d", random.IntN(3))
		if random.IntN(8) == 0 {
			key = "servers/"
		}
		if random.IntN(4) == 0 {
			r.store.Delete(key)
		} else {
			r.store.Put(key, []byte(entries[random.IntN(len(entries))]))
		}
		sleep(r.ctx, time.Duration(random.Int64N(int64(maxOddEntryInterval))))
	}
}
