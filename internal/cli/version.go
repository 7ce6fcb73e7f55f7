package cli

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"github.com/pkg/errors"
)

func newVersionCommand(out, err io.Writer) *command {
	return &command{
		name:     "version",
		synopsis: "print the version of this binary",
		help:     "Prints version, commit and Go release in one line.\n\nExample:\n  turmericrock version",
		err:      err,
		run: func(_ context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			_, err := fmt.Fprintf(out, "turmericrock %s %s\n", Version(), runtime.Version())
			return errors.WithStack(err)
		},
	}
}

// Version returns the module version of the binary, followed by the commit if it is
// known, or "unknown" without build information.
func Version() string {
	info, found := debug.ReadBuildInfo()
	if !found {
		return "unknown"
	}
	version := info.Main.Version
	if version == "" {
		version = "devel"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return version + " " + setting.Value
		}
	}
	return version
}
