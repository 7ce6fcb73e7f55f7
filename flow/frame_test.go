package flow_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/flow"
)

var exampleKey = flow.Key{
	Requester:   flow.Endpoint{Addr: [4]byte{100, 64, 0, 7}, Port: 40001},
	Destination: flow.Endpoint{Addr: [4]byte{198, 18, 0, 1}, Port: 443},
}

func TestFrameRoundTrip(t *testing.T) {
	packetFrame := flow.Frame{
		Hops: 3, ServiceTag: 77, ConfigVersion: 1 << 40, Origin: flow.Endpoint{Addr: [4]byte{10, 0, 0, 1}, Port: 7720},
		Avoided: [5][4]byte{{10, 0, 0, 2}, {10, 0, 0, 3}, {10, 0, 0, 4}, {10, 0, 0, 5}, {10, 0, 0, 6}}, ReplyTo: [4]byte{10, 0, 0, 7},
	}
	agentFrame := flow.Frame{Established: true, Key: exampleKey, Sender: [4]byte{10, 0, 0, 5}, Flows: 9, Busy: 4, ServiceTag: 77, StartedAt: 123456, AdmitPriority: 3, ServiceMillis: 513}
	withTrial := agentFrame
	withTrial.TrialAgeMS, withTrial.TrialPackets = 1<<16-1, 3
	for kind, frame := range map[flow.Kind]flow.Frame{
		flow.MayHold: withTrial,
		flow.Deliver: packetFrame, flow.Lookup: packetFrame, flow.Probe: packetFrame,
		flow.Owned: agentFrame, flow.Closed: agentFrame, flow.Load: agentFrame, flow.NotHeld: withTrial, flow.AgentStarted: agentFrame, flow.Tried: agentFrame,
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

func TestParseRejectsInvalidFrames(t *testing.T) {
	var f flow.Frame
	valid := (&flow.Frame{Kind: flow.Load}).Append(nil)
	unknownKind := append([]byte(nil), valid...)
	unknownKind[1] = 200
	wrongMagic := append([]byte(nil), valid...)
	wrongMagic[0] = 16
	for _, data := range [][]byte{nil, valid[:flow.FrameSize-1], unknownKind, wrongMagic} {
		_, ok := f.Parse(data)
		must.False(t, ok)
	}
}

func TestAddAvoidKeepsLatestAgents(t *testing.T) {
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
			t.Fatalf("%+v decoded as %+v after re-encoding", read, again)
		}
	})
}

// Processes of different builds exchange frames. Guards against the admission level being
// read from or written to another byte than one that earlier builds leave zero.
func TestAdmitPriorityFollowsTheFieldsOfEarlierBuilds(t *testing.T) {
	frame := flow.Frame{Kind: flow.Load, Sender: [4]byte{10, 0, 0, 5}, ListeningMS: 1<<32 - 1, ServiceMillis: 1<<16 - 1}
	earlier := frame.Append(nil)
	frame.AdmitPriority = 3
	want := append([]byte(nil), earlier...)
	want[36] = 3
	must.Eq(t, want, frame.Append(nil))
	var read flow.Frame
	_, ok := read.Parse(earlier)
	must.True(t, ok)
	must.Zero(t, read.AdmitPriority)
}

// Processes of different builds exchange frames. Guards against the service time being
// read from or written to other bytes than those that earlier builds leave zero.
func TestServiceTimeFollowsTheFieldsOfEarlierBuilds(t *testing.T) {
	frame := flow.Frame{Kind: flow.Load, Sender: [4]byte{10, 0, 0, 5}, ListeningMS: 1<<32 - 1}
	earlier := frame.Append(nil)
	frame.ServiceMillis = 0x0201
	want := append([]byte(nil), earlier...)
	want[38], want[39] = 1, 2
	must.Eq(t, want, frame.Append(nil))
	var read flow.Frame
	_, ok := read.Parse(earlier)
	must.True(t, ok)
	must.Zero(t, read.ServiceMillis)
}

// Processes of different builds exchange frames. Guards against AcceptsBatches being read from
// or written to another bit than one that earlier builds leave zero.
func TestAcceptsBatchesFollowsTheFieldsOfEarlierBuilds(t *testing.T) {
	frame := flow.Frame{Kind: flow.Load, Sender: [4]byte{10, 0, 0, 5}, ListeningMS: 1<<32 - 1, AdmitPriority: 255, ServiceMillis: 1<<16 - 1}
	earlier := frame.Append(nil)
	frame.AcceptsBatches = true
	want := append([]byte(nil), earlier...)
	want[37] = 1
	must.Eq(t, want, frame.Append(nil))
	var read flow.Frame
	_, ok := read.Parse(earlier)
	must.True(t, ok)
	must.False(t, read.AcceptsBatches)
	_, ok = read.Parse(want)
	must.True(t, ok)
	must.Eq(t, frame, read)
}

// Guards against lists of flows being decoded as others, and against lists of the wrong size.
func TestKeysRoundTrip(t *testing.T) {
	var keys []flow.Key
	for n := range flow.MaxKeys {
		keys = append(keys, flow.Key{Requester: flow.Endpoint{Addr: [4]byte{100, 64, 0, byte(n)}, Port: uint16(n)}, Destination: exampleKey.Destination})
	}
	data := flow.AppendKeys(nil, keys)
	must.Len(t, 12*flow.MaxKeys, data)
	read, ok := flow.ParseKeys(data)
	must.True(t, ok)
	must.Eq(t, keys, read)
	for _, invalid := range [][]byte{nil, data[:11], data[:13], flow.AppendKeys(data, keys[:1])} {
		_, ok := flow.ParseKeys(invalid)
		must.False(t, ok)
	}
}

func FuzzKeys(f *testing.F) {
	f.Add(flow.AppendKeys(nil, []flow.Key{exampleKey, exampleKey}))
	f.Fuzz(func(t *testing.T, data []byte) {
		if keys, ok := flow.ParseKeys(data); ok {
			must.Eq(t, data, flow.AppendKeys(nil, keys))
		}
	})
}

// Guards against trials that a keeper reports being read as others, and against a list of odd
// length being taken for trials.
func TestTrialsRoundTrip(t *testing.T) {
	trials := []flow.Trial{
		{Agent: [4]byte{10, 0, 0, 1}, AgeMS: 1<<16 - 1, Packets: 2},
		{Agent: [4]byte{10, 0, 0, 2}, AgeMS: 7, Packets: 255},
	}
	data := flow.AppendTrials(nil, trials)
	read, ok := flow.ParseTrials(data)
	must.True(t, ok)
	must.Eq(t, trials, read)
	tooLong := flow.AppendTrials(nil, make([]flow.Trial, flow.MaxTrials+1))
	for _, invalid := range [][]byte{nil, data[:len(data)-1], tooLong} {
		_, ok := flow.ParseTrials(invalid)
		must.False(t, ok)
	}
}

func FuzzTrials(f *testing.F) {
	f.Add(flow.AppendTrials(nil, []flow.Trial{{Agent: [4]byte{10, 0, 0, 1}, AgeMS: 1, Packets: 2}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		trials, ok := flow.ParseTrials(data)
		if !ok {
			return
		}
		again, ok := flow.ParseTrials(flow.AppendTrials(nil, trials))
		must.True(t, ok)
		must.Eq(t, trials, again)
	})
}
