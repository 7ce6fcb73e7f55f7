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

// replicaDriver drives one replica. It answers the reads from values, and the
// test itself acts as the peer.
type replicaDriver struct {
	holder  revision.Holder
	replica *dissemination.Replica
	now     time.Time
	values  map[string][]byte
	link    dissemination.LinkID
	peer    fleet.VM
	probe   uint64
	// manifestReadAt is when the manifest was first read.
	manifestReadAt time.Time
}

func newReplicaDriver(t *testing.T) *replicaDriver {
	t.Helper()
	self := fleet.VM{ID: "entry-1", Zone: "maes-1", Role: fleet.RoleEntry, Addr: netip.MustParseAddrPort("10.0.0.1:7300")}
	other := fleet.VM{ID: "entry-2", Zone: "maes-1", Role: fleet.RoleEntry, Addr: netip.MustParseAddrPort("10.0.0.2:7300")}
	list, err := fleet.Encode(fleet.VMList{Zone: "maes-1", VMs: []fleet.VM{self, other}})
	must.NoError(t, err)
	root, err := fleet.Encode(fleet.Manifest{Revision: 1, Zones: []fleet.Zone{{Name: "maes-1", Region: "wales", Number: 1}}})
	must.NoError(t, err)
	d := &replicaDriver{
		now:    time.Unix(1000, 0),
		values: map[string][]byte{platform.KeyVMs("maes-1"): list, platform.KeyManifest: root},
	}
	config := dissemination.DefaultConfig()
	config.Self = self
	d.replica = dissemination.New(config, &d.holder, dissemination.DefaultBuilder{}, rand.New(rand.NewPCG(1, 2)))
	return d
}

// step advances the time by 50 ms and carries out the actions of the replica.
func (d *replicaDriver) step() {
	d.now = d.now.Add(50 * time.Millisecond)
	d.replica.Step(d.now)
	for _, action := range d.replica.TakeActions() {
		switch action := action.(type) {
		case dissemination.Read:
			if action.Key == platform.KeyManifest && d.manifestReadAt.IsZero() {
				d.manifestReadAt = d.now
			}
			value := platform.Value{Key: action.Key, Version: 1, Data: d.values[action.Key]}
			d.replica.Handle(d.now, dissemination.ReadDone{Key: action.Key, StartedAt: d.now, Value: value})
		case dissemination.Dial:
			d.link, d.peer = action.Link, action.Peer
		case dissemination.Send:
			if action.Message.State != nil {
				d.probe = action.Message.State.Probe
			}
		}
	}
}

// answer answers the latest poll of the replica.
func (d *replicaDriver) answer(synced bool) {
	state := &dissemination.State{Echo: d.probe, Revision: 1, Digest: make([]byte, 32), Synced: synced}
	d.replica.Handle(d.now, dissemination.Received{Link: d.link, Message: dissemination.Message{State: state}})
}

func TestUnsyncedPeerDoesNotConfirmConfiguration(t *testing.T) {
	d := newReplicaDriver(t)
	for d.link == 0 {
		d.step()
	}
	hello := dissemination.Hello{Protocol: dissemination.Protocol, ID: d.peer.ID, Zone: d.peer.Zone}
	d.replica.Handle(d.now, dissemination.LinkOpened{Link: d.link, Hello: hello})
	d.step()
	must.Positive(t, d.probe)
	d.answer(false)
	for d.holder.Config() == nil {
		d.step()
	}
	must.False(t, d.replica.MayAct(d.now))
	d.answer(true)
	must.True(t, d.replica.MayAct(d.now))
}
