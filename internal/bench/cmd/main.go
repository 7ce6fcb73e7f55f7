// Command bench runs the benchmarks and prints one figure per line, as
// "name value unit".
package main

import (
	"flag"
	"fmt"
	"net/netip"
	"os"

	"github.com/turmericrock/turmericrock/internal/bench"
)

func main() {
	binary := flag.String("binary", "bin/turmericrock", "path of the turmericrock `binary`")
	only := flag.String("only", "", "run only the measurement with this `name`")
	relay := flag.String("relay", "", "run as a UDP relay listening on this `address` instead of measuring")
	relayTarget := flag.String("to", "", "destination `address` of the datagrams relayed by -relay")
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

// exitOnError prints err, prefixed with name, and exits with status 1 if err is
// not nil.
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
