// Package dissemination decides how a configuration and the lists of VMs
// reach every node of a fleet whose source can only be read, and at a bounded
// rate.
//
// A few watchers in each availability zone follow the source. Every other
// node polls two parents of its zone that come before it in a total order, so
// that views which differ cannot form a cycle. Watchers poll each other across
// zones. A node that hears no confirmation reads for itself, at a rate that
// is bounded for the whole fleet.
//
// A Replica is the decision maker of one node. It does no I/O, starts no
// goroutine and takes the time and the random source from its caller.
package dissemination
