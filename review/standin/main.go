//go:build review

// Command standin plays the cases of the review: it starts the programs of the project
// as separate processes on loopback addresses, between stand-ins of the platform's store
// and routers, of hosts and of requesters.
package main

import (
	"errors"
	"fmt"
	"os"
)

// cases holds the cases by name. Each returns what breaks the rule, or "" if it held.
var cases = map[string]func(w *world, trouble bool) string{
	"drain": playDrain,
	"moved": playMoved,
	"stop":  playStop,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE BINARY RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(run func(*world, bool) string, binary, record string) (code int) {
	var w *world
	defer func() {
		reason := recover()
		if w != nil {
			w.stop()
		}
		var cannot errCannotRun
		if err, ok := reason.(error); ok && errors.As(err, &cannot) {
			fmt.Println("cannot run:", cannot.error)
			code = 2
		} else if reason != nil {
			panic(reason)
		}
	}()
	w = newWorld(record, binary)
	broken := run(w, os.Getenv("TROUBLE") != "0")
	w.record("outcomes %v", w.outcomes)
	if broken == "" {
		w.record("HELD")
		fmt.Println("held", w.outcomes)
		return 0
	}
	w.record("BROKEN %s", broken)
	fmt.Println("broken:", broken, w.outcomes)
	return 1
}
