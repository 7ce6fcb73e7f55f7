// Package declare reads the declarations of operators from a folder: a
// *.service.ini beside the code of each service and one zones.ini.
package declare

import (
	"cmp"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/inifile"
)

// Names of declaration files.
const (
	ServiceSuffix = ".service.ini"
	ZonesFile     = "zones.ini"
)

// Declarations holds all declarations of a folder, validated together.
type Declarations struct {
	// Zones are in order of their numbers.
	Zones []fleet.Zone
	// Services are in order of their IDs.
	Services []fleet.Service

	locations map[string]location
}

// location is the file and section of a declaration.
type location struct {
	file    *inifile.File
	section string
}

// Load reads all declarations in the folder and the folders below it. The
// error is an *inifile.Error or a *FolderError.
func Load(folder string) (*Declarations, error) {
	paths, err := findFiles(folder)
	if err != nil {
		return nil, err
	}
	d := &Declarations{locations: make(map[string]location)}
	for _, path := range paths {
		if err := d.readFile(path); err != nil {
			return nil, err
		}
	}
	return d, d.validate(folder)
}

// Zone returns the zone with the name and whether it is declared.
func (d *Declarations) Zone(name string) (fleet.Zone, bool) {
	for _, zone := range d.Zones {
		if zone.Name == name {
			return zone, true
		}
	}
	return fleet.Zone{}, false
}

// Service returns the service with the ID and whether it is declared.
func (d *Declarations) Service(id fleet.ServiceID) (fleet.Service, bool) {
	for _, service := range d.Services {
		if service.ID == id {
			return service, true
		}
	}
	return fleet.Service{}, false
}

// IsDeclaration reports whether path has the name of a declaration file.
func IsDeclaration(path string) bool {
	return strings.HasSuffix(path, ServiceSuffix) || filepath.Base(path) == ZonesFile
}

// findFiles returns the paths of the declaration files in lexical order.
func findFiles(folder string) ([]string, error) {
	var paths []string
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if !entry.IsDir() && IsDeclaration(path) {
			paths = append(paths, path)
		}
		return nil
	})
	if err != nil {
		return nil, &FolderError{Folder: folder, Reason: "cannot be read", Err: err}
	}
	if len(paths) == 0 {
		return nil, &FolderError{Folder: folder, Reason: "has no *" + ServiceSuffix + " and no " + ZonesFile}
	}
	return paths, nil
}

func (d *Declarations) readFile(path string) error {
	file, err := inifile.Load(path)
	if err != nil {
		return err
	}
	if filepath.Base(path) == ZonesFile {
		return d.readZones(file)
	}
	return d.readServices(file)
}

func (d *Declarations) sort() {
	slices.SortFunc(d.Zones, func(a, b fleet.Zone) int {
		return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Name, b.Name))
	})
	slices.SortFunc(d.Services, func(a, b fleet.Service) int {
		return cmp.Or(cmp.Compare(a.ID.Customer, b.ID.Customer), cmp.Compare(a.ID.Name, b.ID.Name))
	})
}
