package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/internal/declare"
	"github.com/turmericrock/turmericrock/internal/settings"
)

const checkHelp = `Checks settings files and folders of declarations, and starts nothing. A file with
a section [entry] is checked as settings of an entry, and a file with a section
[agent] as settings of an agent. A folder is read with its subfolders: its
*.service.ini and zones.ini files are checked together, and all other *.ini files
as settings. Exit code 0: all files are valid. 2: the first line on standard error
names file, section, key, value and what is allowed.

Examples:
  turmericrock check /etc/turmericrock/entry.ini
  turmericrock check -declarations services/ entry.ini agent.ini
  turmericrock check examples/`

type checkCommand struct {
	declarations string
	out          io.Writer
}

func newCheckCommand(out, err io.Writer) *command {
	c := &checkCommand{out: out}
	return &command{
		name:     "check",
		synopsis: "check settings and declarations",
		usage:    "[-declarations FOLDER] FILE-OR-FOLDER...",
		help:     checkHelp,
		err:      err,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&c.declarations, "declarations", "", "`folder` with the declarations that the settings must match")
		},
		run: c.run,
	}
}

func (c *checkCommand) run(_ context.Context, args []string) error {
	if len(args) == 0 && c.declarations == "" {
		return &UsageError{Reason: "name a file or a folder to check"}
	}
	var declared *declare.Declarations
	if c.declarations != "" {
		var err error
		if declared, err = c.checkDeclarations(c.declarations); err != nil {
			return err
		}
	}
	for _, path := range args {
		if err := c.check(path, declared); err != nil {
			return err
		}
	}
	return nil
}

func (c *checkCommand) check(path string, declared *declare.Declarations) error {
	info, err := os.Stat(path)
	if err != nil {
		return &UsageError{Reason: err.Error()}
	}
	if !info.IsDir() {
		return c.checkSettings(path, declared)
	}
	files, found, err := listFolder(path)
	if err != nil {
		return err
	}
	if found || len(files) == 0 {
		if declared, err = c.checkDeclarations(path); err != nil {
			return err
		}
	}
	for _, file := range files {
		if err := c.checkSettings(file, declared); err != nil {
			return err
		}
	}
	return nil
}

func (c *checkCommand) checkDeclarations(folder string) (*declare.Declarations, error) {
	declared, err := declare.Load(folder)
	if err != nil {
		return nil, err
	}
	_, err = fmt.Fprintf(c.out, "%s: valid: %d services, %d zones\n", folder, len(declared.Services), len(declared.Zones))
	return declared, errors.WithStack(err)
}

func (c *checkCommand) checkSettings(path string, declared *declare.Declarations) error {
	if declare.IsDeclaration(path) {
		return &UsageError{Reason: path + " holds declarations; name its folder, since they are checked together"}
	}
	role, err := settings.Check(path, declared)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "%s: valid: settings of an %s\n", path, role)
	return errors.WithStack(err)
}

// listFolder returns the settings files in the folder and its subfolders, and
// whether there are any declarations.
func listFolder(folder string) (files []string, hasDeclarations bool, err error) {
	err = filepath.WalkDir(folder, func(path string, entry os.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir():
		case declare.IsDeclaration(path):
			hasDeclarations = true
		case strings.HasSuffix(path, ".ini"):
			files = append(files, path)
		}
		return nil
	})
	return files, hasDeclarations, errors.WithStack(err)
}
