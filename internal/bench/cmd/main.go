// Command bench prints the project's figures, one line each: name value unit.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/turmericrock/turmericrock/internal/bench"
)

func main() {
	binary := flag.String("binary", "bin/turmericrock", "the shipped `binary`")
	only := flag.String("only", "", "run just the measure of this `name`")
	flag.Parse()
	for _, measure := range bench.Measures(*binary) {
		if *only != "" && *only != measure.Name {
			continue
		}
		if err := measure.Run(show); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", measure.Name, err)
			os.Exit(1)
		}
	}
}

func show(figure bench.Figure) {
	fmt.Println(figure)
}
