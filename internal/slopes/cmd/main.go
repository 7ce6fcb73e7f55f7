// Command slopes measures how the costs of the system grow with its size and
// writes the capacity page.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/turmericrock/turmericrock/internal/slopes"
)

func main() {
	binary := flag.String("binary", "bin/turmericrock", "path of the turmericrock `binary`")
	out := flag.String("out", "", "measure and write the results to this `file`")
	from := flag.String("from", "docs/slopes.json", "read the results for -page from this `file`")
	sweep := flag.String("sweep", "docs/sweep.json", "read the figures of opaque flows for -page from this `file`")
	page := flag.String("page", "", "write the capacity page to this `file`")
	only := flag.String("only", "", "measure only the series whose names contain this `substring` and keep the other series of the file named by -out")
	flag.Parse()
	if err := run(*binary, *out, *only, *from, *sweep, *page); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(binary, out, only, from, sweep, page string) error {
	if out != "" {
		if err := measure(binary, out, only); err != nil {
			return err
		}
	}
	if page == "" {
		return nil
	}
	file, err := slopes.Load(from)
	if err != nil {
		return err
	}
	measured, err := slopes.LoadSweep(sweep)
	if err != nil {
		return err
	}
	text, err := slopes.Page(file, measured)
	if err != nil {
		return err
	}
	return os.WriteFile(page, []byte(text), 0o644)
}

func measure(binary, out, only string) error {
	measured, err := slopes.Collect(slopes.FilterByName(slopes.Measurements(binary), only), printSeries)
	if err != nil {
		return err
	}
	if only == "" {
		return measured.Save(out)
	}
	file, err := slopes.Load(out)
	if err != nil {
		return err
	}
	file.Replace(measured)
	return file.Save(out)
}

func printSeries(series slopes.Series) {
	fmt.Printf("%s %.6g %s/%s\n", series.Name, series.Fit.Slope, series.Unit, series.Per)
	fmt.Printf("%s_intercept %.6g %s\n", series.Name, series.Fit.Intercept, series.Unit)
	fmt.Printf("%s_error %.3g ratio\n", series.Name, series.Fit.Error)
}
