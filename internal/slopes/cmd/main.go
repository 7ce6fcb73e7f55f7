// Command slopes measures how costs grow and writes the capacity page.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/turmericrock/turmericrock/internal/slopes"
)

func main() {
	binary := flag.String("binary", "bin/turmericrock", "the shipped `binary`")
	out := flag.String("out", "", "measure and write the slopes `file`")
	from := flag.String("from", "docs/slopes.json", "the slopes `file` to work the page out from")
	page := flag.String("page", "", "write the capacity `page`")
	only := flag.String("only", "", "measure just the series whose names hold this `word`, and keep the others of -out")
	flag.Parse()
	if err := run(*binary, *out, *only, *from, *page); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(binary, out, only, from, page string) error {
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
	text, err := slopes.Page(file)
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
