package cli

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/platform"
)

// Guards against an agent denying all flows of a running host because the host refuses
// TCP connections: the soak's hosts do not listen, and their flows were reset.
func TestHostWasDownOnlyIfItAcceptedLater(t *testing.T) {
	reserved, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	address := reserved.Addr().String()
	must.NoError(t, reserved.Close())
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &datagramNode{
		settings: &platform.Settings{HostAddr: netip.MustParseAddrPort(address)}, tracker: catalog.NewTracker(), log: logrus.NewEntry(log),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { n.watchUnlistedHost(ctx) })
	defer group.Wait()
	defer cancel()
	time.Sleep(3 * unlistedHostCheckInterval)
	must.False(t, n.hostWasDown.Load())
	listener, err := net.Listen("tcp4", address)
	must.NoError(t, err)
	defer func() { must.NoError(t, listener.Close()) }()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(n.hostWasDown.Load), wait.Timeout(5*time.Second), wait.Gap(10*time.Millisecond)))
}
