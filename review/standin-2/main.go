package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Results of a script.
const (
	resultHeld   = 0
	resultBroken = 1
	resultNotRun = 2
)

// play plays a case. It reports whether the rule was broken.
type play func(l *lab, trouble bool) (broken bool, err error)

var cases = map[string]play{
	"two-versions": playTwoVersions,
	"release":      playRelease,
	"new-hosts":    playNewHosts,
	"moved-flows":  playMovedFlows,
	"retired":      playRetired,
}

func main() {
	root := flag.String("root", ".", "root of the repository")
	recordPath := flag.String("record", "record.txt", "`file` for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*root, *recordPath, flag.Arg(0)))
}

func run(root, recordPath, name string) int {
	chosen := cases[name]
	if chosen == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return resultNotRun
	}
	l, err := newLab(root, recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return resultNotRun
	}
	defer l.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		l.stop()
		os.Exit(resultNotRun)
	}()
	broken, err := chosen(l, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		l.record.say("not run: %v", err)
		return resultNotRun
	case broken:
		l.record.say("the rule was broken")
		return resultBroken
	default:
		l.record.say("the rule held")
		return resultHeld
	}
}
