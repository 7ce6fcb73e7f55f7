// Package signals catches the signals of server processes as early as a Go program can.
//
// Until a program has run an instruction of its own, SIGHUP and SIGTERM end it. Go
// initialises a package as soon as all that it imports is initialised, so this package
// imports only packages that os/signal needs as well: it is then initialised before the
// packages that take time.
package signals

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// roles are the commands of server processes, the first argument of the program. Other
// commands are to be ended by signals.
var roles = []string{"agent", "datagram-agent", "datagram-entry", "entry"}

var (
	// hangups is registered for SIGHUP to the end of the process and never read. Without it a
	// handler that is removed during the stop would restore the default action, which ends
	// the process.
	hangups = make(chan os.Signal, 1)
	// terminations holds a signal to stop that arrived before Context was called. It stays
	// registered, so that a second one does not end a process that is stopping.
	terminations = make(chan os.Signal, 1)
)

func init() {
	if len(os.Args) > 1 && slices.Contains(roles, os.Args[1]) {
		Catch()
	}
}

// Roles returns the commands whose signals are caught from the start on.
func Roles() []string { return slices.Clone(roles) }

// Catch makes the process survive SIGHUP, SIGINT and SIGTERM from now on. It may be called
// repeatedly.
func Catch() {
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Notify(terminations, os.Interrupt, syscall.SIGTERM)
}

// Context returns a copy of ctx that is cancelled by SIGINT or SIGTERM, also by one that
// Catch has caught before.
func Context(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	select {
	case <-terminations:
		stop()
	default:
	}
	return ctx, stop
}
