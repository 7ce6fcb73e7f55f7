// Command cmd runs the fault-injection soak test of opaque flows with one or
// more seeds.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/turmericrock/turmericrock/internal/standin/soak"
)

func main() {
	binary := flag.String("binary", "bin/turmericrock", "the `program` under test")
	firstSeed := flag.Uint64("seed", uint64(time.Now().Unix()), "first `seed`")
	count := flag.Int("count", 1, "number of seeds to run, counting up from -seed")
	faults := flag.Duration("faults", 20*time.Second, "how long faults are injected")
	network := flag.Uint("network", 90, "second octet of the loopback addresses")
	entries := flag.Int("entries", 3, "number of entries")
	hosts := flag.Int("hosts", 8, "number of hosts, each with an agent")
	requesters := flag.Int("requesters", 40, "number of requesters")
	restores := flag.Int("restores", 2, "number of times that the store returns from a copy after the faults")
	loads := flag.Bool("loads", false, "inject loads above what the hosts serve, and faults of agents only")
	verbose := flag.Bool("v", false, "print each fault")
	flag.Parse()
	failedSeeds := 0
	for n := range *count {
		seed := *firstSeed + uint64(n)
		dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		report, err := soak.Run(context.Background(), soak.Config{
			Binary: *binary, Dir: dir, Seed: seed, FaultDuration: *faults, NetworkOctet: byte(*network),
			Entries: *entries, Hosts: *hosts, Requesters: *requesters, Restores: *restores, Loads: *loads,
			Log: func(format string, args ...any) {
				if *verbose {
					fmt.Printf(format+"\n", args...)
				}
			},
		})
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Printf("seed=%d served=%d failed=%d resets=%d refusals=%d probes=%d violations=%d\n", seed, report.Served, report.Failed, report.Resets, report.Refusals, report.Probes, len(report.Violations))
		for _, v := range report.Violations {
			fmt.Println("  " + v.String())
		}
		if len(report.Violations) > 0 {
			failedSeeds++
			fmt.Println("  logs: " + dir)
		} else if err := os.RemoveAll(dir); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
	fmt.Printf("seeds=%d broken=%d\n", *count, failedSeeds)
	if failedSeeds > 0 {
		os.Exit(1)
	}
}
