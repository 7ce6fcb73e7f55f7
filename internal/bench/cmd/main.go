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
	relayTarget := flag.String("to", "", "the `address` to which -relay sends")
	flag.Parse()
	if *relay != "" {
		exitOnError("relay", runRelay(*relay, *relayTarget))
	}
	for _, measurement := range bench.Measurements(*binary) {
		if *only != "" && *only != measurement.Name {
			continue
		}
		exitOnError(measurement.Name, measurement.Run(printFigure))
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

// exitOnError ends the program when err is not nil.
func exitOnError(name string, err error) {
	if err == nil {
		return
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	os.Exit(1)
}

func printFigure(figure bench.Figure) {
	fmt.Println(figure)
}
