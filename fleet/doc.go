// Package fleet holds the typed model of what operators declare and what the
// platform lists: services, availability zones, hosts and the configuration
// that a publishing step puts on the platform.
//
// Values of this package are immutable once they are shared between
// goroutines.
package fleet
