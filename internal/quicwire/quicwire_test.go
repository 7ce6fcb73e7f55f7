package quicwire

import (
	"testing"

	"github.com/shoenig/test/must"
)

const testConnIDLength = 17

func longPacket(first byte, version byte, id int, size int) []byte {
	packet := make([]byte, size)
	copy(packet, []byte{first, 0, 0, 0, version, byte(id)})
	return packet
}

func TestParseClassifiesPackets(t *testing.T) {
	short := make([]byte, testConnIDLength+2)
	short[0] = 0x40
	for _, c := range []struct {
		name   string
		packet []byte
		form   Form
		id     int
	}{
		{"empty", nil, FormInvalid, 0},
		{"short header", short, FormShort, testConnIDLength},
		{"short header without payload", short[:testConnIDLength+1], FormShort, testConnIDLength},
		{"truncated short header", short[:testConnIDLength], FormInvalid, 0},
		{"initial", longPacket(0xc0, 1, 8, MinInitialSize), FormInitial, 8},
		{"small initial", longPacket(0xc0, 1, 8, MinInitialSize-1), FormLong, 8},
		{"handshake", longPacket(0xe0, 1, 8, MinInitialSize), FormLong, 8},
		{"other version", longPacket(0xe0, 7, 8, MinInitialSize), FormInitial, 8},
		{"version negotiation", longPacket(0xc0, 0, 8, MinInitialSize), FormLong, 8},
		{"ID too long", longPacket(0xc0, 1, 21, MinInitialSize), FormInvalid, 0},
		{"ID past the end", longPacket(0xc0, 1, 20, 26), FormInvalid, 0},
		{"long header alone", longPacket(0xc0, 1, 0, 6), FormInvalid, 0},
	} {
		parsed := Parse(c.packet, testConnIDLength)
		must.Eq(t, c.form, parsed.Form, must.Sprint(c.name))
		must.Len(t, c.id, parsed.DCID, must.Sprint(c.name))
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x40})
	f.Add(longPacket(0xc0, 1, 8, MinInitialSize))
	f.Add(longPacket(0xc0, 1, 21, 30))
	f.Add(longPacket(0xc0, 1, 20, 26))
	f.Fuzz(func(t *testing.T, packet []byte) {
		parsed := Parse(packet, testConnIDLength)
		switch parsed.Form {
		case FormInvalid:
			must.Len(t, 0, parsed.DCID)
		case FormShort:
			must.Len(t, testConnIDLength, parsed.DCID)
			must.Zero(t, packet[0]&longHeaderBit)
		case FormInitial:
			must.GreaterEq(t, MinInitialSize, len(packet))
			must.LessEq(t, maxConnIDLength, len(parsed.DCID))
		case FormLong:
			must.LessEq(t, maxConnIDLength, len(parsed.DCID))
		}
	})
}
