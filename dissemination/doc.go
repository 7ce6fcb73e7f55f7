// Package dissemination decides how the configuration and the VM lists reach
// every node of a fleet. Their source, the platform, can only be read, and only
// at a bounded rate.
//
// A few watchers in each availability zone watch the platform. Every other node
// polls two parents in its zone that precede it in a total order, so that nodes
// with different VM lists cannot form a cycle. Watchers also poll each other
// across zones. A node that gets no confirmation that its configuration is
// current reads the platform itself (an own read), at a rate that is bounded for
// the whole fleet.
//
// A Replica makes the decisions of one node. It does no I/O, starts no
// goroutines, and gets the time and the random source from its caller.
package dissemination
