package cli

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/declare"
)

const bundleHelp = `Converts a folder of declarations to the values that a publishing step stores on the
platform: a file manifest and a file part/DIGEST for each part. Each file has the
name of its key. The same declarations and revision give the same bytes. Publish
the parts before the manifest, and keep old parts until all nodes have the new
revision. If the folder is not valid, or the revision is not above that of -previous,
the exit code is 2 and nothing is written.

Examples:
  turmericrock bundle -in services/ -out values/ -revision 42
  turmericrock bundle -in services/ -out values/ -revision 43 -previous published/manifest`

type bundleCommand struct {
	inFolder  string
	outFolder string
	revision  uint64
	previous  string
	out       io.Writer
}

func newBundleCommand(out, err io.Writer) *command {
	c := &bundleCommand{out: out}
	return &command{
		name:     "bundle",
		synopsis: "convert declarations to the platform's values",
		usage:    "-in FOLDER -out FOLDER -revision N [-previous FILE]",
		help:     bundleHelp,
		err:      err,
		flags:    c.setFlags,
		run:      c.run,
	}
}

func (c *bundleCommand) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.inFolder, "in", "", "`folder` with declarations")
	f.StringVar(&c.outFolder, "out", "", "`folder` to write the values to")
	f.Uint64Var(&c.revision, "revision", 0, "`number` of the new revision, higher than all earlier ones")
	f.StringVar(&c.previous, "previous", "", "manifest `file` that is currently published")
}

func (c *bundleCommand) run(_ context.Context, args []string) error {
	if err := c.checkFlags(args); err != nil {
		return err
	}
	declared, err := declare.Load(c.inFolder)
	if err != nil {
		return err
	}
	var previous fleet.Manifest
	if c.previous != "" {
		if previous, err = declare.CheckRevision(c.revision, c.previous); err != nil {
			return &UsageError{Reason: err.Error()}
		}
	}
	bundle, err := declare.NewBundle(declared, c.revision)
	if err != nil {
		return err
	}
	if err := bundle.Write(c.outFolder); err != nil {
		return err
	}
	return c.report(declared, bundle, previous)
}

func (c *bundleCommand) checkFlags(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	if err := requireFlag("in", c.inFolder); err != nil {
		return err
	}
	if err := requireFlag("out", c.outFolder); err != nil {
		return err
	}
	if c.revision == 0 {
		return &UsageError{Reason: "flag -revision is required; allowed is a number above 0"}
	}
	return nil
}

func (c *bundleCommand) report(declared *declare.Declarations, bundle *declare.Bundle, previous fleet.Manifest) error {
	changed := bundle.ChangedParts(previous)
	size := 0
	for _, ref := range changed {
		size += ref.Size
	}
	_, err := fmt.Fprintf(c.out,
		"revision=%d services=%d zones=%d manifest_bytes=%d parts=%d largest_part_bytes=%d changed_parts=%d changed_bytes=%d\n",
		c.revision, len(declared.Services), len(declared.Zones), len(bundle.EncodedManifest),
		len(bundle.Parts), bundle.LargestPart(), len(changed), size)
	return errors.WithStack(err)
}
