package tunnel

import (
	"bytes"
	"errors"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/turmericrock/turmericrock/keyring"
)

func newCodec(t must.T, active uint8, generations ...uint8) *Codec {
	keys := &keyring.Keys{Active: active}
	for _, generation := range generations {
		keys.Keys = append(keys.Keys, keyring.Key{Generation: generation, Secret: [32]byte{generation}})
	}
	codec, err := NewCodec(keys)
	must.NoError(t, err)
	return codec
}

func seal(codec *Codec, header Header, payload []byte) []byte {
	buf := make([]byte, MaxDatagram)
	copy(buf[HeaderSize:], payload)
	return codec.Seal(buf, len(payload), &header)
}

func causeOf(err error) string {
	var datagramErr *DatagramError
	if errors.As(err, &datagramErr) {
		return datagramErr.Cause
	}
	return ""
}

var sampleHeader = Header{
	Kind:        KindNew,
	Service:     7,
	Incarnation: 9,
	Revision:    1 << 40,
	Caller:      netip.MustParseAddrPort("[2001:db8::1]:443"),
	Entry:       netip.MustParseAddrPort("10.0.0.1:7300"),
	Second:      netip.MustParseAddrPort("10.0.0.2:7300"),
	SecondLoad:  77,
}

func TestOpenReturnsSealedHeaderAndPayload(t *testing.T) {
	codec := newCodec(t, 1, 1)
	rapid.Check(t, func(t *rapid.T) {
		header := sampleHeader
		header.Kind = Kind(rapid.IntRange(1, 5).Draw(t, "kind"))
		header.SecondLoad = Load(rapid.Uint32().Draw(t, "load"))
		payload := rapid.SliceOfN(rapid.Byte(), 0, MaxPayload).Draw(t, "payload")
		opened, body, err := codec.Open(seal(codec, header, payload))
		must.NoError(t, err)
		must.Eq(t, header, opened)
		must.True(t, bytes.Equal(payload, body))
	})
}

func TestOpenRejectsAnyFlippedBit(t *testing.T) {
	codec := newCodec(t, 1, 1, 2)
	datagram := seal(codec, sampleHeader, []byte("payload"))
	for bit := range len(datagram) * 8 {
		altered := bytes.Clone(datagram)
		altered[bit/8] ^= 1 << (bit % 8)
		_, _, err := codec.Open(altered)
		must.NotEq(t, "", causeOf(err), must.Sprint(bit))
	}
}

func TestOpenErrorCauses(t *testing.T) {
	codec := newCodec(t, 1, 1, 2)
	good := seal(codec, sampleHeader, []byte("payload"))
	version := bytes.Clone(good)
	version[0]++
	for want, datagram := range map[string][]byte{
		"short":       good[:HeaderSize+TagSize-1],
		"version":     version,
		"unknown_key": seal(newCodec(t, 3, 3), sampleHeader, nil),
		"forged":      good[:len(good)-1],
	} {
		_, _, err := codec.Open(datagram)
		must.Eq(t, want, causeOf(err))
	}
	_, _, err := codec.Open(seal(newCodec(t, 2, 2), sampleHeader, nil))
	must.NoError(t, err)
}

func TestNoncesAreUnique(t *testing.T) {
	seen := make(map[string]bool)
	for range 10 {
		codec := newCodec(t, 1, 1)
		for range 10 {
			datagram := seal(codec, sampleHeader, nil)
			nonce := string(datagram[HeaderSize-nonceSize : HeaderSize])
			must.False(t, seen[nonce])
			seen[nonce] = true
		}
	}
}

func TestSealDoesNotAllocate(t *testing.T) {
	codec := newCodec(t, 1, 1)
	buf := make([]byte, MaxDatagram)
	must.Zero(t, testing.AllocsPerRun(100, func() { codec.Seal(buf, 1200, &sampleHeader) }))
}

func TestLoadIsRelativeToCapacity(t *testing.T) {
	must.Eq(t, 1, Report{Capacity: 1000}.Load())
	must.Eq(t, 101, Report{Flows: 100, Capacity: 1000}.Load())
	must.Eq(t, 501, Report{Flows: 100, Capacity: 200}.Load())
	must.Eq(t, 100_001, Report{Flows: 100}.Load())
	must.Greater(t, Report{Flows: 1 << 30, Capacity: 1000}.Load(), Report{Flows: 1<<32 - 1}.Load())
}

func TestLargestDatagramFitsAnEthernetFrame(t *testing.T) {
	const ipAndUDP, frame = 28, 1500
	must.LessEq(t, frame, MaxDatagram+ipAndUDP)
}

func FuzzOpen(f *testing.F) {
	codec := newCodec(f, 1, 1)
	f.Add(seal(codec, sampleHeader, []byte("payload")))
	f.Add(seal(codec, sampleHeader, nil))
	f.Add([]byte{})
	f.Add(make([]byte, HeaderSize+TagSize))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		_, payload, err := codec.Open(datagram)
		if err != nil {
			must.NotEq(t, "", causeOf(err))
			must.Nil(t, payload)
			return
		}
		must.Len(t, len(datagram)-HeaderSize-TagSize, payload)
	})
}

func FuzzDecodeReport(f *testing.F) {
	good, err := EncodeReport(Report{Incarnation: 1, State: HostCold, Flows: 9, Capacity: 200, Sequence: 3})
	must.NoError(f, err)
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Add([]byte{})
	f.Add([]byte{0xbf})
	f.Fuzz(func(t *testing.T, payload []byte) {
		report, err := DecodeReport(payload)
		if err != nil {
			must.Eq(t, "report", causeOf(err))
			must.Eq(t, Report{}, report)
			return
		}
		must.Positive(t, report.Load())
	})
}
