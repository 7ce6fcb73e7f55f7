// Command cmd runs the demo. It exits with 1 if a promise was not held or the
// run failed.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/turmericrock/turmericrock/internal/demo"
)

func main() {
	os.Exit(run())
}

func run() int {
	binary := flag.String("binary", "bin/turmericrock", "`path` of the turmericrock binary")
	logs := flag.String("logs", filepath.Join(os.TempDir(), "turmericrock-demo"), "`folder` in which each run creates a folder for its logs")
	level := flag.String("level", "info", "log `level` of the processes")
	flag.Parse()
	folder, err := makeFolder(*logs)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	fmt.Printf("logs: %s\n", folder)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	held, err := demo.Run(ctx, demo.Config{
		Binary:   *binary,
		Folder:   folder,
		LogLevel: *level,
		Out:      os.Stdout,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return 1
	}
	if !held {
		return 1
	}
	return 0
}

// makeFolder creates the log directory of this run and returns its absolute
// path.
func makeFolder(logs string) (string, error) {
	folder, err := filepath.Abs(filepath.Join(logs, time.Now().UTC().Format("20060102T150405.000")))
	if err != nil {
		return "", err
	}
	return folder, os.MkdirAll(folder, 0o755)
}
