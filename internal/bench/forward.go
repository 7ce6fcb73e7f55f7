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
	forwardRounds   = 7
	measureDuration = 2 * time.Second
	settleDuration  = 500 * time.Millisecond
	// sendRate, in packets per second, is below the maximum forwarding rates of
	// both the entry and the relay.
	sendRate = 100_000
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

// measureForward measures the number of packets forwarded per second of
// processor time, alternately by an entry and by a plain UDP relay, and the
// memory of an entry that forwards the packets of few and of many flows.
func measureForward(binary string, show func(Figure)) error {
	rig, err := newForwardRig(binary)
	if err != nil {
		return err
	}
	defer rig.close()
	var relayRates, entryRates, ratios []float64
	for range forwardRounds {
		relay, err := rig.forwardingRate(rig.relayAddr, rig.relayUsage, rig.fewHeaders)
		if err != nil {
			return err
		}
		entry, err := rig.forwardingRate(rig.entryAddr, rig.entry.Usage, rig.fewHeaders)
		if err != nil {
			return err
		}
		relayRates, entryRates = append(relayRates, relay), append(entryRates, entry)
		ratios = append(ratios, entry/relay)
	}
	show(Figure{Name: "forward_relay", Value: median(relayRates), Unit: "packets/core-s"})
	show(Figure{Name: "forward_entry", Value: median(entryRates), Unit: "packets/core-s"})
	show(Figure{Name: "forward_ratio", Value: median(ratios), Unit: "ratio"})
	show(Figure{Name: "forward_ratio_least", Value: slices.Min(ratios), Unit: "ratio"})
	show(Figure{Name: "forward_lost_most", Value: rig.maxLoss, Unit: "ratio"})
	return rig.measureMemory(show)
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// measureMemory measures the entry's resident memory while it forwards the
// packets of few and of many flows.
func (r *forwardRig) measureMemory(show func(Figure)) error {
	manyHeaders, err := r.flowHeaders(manyFlows)
	if err != nil {
		return err
	}
	for _, load := range []struct {
		flows   int
		headers [][]byte
	}{{fewFlows, r.fewHeaders}, {manyFlows, manyHeaders}, {fewFlows, r.fewHeaders}, {manyFlows, manyHeaders}} {
		if _, err := r.forwardingRate(r.entryAddr, r.entry.Usage, load.headers); err != nil {
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
	// headerSize is the size in bytes of the start of a packet, which differs
	// between flows.
	headerSize = 1 + connid.Size
)

// forwardRig consists of an entry and a plain UDP relay, each in a process of its
// own, and a socket that receives the packets that they forward.
type forwardRig struct {
	world      *world.World
	folder     string
	entry      *world.Node
	entryAddr  netip.AddrPort
	relay      *exec.Cmd
	relayAddr  netip.AddrPort
	codec      *connid.Codec
	sink       *net.UDPConn
	received   atomic.Uint64
	fewHeaders [][]byte
	// maxLoss is the maximum over all rounds of the share of packets that did
	// not arrive at the sink.
	maxLoss float64
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
	r.entryAddr = r.entry.ListenAddrs()[0]
	r.sink, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return errors.WithStack(err)
	}
	_ = r.sink.SetReadBuffer(socketBuffer)
	go r.countReceived()
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
	r.fewHeaders, err = r.flowHeaders(fewFlows)
	return err
}

// startRelay starts this executable as a relay in a second process.
func (r *forwardRig) startRelay() error {
	free, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return errors.WithStack(err)
	}
	r.relayAddr = free.LocalAddr().(*net.UDPAddr).AddrPort()
	_ = free.Close()
	self, err := os.Executable()
	if err != nil {
		return errors.WithStack(err)
	}
	r.relay = exec.Command(self, "-relay", r.relayAddr.String(), "-to", r.sink.LocalAddr().String())
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

// flowHeaders returns one packet header for each of count flows. Their
// connection IDs name the sink as the owner.
func (r *forwardRig) flowHeaders(count int) ([][]byte, error) {
	owner := connid.Owner{
		Addr:        r.sink.LocalAddr().(*net.UDPAddr).AddrPort(),
		Incarnation: 1,
		Zone:        benchZone.Number,
		Service:     benchService.ID.Tag(),
	}
	headers := make([][]byte, count)
	for i := range headers {
		headers[i] = make([]byte, headerSize)
		headers[i][0] = 0x40
		if err := r.codec.Encode(headers[i][1:], owner, uint32(i)); err != nil {
			return nil, err
		}
	}
	return headers, nil
}

// countReceived counts the packets that arrive at the sink until it is closed.
func (r *forwardRig) countReceived() {
	conn := ipv4.NewPacketConn(r.sink)
	batch := newBatch(nil)
	for {
		n, err := conn.ReadBatch(batch, 0)
		if err != nil {
			return
		}
		r.received.Add(uint64(n))
	}
}

// forwardingRate sends packets to the given address at sendRate and returns the
// number of packets that the process forwarded per second of its processor time.
func (r *forwardRig) forwardingRate(to netip.AddrPort, usage func() (world.Usage, error), headers [][]byte) (float64, error) {
	stop := make(chan struct{})
	sendErr := make(chan error, 1)
	go func() { sendErr <- sendPackets(to, headers, stop) }()
	time.Sleep(settleDuration)
	before, err := usage()
	if err != nil {
		return 0, err
	}
	received := r.received.Load()
	time.Sleep(measureDuration)
	after, err := usage()
	if err != nil {
		return 0, err
	}
	received = r.received.Load() - received
	r.maxLoss = max(r.maxLoss, 1-float64(received)/(sendRate*measureDuration.Seconds()))
	close(stop)
	if err := <-sendErr; err != nil {
		return 0, err
	}
	return float64(received) / (after.CPUTime - before.CPUTime).Seconds(), nil
}

// sendPackets sends sendRate packets per second until stop is closed, using the
// headers in round-robin order.
func sendPackets(to netip.AddrPort, headers [][]byte, stop <-chan struct{}) error {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = conn.Close() }()
	sender := ipv4.NewPacketConn(conn)
	batch := newBatch(net.UDPAddrFromAddrPort(to))
	start := time.Now()
	for next := 0; ; {
		select {
		case <-stop:
			return nil
		default:
		}
		due := start.Add(time.Duration(next) * time.Second / sendRate)
		time.Sleep(time.Until(due))
		for i := range batch {
			batch[i].Buffers[0] = batch[i].Buffers[0][:packetSize]
			copy(batch[i].Buffers[0], headers[next%len(headers)])
			next++
		}
		if err := writeBatch(sender, batch); err != nil {
			return err
		}
	}
}
