package entry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/connid"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/invariant"
	"github.com/turmericrock/turmericrock/internal/quicwire"
	"github.com/turmericrock/turmericrock/keyring"
	"github.com/turmericrock/turmericrock/tunnel"
)

var (
	testCaller            = netip.MustParseAddrPort("198.51.100.7:5555")
	otherAddr             = netip.MustParseAddrPort("10.9.0.2:443")
	otherTag              = fleet.ServiceID{Customer: "quillhaven", Name: "proofs"}.Tag()
	testKeys              = &keyring.Keys{Active: 1, Keys: []keyring.Key{{Generation: 1}}}
	wrongSecretKeys       = &keyring.Keys{Active: 1, Keys: []keyring.Key{{Generation: 1, Secret: [32]byte{9}}}}
	unknownGenerationKeys = &keyring.Keys{Active: 7, Keys: []keyring.Key{{Generation: 7}}}
)

func failOnViolation(t *testing.T) {
	invariant.SetHandler(func(name string) { t.Errorf("invariant violated: %s", name) })
	t.Cleanup(func() { invariant.SetHandler(nil) })
}

// newPlacerTestbed returns a testbed with three zones, the last of which is
// out of service, and a second service without hosts.
func newPlacerTestbed(t *testing.T) *testbed {
	b := newTestbed(t, "a", "b", "c")
	for _, zone := range []string{"a", "b", "c"} {
		b.addHosts(zone, 3)
	}
	b.advance(2 * time.Second)
	b.zones[2].Out = true
	b.publishConfig()
	b.advance(time.Second)
	b.view.Services[otherAddr] = &ServiceView{Tag: otherTag}
	return b
}

func shortPacket(t testing.TB, keys *keyring.Keys, owner connid.Owner) []byte {
	codec, err := connid.NewCodec(keys)
	must.NoError(t, err)
	packet := make([]byte, 100)
	packet[0] = 0x40
	must.NoError(t, codec.Encode(packet[1:1+connid.Size], owner, 1))
	return packet
}

func initialPacket(size int) []byte {
	packet := make([]byte, size)
	copy(packet, []byte{0xc3, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8})
	return packet
}

func TestPlaceDropsBadPacketsByCause(t *testing.T) {
	failOnViolation(t)
	b := newPlacerTestbed(t)
	good := connid.Owner{
		Addr: netip.MustParseAddrPort("10.1.0.1:7000"), Incarnation: 3, Zone: 1, Service: testService.Tag(),
	}
	ownerWith := func(edit func(*connid.Owner)) connid.Owner {
		owner := good
		edit(&owner)
		return owner
	}
	version2 := initialPacket(quicwire.MinInitialSize)
	version2[4] = 9
	for _, c := range []struct {
		name   string
		dst    netip.AddrPort
		packet []byte
		want   Verdict
	}{
		{"known flow", testAddr, shortPacket(t, testKeys, good), VerdictForward},
		{"new flow", testAddr, initialPacket(quicwire.MinInitialSize), VerdictForward},
		{"other version opens a flow", testAddr, version2, VerdictForward},
		{"no such service", testCaller, shortPacket(t, testKeys, good), VerdictNoService},
		{"empty", testAddr, nil, VerdictMalformed},
		{"truncated short header", testAddr, shortPacket(t, testKeys, good)[:connid.Size], VerdictMalformed},
		{"truncated long header", testAddr, initialPacket(quicwire.MinInitialSize)[:9], VerdictMalformed},
		{"oversized", testAddr, initialPacket(tunnel.MaxPayload + 1), VerdictOversized},
		{"small initial", testAddr, initialPacket(quicwire.MinInitialSize - 1), VerdictUnknownFlow},
		{"garbage", testAddr, []byte("not a packet of any flow"), VerdictUnknownFlow},
		{"other service's ID", otherAddr, shortPacket(t, testKeys, good), VerdictUnknownFlow},
		{"ID for another service", testAddr, shortPacket(t, testKeys, ownerWith(func(o *connid.Owner) { o.Service = otherTag })), VerdictUnknownFlow},
		{"made-up ID", testAddr, shortPacket(t, wrongSecretKeys, good), VerdictUnknownFlow},
		{"older key", testAddr, shortPacket(t, unknownGenerationKeys, good), VerdictUnknownFlow},
		{"zone out", testAddr, shortPacket(t, testKeys, ownerWith(func(o *connid.Owner) { o.Zone = 3 })), VerdictZoneOut},
		{"undeclared zone", testAddr, shortPacket(t, testKeys, ownerWith(func(o *connid.Owner) { o.Zone = 0 })), VerdictZoneOut},
		{"foreign owner", testAddr, shortPacket(t, testKeys, ownerWith(func(o *connid.Owner) { o.Addr = testCaller })), VerdictForeignAddr},
		{"owner without port", testAddr, shortPacket(t, testKeys, ownerWith(func(o *connid.Owner) {
			o.Addr = netip.AddrPortFrom(good.Addr.Addr(), 0)
		})), VerdictForeignAddr},
		{"no host", otherAddr, initialPacket(quicwire.MinInitialSize), VerdictNoHost},
	} {
		var placer Placer
		decision := placer.Place(b.view, testCaller, c.dst, c.packet)
		must.Eq(t, c.want, decision.Verdict, must.Sprint(c.name))
	}
}

func TestPlaceOfNewFlowsIsStableAndNamesTwoHosts(t *testing.T) {
	failOnViolation(t)
	b := newPlacerTestbed(t)
	var placer Placer
	packet := initialPacket(quicwire.MinInitialSize)
	first := placer.Place(b.view, testCaller, testAddr, packet)
	must.Eq(t, tunnel.KindNew, first.Kind)
	must.NotEq(t, first.Agent, first.Second)
	must.Positive(t, first.SecondLoad)
	must.MapContainsKey(t, b.eligibleWeights(), first.Agent)
	must.MapContainsKey(t, b.eligibleWeights(), first.Second)

	// A report between two packets of a handshake must not change either
	// choice.
	b.board.hosts[first.Agent].shared.load.Store(5000)
	again := placer.Place(b.view, testCaller, testAddr, packet)
	must.Eq(t, first.Agent, again.Agent)
	must.Eq(t, first.Second, again.Second)
}

func TestFlowsOfOneCallerSpreadOverHosts(t *testing.T) {
	b := newPlacerTestbed(t)
	var placer Placer
	counts := make(map[netip.AddrPort]int)
	packet := initialPacket(quicwire.MinInitialSize)
	const flows = 6000
	for i := range flows {
		packet[6], packet[7] = byte(i>>8), byte(i)
		counts[placer.Place(b.view, testCaller, testAddr, packet).Agent]++
	}
	must.MapLen(t, 6, counts)
	for _, count := range counts {
		must.Between(t, flows/6*8/10, count, flows/6*12/10)
	}
}

func TestPlaceDoesNotAllocate(t *testing.T) {
	b := newPlacerTestbed(t)
	var placer Placer
	owner := connid.Owner{Addr: netip.MustParseAddrPort("10.1.0.1:7000"), Zone: 1, Service: testService.Tag()}
	established, initial := shortPacket(t, testKeys, owner), initialPacket(quicwire.MinInitialSize)
	must.Zero(t, testing.AllocsPerRun(100, func() {
		placer.Place(b.view, testCaller, testAddr, established)
		placer.Place(b.view, testCaller, testAddr, initial)
	}))
}

func TestPlaceDuringKeyRotation(t *testing.T) {
	failOnViolation(t)
	b := newPlacerTestbed(t)
	owner := connid.Owner{Addr: netip.MustParseAddrPort("10.1.0.1:7000"), Zone: 1, Service: testService.Tag()}
	key := func(generation uint8) keyring.Key {
		return keyring.Key{Generation: generation, Secret: [32]byte{generation}}
	}
	steps := []struct {
		active   uint8
		ringKeys []keyring.Key
		accepts  []uint8
		refuses  []uint8
	}{
		{2, []keyring.Key{key(2)}, []uint8{2}, []uint8{3, 4}},
		{2, []keyring.Key{key(2), key(3)}, []uint8{2, 3}, []uint8{4}},
		{3, []keyring.Key{key(2), key(3)}, []uint8{2, 3}, []uint8{4}},
		{3, []keyring.Key{key(3), key(4)}, []uint8{3, 4}, []uint8{2}},
	}
	var placer Placer
	for _, step := range steps {
		must.NoError(t, b.board.Keys.Store(keyring.Keys{Active: step.active, Keys: step.ringKeys}))
		b.advance(scanInterval)
		must.Eq(t, b.board.Keys.Load(), b.view.Keys)
		place := func(generation uint8) Verdict {
			keys := &keyring.Keys{Active: generation, Keys: []keyring.Key{key(generation)}}
			return placer.Place(b.view, testCaller, testAddr, shortPacket(t, keys, owner)).Verdict
		}
		for _, generation := range step.accepts {
			must.Eq(t, VerdictForward, place(generation))
		}
		for _, generation := range step.refuses {
			must.Eq(t, VerdictUnknownFlow, place(generation))
		}
	}
}

// FuzzPlace checks that a packet is forwarded only to an eligible host, or to
// the owner in a valid connection ID if its address is in AgentNetworks and
// its zone is open.
func FuzzPlace(f *testing.F) {
	violations := invariant.Violations()
	owner := connid.Owner{Addr: netip.MustParseAddrPort("10.1.0.1:7000"), Zone: 1, Service: testService.Tag()}
	f.Add(shortPacket(f, testKeys, owner))
	f.Add(initialPacket(quicwire.MinInitialSize))
	f.Add(initialPacket(tunnel.MaxPayload + 1))
	f.Add([]byte{0xc0, 0, 0, 0, 1, 21})
	f.Add([]byte{})
	var b *testbed
	f.Fuzz(func(t *testing.T, packet []byte) {
		if b == nil {
			b = newPlacerTestbed(t)
		}
		var placer Placer
		decision := placer.Place(b.view, testCaller, testAddr, packet)
		must.Eq(t, violations, invariant.Violations())
		if decision.Verdict != VerdictForward {
			must.Eq(t, Decision{Verdict: decision.Verdict}, decision)
			return
		}
		must.Eq(t, testService.Tag(), decision.Service)
		if decision.Kind == tunnel.KindNew {
			must.MapContainsKey(t, b.eligibleWeights(), decision.Agent)
			must.NotEq(t, decision.Agent, decision.Second)
			return
		}
		parsed := quicwire.Parse(packet, connid.Size)
		decoded, ok := b.view.ConnIDs.Decode(parsed.DCID, testService.Tag())
		must.True(t, ok)
		must.Eq(t, decoded.Addr, decision.Agent)
		must.False(t, b.view.ZonesOut[decoded.Zone])
		must.True(t, usableAddr(b.view.AgentNetworks, decision.Agent))
	})
}
