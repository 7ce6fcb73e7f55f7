package declare

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/inifile"
)

// Defaults for settings that a service does not declare.
const (
	defaultDrain  = 10 * time.Minute
	defaultWarmup = 30 * time.Second
)

// validate checks the declarations against each other by the rules that every
// node applies. The error names the file of an invalid declaration.
func (d *Declarations) validate(folder string) error {
	d.sort()
	if len(d.Zones) == 0 {
		return &FolderError{Folder: folder, Reason: "declares no availability zone; " + ZonesFile + " holds them"}
	}
	return d.addLocation(fleet.Validate(d.Zones, d.Services))
}

// addLocation converts an error of fleet.Validate to an *inifile.Error, which
// names the file, section and key.
func (d *Declarations) addLocation(err error) error {
	var serviceErr *fleet.ServiceError
	var zoneErr *fleet.ZoneError
	var conflict *fleet.ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &serviceErr):
		return d.invalidError(serviceKey(serviceErr.Service), serviceErr.Field, d.allowedValues(serviceErr))
	case errors.As(err, &zoneErr):
		return d.invalidError(zoneKey(zoneErr.Zone), "number", zoneErr.Reason)
	case errors.As(err, &conflict):
		other := d.describeLocation(serviceKey(conflict.First))
		return d.invalidError(serviceKey(conflict.Second), conflictKey(conflict), "one of its own; "+other+" has the same")
	default:
		return err
	}
}

// allowedValues describes the allowed values of the service's field.
func (d *Declarations) allowedValues(err *fleet.ServiceError) string {
	if err.Field != "zones" {
		return err.Reason
	}
	return "names in " + ZonesFile + ": " + d.zoneNames()
}

func (d *Declarations) zoneNames() string {
	names := make([]string, 0, len(d.Zones))
	for _, zone := range d.Zones {
		names = append(names, zone.Name)
	}
	return strings.Join(names, ", ")
}

func (d *Declarations) invalidError(key, setting, allowed string) error {
	loc := d.locations[key]
	return &inifile.Error{
		File:    loc.file.Path(),
		Section: loc.section,
		Key:     setting,
		Value:   loc.file.Text(loc.section, setting, ""),
		Problem: inifile.Invalid,
		Allowed: allowed,
	}
}

func conflictKey(conflict *fleet.ConflictError) string {
	if conflict.Property == "tag" {
		return "name"
	}
	return "address"
}
