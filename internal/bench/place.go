package bench

import (
	"encoding/binary"
	"net/netip"
	"testing"

	"github.com/turmericrock/turmericrock/connid"
	"github.com/turmericrock/turmericrock/entry"
	"github.com/turmericrock/turmericrock/internal/fleetgen"
	"github.com/turmericrock/turmericrock/keyring"
	"github.com/turmericrock/turmericrock/tunnel"
)

// packetSize is the size in bytes of the packets that callers send.
const packetSize = 1200

// benchFlows is the number of different flows whose packets are placed, in
// round-robin order.
const benchFlows = 1024

// currentFleetSize returns the size of the fleet that one customer runs today.
func currentFleetSize() fleetgen.Size {
	return fleetgen.Size{Regions: 1, Zones: 4, Entries: 4, Hosts: 14, Services: 2, Parts: 1}
}

// measurePlacement measures the time and allocations of the placement decision
// for one packet and of sealing it.
func measurePlacement(show func(Figure)) error {
	for _, fleetCase := range []struct {
		name string
		size fleetgen.Size
	}{{"today", currentFleetSize()}, {"design", fleetgen.DesignSize()}} {
		control, err := NewEntryControl(fleetCase.size)
		if err != nil {
			return err
		}
		established, opening, err := samplePackets(control)
		if err != nil {
			return err
		}
		reportPlacement(show, "place_established_"+fleetCase.name, control.View(), established)
		reportPlacement(show, "place_new_"+fleetCase.name, control.View(), opening)
	}
	return measureSeal(show)
}

// packetSample is a packet with its source address and the service address to
// which it is sent.
type packetSample struct {
	src    netip.AddrPort
	dst    netip.AddrPort
	packet []byte
}

// samplePackets returns packets of established flows and initial packets of new
// flows, distributed over hosts and services.
func samplePackets(control *EntryControl) (established, opening []packetSample, err error) {
	codec, err := connid.NewCodec(&keyring.Keys{Keys: []keyring.Key{{}}})
	if err != nil {
		return nil, nil, err
	}
	for i := range benchFlows {
		vm := control.agents[i%len(control.agents)]
		service, _ := control.config.Service(vm.Service)
		zone, _ := control.config.Zone(vm.Zone)
		owner := connid.Owner{Addr: vm.Addr, Incarnation: 1, Zone: zone.Number, Service: vm.Service.Tag()}
		shortHeader := make([]byte, packetSize)
		shortHeader[0] = 0x40
		if err := codec.Encode(shortHeader[1:1+connid.Size], owner, uint32(i)); err != nil {
			return nil, nil, err
		}
		src := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, byte(i >> 8), byte(i)}), 4433)
		established = append(established, packetSample{src: src, dst: service.Addr, packet: shortHeader})
		opening = append(opening, packetSample{src: src, dst: service.Addr, packet: initialPacket(uint64(i))})
	}
	return established, opening, nil
}

// initialPacket returns a packet with the unencrypted header of a QUIC Initial
// packet.
func initialPacket(id uint64) []byte {
	packet := make([]byte, packetSize)
	packet[0] = 0xc0
	packet[4] = 1
	packet[5] = 8
	binary.BigEndian.PutUint64(packet[6:14], id*0x9e3779b97f4a7c15)
	return packet
}

func reportPlacement(show func(Figure), name string, view *entry.View, samples []packetSample) {
	var placer entry.Placer
	forwarded := 0
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			s := &samples[i%benchFlows]
			decision := placer.Place(view, s.src, s.dst, s.packet)
			if decision.Verdict == entry.VerdictForward {
				forwarded++
			}
			i++
		}
	})
	show(Figure{Name: name, Value: float64(result.T.Nanoseconds()) / float64(result.N), Unit: "ns"})
	show(Figure{Name: name + "_allocs", Value: float64(result.AllocsPerOp()), Unit: "count"})
	if forwarded == 0 {
		show(Figure{Name: name + "_failed", Value: 1, Unit: "count"})
	}
}

func measureSeal(show func(Figure)) error {
	codec, err := tunnel.NewCodec(&keyring.Keys{Keys: []keyring.Key{{}}})
	if err != nil {
		return err
	}
	buf := make([]byte, tunnel.MaxDatagram)
	header := tunnel.Header{Kind: tunnel.KindFlow, Caller: netip.MustParseAddrPort("127.0.0.1:1")}
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			codec.Seal(buf, packetSize, &header)
		}
	})
	show(Figure{Name: "seal_1200_bytes", Value: float64(result.T.Nanoseconds()) / float64(result.N), Unit: "ns"})
	show(Figure{Name: "seal_1200_bytes_allocs", Value: float64(result.AllocsPerOp()), Unit: "count"})
	return nil
}
