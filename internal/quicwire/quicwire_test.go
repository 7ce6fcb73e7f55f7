package quicwire

import (
	"testing"

	"github.com/shoenig/test/must"
)

const idSize = 17

func long(first byte, version byte, id int, size int) []byte {
	packet := make([]byte, size)
	copy(packet, []byte{first, 0, 0, 0, version, byte(id)})
	return packet
}

func TestParseTellsForms(t *testing.T) {
	short := make([]byte, idSize+2)
	short[0] = 0x40
	for _, c := range []struct {
		name   string
		packet []byte
		form   Form
		id     int
	}{
		{"empty", nil, FormInvalid, 0},
		{"short header", short, FormShort, idSize},
		{"short header without payload", short[:idSize+1], FormShort, idSize},
		{"truncated short header", short[:idSize], FormInvalid, 0},
		{"initial", long(0xc0, 1, 8, MinInitial), FormInitial, 8},
		{"small initial", long(0xc0, 1, 8, MinInitial-1), FormLong, 8},
		{"handshake", long(0xe0, 1, 8, MinInitial), FormLong, 8},
		{"other version", long(0xe0, 7, 8, MinInitial), FormInitial, 8},
		{"version negotiation", long(0xc0, 0, 8, MinInitial), FormLong, 8},
		{"ID too long", long(0xc0, 1, 21, MinInitial), FormInvalid, 0},
		{"ID past the end", long(0xc0, 1, 20, 26), FormInvalid, 0},
		{"long header alone", long(0xc0, 1, 0, 6), FormInvalid, 0},
	} {
		parsed := Parse(c.packet, idSize)
		must.Eq(t, c.form, parsed.Form, must.Sprint(c.name))
		must.Len(t, c.id, parsed.DCID, must.Sprint(c.name))
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x40})
	f.Add(long(0xc0, 1, 8, MinInitial))
	f.Add(long(0xc0, 1, 21, 30))
	f.Add(long(0xc0, 1, 20, 26))
	f.Fuzz(func(t *testing.T, packet []byte) {
		parsed := Parse(packet, idSize)
		switch parsed.Form {
		case FormInvalid:
			must.Len(t, 0, parsed.DCID)
		case FormShort:
			must.Len(t, idSize, parsed.DCID)
			must.Zero(t, packet[0]&longHeader)
		case FormInitial:
			must.GreaterEq(t, MinInitial, len(packet))
			must.LessEq(t, maxConnIDLength, len(parsed.DCID))
		case FormLong:
			must.LessEq(t, maxConnIDLength, len(parsed.DCID))
		}
	})
}
