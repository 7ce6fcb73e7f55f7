// Command standin-3 plays the scripted cases of the third review: it starts the programs of the
// deploy file beside sound stand-ins of the platform, its hosts and its requesters on loopback
// addresses, and judges one rule by what these see.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCantRun = 2
)

// cases holds the cases by name. A case returns what breaks the rule, one line each.
var cases = map[string]func(f *fleet, trouble bool) ([]string, error){
	"settling-seeds": settlingSeeds,
	"lost-history":   lostHistory,
	"odd-entry":      oddEntry,
	"new-host":       newHost,
	"moved-route":    movedRoute,
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "`name` of the case")
	path := flag.String("record", "record.txt", "`file` for what was sent, answered and run")
	keep := flag.Bool("keep", false, "keep the folder with the processes' logs")
	flag.Parse()
	run, ok := cases[*name]
	if !ok {
		fmt.Println("there is no such case")
		return exitCantRun
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Println(err)
		return exitCantRun
	}
	f, err := newFleet(r)
	if err != nil {
		fmt.Println(err)
		return exitCantRun
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	done := make(chan struct{})
	var broken []string
	go func() {
		defer close(done)
		broken, err = run(f, os.Getenv("TROUBLE") != "0")
	}()
	select {
	case <-done:
	case <-interrupted:
		f.stop(*keep)
		return exitCantRun
	}
	f.stop(*keep)
	if *keep {
		fmt.Println(f.dir)
	}
	for _, line := range broken[:min(5, len(broken))] {
		r.say("%s", line)
	}
	code := exitHeld
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		code = exitCantRun
	case len(broken) > 0:
		r.say("broken %d times", len(broken))
		code = exitBroken
	default:
		r.say("held")
	}
	if err := r.close(); err != nil {
		fmt.Println(err)
		return exitCantRun
	}
	return code
}
