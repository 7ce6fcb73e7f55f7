package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// catch catches signals for the duration of a test.
func catch(t *testing.T) {
	Catch()
	t.Cleanup(func() {
		signal.Stop(hangups)
		signal.Stop(terminations)
	})
}

// Guards against a process that is ended by a SIGHUP while it stops: the removal of the last
// handler of a signal restores the default action. A failure ends the test program.
func TestHangupIsSurvivedAfterItsHandlerIsRemoved(t *testing.T) {
	catch(t)
	handler := make(chan os.Signal, 1)
	signal.Notify(handler, syscall.SIGHUP)
	signal.Stop(handler)
	must.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	must.Eq[os.Signal](t, syscall.SIGHUP, <-hangups)
}

// Guards against a process that is ended by a second SIGTERM while it stops. A failure ends
// the test program.
func TestSecondTerminationIsSurvived(t *testing.T) {
	catch(t)
	ctx, stop := Context(context.Background())
	must.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	<-ctx.Done()
	must.Eq[os.Signal](t, syscall.SIGTERM, <-terminations)
	stop()
	must.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	must.Eq[os.Signal](t, syscall.SIGTERM, <-terminations)
}

// Guards against a process that runs on although it was told to stop while it started.
func TestContextIsDoneAfterAnEarlierTermination(t *testing.T) {
	catch(t)
	must.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	terminations <- <-terminations // Waits until the signal has arrived.
	ctx, stop := Context(context.Background())
	defer stop()
	must.ErrorIs(t, ctx.Err(), context.Canceled)
}
