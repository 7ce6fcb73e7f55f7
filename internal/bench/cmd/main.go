// Command bench prints the project's figures, one line each: name value unit.
package main

import (
	"flag"
	"fmt"
	"net/netip"
	"os"

	"github.com/turmericrock/turmericrock/internal/bench"
)

func main() {
	binary := flag.String("binary", "bin/turmericrock", "the shipped `binary`")
	only := flag.String("only", "", "run just the measure of this `name`")
	relay := flag.String("relay", "", "relay datagrams from this `address` and measure nothing")
	to := flag.String("to", "", "the `address` to which -relay sends")
	flag.Parse()
	if *relay != "" {
		fail("relay", runRelay(*relay, *to))
	}
	for _, measure := range bench.Measures(*binary) {
		if *only != "" && *only != measure.Name {
			continue
		}
		fail(measure.Name, measure.Run(show))
	}
}

func runRelay(from, to string) error {
	source, err := netip.ParseAddrPort(from)
	if err != nil {
		return err
	}
	target, err := netip.ParseAddrPort(to)
	if err != nil {
		return err
	}
	return bench.Relay(source, target)
}

// fail ends the program when err is not nil.
func fail(what string, err error) {
	if err == nil {
		return
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", what, err)
	os.Exit(1)
}

func show(figure bench.Figure) {
	fmt.Println(figure)
}
