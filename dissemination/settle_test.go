package dissemination_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/platform"
	"github.com/turmericrock/turmericrock/revision"
)

// hand drives one replica whose reads are answered from values and whose
// peer is the test.
type hand struct {
	holder  revision.Holder
	replica *dissemination.Replica
	now     time.Time
	values  map[string][]byte
	link    dissemination.LinkID
	peer    fleet.VM
	probe   uint64
	// told is when the manifest was first read.
	told time.Time
}

func newHand(t *testing.T) *hand {
	t.Helper()
	self := fleet.VM{ID: "entry-1", Zone: "maes-1", Role: fleet.RoleEntry, Addr: netip.MustParseAddrPort("10.0.0.1:7300")}
	other := fleet.VM{ID: "entry-2", Zone: "maes-1", Role: fleet.RoleEntry, Addr: netip.MustParseAddrPort("10.0.0.2:7300")}
	list, err := fleet.Encode(fleet.VMList{Zone: "maes-1", VMs: []fleet.VM{self, other}})
	must.NoError(t, err)
	root, err := fleet.Encode(fleet.Manifest{Revision: 1, Zones: []fleet.Zone{{Name: "maes-1", Region: "wales", Number: 1}}})
	must.NoError(t, err)
	h := &hand{
		now:    time.Unix(1000, 0),
		values: map[string][]byte{platform.KeyVMs("maes-1"): list, platform.KeyManifest: root},
	}
	config := dissemination.DefaultConfig()
	config.Self = self
	h.replica = dissemination.New(config, &h.holder, dissemination.DefaultBuilder{}, rand.New(rand.NewPCG(1, 2)))
	return h
}

// step lets a moment pass and carries out what the replica decides.
func (h *hand) step() {
	h.now = h.now.Add(50 * time.Millisecond)
	h.replica.Step(h.now)
	for _, action := range h.replica.Take() {
		switch action := action.(type) {
		case dissemination.Read:
			if action.Key == platform.KeyManifest && h.told.IsZero() {
				h.told = h.now
			}
			value := platform.Value{Key: action.Key, Version: 1, Data: h.values[action.Key]}
			h.replica.Handle(h.now, dissemination.ReadDone{Key: action.Key, Started: h.now, Value: value})
		case dissemination.Dial:
			h.link, h.peer = action.Link, action.Peer
		case dissemination.Send:
			if action.Message.State != nil {
				h.probe = action.Message.State.Probe
			}
		}
	}
}

// answer answers the latest poll.
func (h *hand) answer(settled bool) {
	state := &dissemination.State{Echo: h.probe, Revision: 1, Digest: make([]byte, 32), Settled: settled}
	h.replica.Handle(h.now, dissemination.Received{Link: h.link, Message: dissemination.Message{State: state}})
}

func TestPeerThatHasJustStartedDoesNotVouch(t *testing.T) {
	h := newHand(t)
	for h.link == 0 {
		h.step()
	}
	hello := dissemination.Hello{Protocol: dissemination.Protocol, ID: h.peer.ID, Zone: h.peer.Zone}
	h.replica.Handle(h.now, dissemination.LinkOpened{Link: h.link, Hello: hello})
	h.step()
	must.Positive(t, h.probe)
	h.answer(false)
	for h.holder.Config() == nil {
		h.step()
	}
	must.False(t, h.replica.Current(h.now))
	h.answer(true)
	must.True(t, h.replica.Current(h.now))
}
