package bench

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"

	"github.com/turmericrock/turmericrock/connid"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/standin/world"
	"github.com/turmericrock/turmericrock/keyring"
)

const (
	forwardRounds = 7
	forwardSpan   = 2 * time.Second
	settleSpan    = 500 * time.Millisecond
	// pourRate is below what either forwards at most, in packets a second.
	pourRate = 100_000
)

var (
	benchZone    = fleet.Zone{Name: "zone-1", Region: "region-1", Number: 1}
	benchService = fleet.Service{
		ID:          fleet.ServiceID{Customer: "teifi", Name: "proofs"},
		Slots:       100,
		Connections: 20_000,
		Zones:       []string{benchZone.Name},
	}
)

// measureForward measures packets forwarded for a second of processor time,
// by an entry and by a bare relay in turn, and the entry's memory before few
// and many flows.
func measureForward(binary string, show func(Figure)) error {
	rig, err := newForwardRig(binary)
	if err != nil {
		return err
	}
	defer rig.close()
	var relays, entries, ratios []float64
	for range forwardRounds {
		relay, err := rig.rate(rig.relayAt, rig.relayUsage, rig.few)
		if err != nil {
			return err
		}
		entry, err := rig.rate(rig.entryAt, rig.entry.Usage, rig.few)
		if err != nil {
			return err
		}
		relays, entries = append(relays, relay), append(entries, entry)
		ratios = append(ratios, entry/relay)
	}
	show(Figure{Name: "forward_relay", Value: median(relays), Unit: "packets/core-s"})
	show(Figure{Name: "forward_entry", Value: median(entries), Unit: "packets/core-s"})
	show(Figure{Name: "forward_ratio", Value: median(ratios), Unit: "ratio"})
	show(Figure{Name: "forward_ratio_least", Value: slices.Min(ratios), Unit: "ratio"})
	show(Figure{Name: "forward_lost_most", Value: rig.lost, Unit: "ratio"})
	return rig.measureMemory(show)
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// measureMemory compares the entry's resident memory before few and many
// flows.
func (r *forwardRig) measureMemory(show func(Figure)) error {
	many, err := r.flows(manyFlows)
	if err != nil {
		return err
	}
	for _, load := range []struct {
		flows   int
		packets [][]byte
	}{{fewFlows, r.few}, {manyFlows, many}, {fewFlows, r.few}, {manyFlows, many}} {
		if _, err := r.rate(r.entryAt, r.entry.Usage, load.packets); err != nil {
			return err
		}
		usage, err := r.entry.Usage()
		if err != nil {
			return err
		}
		show(Figure{
			Name:  fmt.Sprintf("entry_memory_before_%d_flows", load.flows),
			Value: float64(usage.ResidentBytes) / (1 << 20),
			Unit:  "MiB",
		})
	}
	return nil
}

const (
	fewFlows  = 1_000
	manyFlows = 100_000
	// headSize is the part of a packet in which flows differ, in bytes.
	headSize = 1 + connid.Size
)

// forwardRig is an entry and a bare relay as processes, a sender and a sink.
type forwardRig struct {
	world   *world.World
	folder  string
	entry   *world.Node
	entryAt netip.AddrPort
	relay   *exec.Cmd
	relayAt netip.AddrPort
	codec   *connid.Codec
	sink    *net.UDPConn
	arrived atomic.Uint64
	few     [][]byte
	// lost is the greatest share of packets that did not arrive in a span.
	lost float64
}

func newForwardRig(binary string) (*forwardRig, error) {
	folder, err := os.MkdirTemp("", "bench")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	r := &forwardRig{folder: folder}
	if err := r.start(binary); err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

func (r *forwardRig) start(binary string) error {
	var err error
	r.world, err = world.New(world.Config{
		Binary:   binary,
		Folder:   r.folder,
		Zones:    []fleet.Zone{benchZone},
		Services: []fleet.Service{benchService},
	})
	if err != nil {
		return err
	}
	if r.entry, err = r.world.StartEntry("entry-1", benchZone.Name); err != nil {
		return err
	}
	r.entryAt = r.entry.ListenAddrs()[0]
	r.sink, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return errors.WithStack(err)
	}
	_ = r.sink.SetReadBuffer(socketBuffer)
	go r.count()
	if err := r.startRelay(); err != nil {
		return err
	}
	keys, err := keyring.LoadFile(filepath.Join(r.folder, "keys.ini"))
	if err != nil {
		return err
	}
	if r.codec, err = connid.NewCodec(&keys); err != nil {
		return err
	}
	r.few, err = r.flows(fewFlows)
	return err
}

// startRelay runs this program again as a relay.
func (r *forwardRig) startRelay() error {
	free, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return errors.WithStack(err)
	}
	r.relayAt = free.LocalAddr().(*net.UDPAddr).AddrPort()
	_ = free.Close()
	self, err := os.Executable()
	if err != nil {
		return errors.WithStack(err)
	}
	r.relay = exec.Command(self, "-relay", r.relayAt.String(), "-to", r.sink.LocalAddr().String())
	r.relay.Stderr = os.Stderr
	return errors.WithStack(r.relay.Start())
}

func (r *forwardRig) close() {
	if r.relay != nil && r.relay.Process != nil {
		_ = r.relay.Process.Kill()
		_ = r.relay.Wait()
	}
	if r.world != nil {
		r.world.Close()
	}
	if r.sink != nil {
		_ = r.sink.Close()
	}
	_ = os.RemoveAll(r.folder)
}

func (r *forwardRig) relayUsage() (world.Usage, error) {
	return world.ProcessUsage(r.relay.Process.Pid)
}

// flows returns the heads of packets of that many flows, whose owner is the
// sink.
func (r *forwardRig) flows(count int) ([][]byte, error) {
	owner := connid.Owner{
		Addr:        r.sink.LocalAddr().(*net.UDPAddr).AddrPort(),
		Incarnation: 1,
		Zone:        benchZone.Number,
		Service:     benchService.ID.Tag(),
	}
	heads := make([][]byte, count)
	for i := range heads {
		heads[i] = make([]byte, headSize)
		heads[i][0] = 0x40
		if err := r.codec.Encode(heads[i][1:], owner, uint32(i)); err != nil {
			return nil, err
		}
	}
	return heads, nil
}

// count counts what reaches the sink.
func (r *forwardRig) count() {
	conn := ipv4.NewPacketConn(r.sink)
	batch := messages(nil)
	for {
		n, err := conn.ReadBatch(batch, 0)
		if err != nil {
			return
		}
		r.arrived.Add(uint64(n))
	}
}

// rate sends packets at pourRate and returns how many the process forwarded
// for a second of its processor time.
func (r *forwardRig) rate(to netip.AddrPort, usage func() (world.Usage, error), heads [][]byte) (float64, error) {
	stop := make(chan struct{})
	ended := make(chan error, 1)
	go func() { ended <- pour(to, heads, stop) }()
	time.Sleep(settleSpan)
	before, err := usage()
	if err != nil {
		return 0, err
	}
	arrived := r.arrived.Load()
	time.Sleep(forwardSpan)
	after, err := usage()
	if err != nil {
		return 0, err
	}
	arrived = r.arrived.Load() - arrived
	r.lost = max(r.lost, 1-float64(arrived)/(pourRate*forwardSpan.Seconds()))
	close(stop)
	if err := <-ended; err != nil {
		return 0, err
	}
	return float64(arrived) / (after.CPUTime - before.CPUTime).Seconds(), nil
}

// pour sends packets with the heads in turn, pourRate a second, until stop is
// closed.
func pour(to netip.AddrPort, heads [][]byte, stop <-chan struct{}) error {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = conn.Close() }()
	sender := ipv4.NewPacketConn(conn)
	batch := messages(net.UDPAddrFromAddrPort(to))
	start := time.Now()
	for next := 0; ; {
		select {
		case <-stop:
			return nil
		default:
		}
		due := start.Add(time.Duration(next) * time.Second / pourRate)
		time.Sleep(time.Until(due))
		for i := range batch {
			batch[i].Buffers[0] = batch[i].Buffers[0][:packetSize]
			copy(batch[i].Buffers[0], heads[next%len(heads)])
			next++
		}
		if err := writeAll(sender, batch); err != nil {
			return err
		}
	}
}
