// Package fleet defines the data model of a fleet: the services and
// availability zones that operators declare, the VMs that the platform lists,
// and the configuration that is published on the platform.
//
// Values of this package are immutable once they are shared between
// goroutines.
package fleet
