package flow_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/flow"
)

var exampleKey = flow.Key{
	Requester: flow.Endpoint{Addr: [4]byte{100, 64, 0, 7}, Port: 40001},
	Service:   flow.Endpoint{Addr: [4]byte{198, 18, 0, 1}, Port: 443},
}

func TestFramesAreReadAsWritten(t *testing.T) {
	carrying := flow.Frame{
		Hops: 3, Service: 77, Config: 1 << 40, Origin: flow.Endpoint{Addr: [4]byte{10, 0, 0, 1}, Port: 7720},
		Avoid: [5][4]byte{{10, 0, 0, 2}, {10, 0, 0, 3}, {10, 0, 0, 4}, {10, 0, 0, 5}, {10, 0, 0, 6}}, Asker: [4]byte{10, 0, 0, 7},
	}
	telling := flow.Frame{Open: true, Key: exampleKey, Owner: [4]byte{10, 0, 0, 5}, Flows: 9, Busy: 4, Service: 77, Started: 123456}
	for kind, frame := range map[flow.Kind]flow.Frame{
		flow.Deliver: carrying, flow.Find: carrying, flow.Probe: carrying,
		flow.Owned: telling, flow.Closed: telling, flow.Load: telling, flow.Absent: telling, flow.Hello: telling,
	} {
		frame.Kind = kind
		var read flow.Frame
		rest, ok := read.Parse(append(frame.Append(nil), "packet"...))
		must.True(t, ok)
		must.Eq(t, frame.Kind, read.Kind)
		must.Eq(t, "packet", string(rest))
		must.Eq(t, frame, read)
	}
}

func TestWhatIsNoFrameIsNotRead(t *testing.T) {
	var f flow.Frame
	good := (&flow.Frame{Kind: flow.Load}).Append(nil)
	unknown := append([]byte(nil), good...)
	unknown[1] = 200
	other := append([]byte(nil), good...)
	other[0] = 16
	for _, data := range [][]byte{nil, good[:flow.FrameSize-1], unknown, other} {
		_, ok := f.Parse(data)
		must.False(t, ok)
	}
}

func TestFrameAvoidsTheLatestAgents(t *testing.T) {
	var f flow.Frame
	for n := byte(1); n <= 6; n++ {
		f.AddAvoid([4]byte{10, 0, 0, n})
		f.AddAvoid([4]byte{10, 0, 0, n})
	}
	must.False(t, f.Avoids([4]byte{10, 0, 0, 1}))
	for n := byte(2); n <= 6; n++ {
		must.True(t, f.Avoids([4]byte{10, 0, 0, n}))
	}
}

func FuzzFrame(f *testing.F) {
	f.Add((&flow.Frame{Kind: flow.Deliver, Hops: 1}).Append(nil))
	f.Add((&flow.Frame{Kind: flow.Owned, Key: exampleKey}).Append(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		var read flow.Frame
		rest, ok := read.Parse(data)
		if !ok {
			return
		}
		var again flow.Frame
		if _, ok := again.Parse(append(read.Append(nil), rest...)); !ok || again.Kind != read.Kind || again.Key != read.Key {
			t.Fatalf("%+v is read as %+v", read, again)
		}
	})
}
