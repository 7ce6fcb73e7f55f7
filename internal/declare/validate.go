package declare

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/inifile"
)

// Wishes of a service that declares none.
const (
	defaultDrain  = 10 * time.Minute
	defaultWarmup = 30 * time.Second
)

// validate checks the declarations against each other by the rules that
// every node applies, and tells the file of the one that fails.
func (d *Declarations) validate(folder string) error {
	d.sort()
	if len(d.Zones) == 0 {
		return &FolderError{Folder: folder, Reason: "declares no availability zone; " + ZonesFile + " holds them"}
	}
	return d.locate(fleet.Validate(d.Zones, d.Services))
}

// locate turns an error of fleet.Validate into one that names the place.
func (d *Declarations) locate(err error) error {
	var service *fleet.ServiceError
	var zone *fleet.ZoneError
	var clash *fleet.ClashError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &service):
		return d.invalid(serviceKey(service.Service), service.Field, d.allowed(service))
	case errors.As(err, &zone):
		return d.invalid(zoneKey(zone.Zone), "number", zone.Reason)
	case errors.As(err, &clash):
		other := d.place(serviceKey(clash.First))
		return d.invalid(serviceKey(clash.Second), clashKey(clash), "one of its own; "+other+" has the same")
	default:
		return err
	}
}

// allowed tells what the field of a service may be.
func (d *Declarations) allowed(err *fleet.ServiceError) string {
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

func (d *Declarations) invalid(key, setting, allowed string) error {
	o := d.origins[key]
	return &inifile.Error{
		File:    o.file.Path(),
		Section: o.section,
		Key:     setting,
		Value:   o.file.Text(o.section, setting, ""),
		Problem: inifile.Invalid,
		Allowed: allowed,
	}
}

func clashKey(clash *fleet.ClashError) string {
	if clash.On == "tag" {
		return "name"
	}
	return "address"
}
