// Package dissemination decides how the configuration and the VM lists reach
// every node of a fleet. Their source, the platform, can only be read, and only
// at a bounded rate.
//
// A configuration consists of a manifest and parts. The manifest holds the
// revision, the zones and the digest of each part; each part holds some of the
// services. All entries, and the agents that precede most others in the order
// of their zone and so may be polled, hold a full copy: all parts and the VM
// lists of all zones. Any other agent holds only the part with its own service
// and the list of its own zone. The revision.Holder of a node decides which
// configuration is in force.
//
// A few watchers in each availability zone watch the platform. Every other node
// polls two parents in its zone that precede it in a total order, so that nodes
// with different VM lists cannot form a cycle. Watchers also poll each other
// across zones. A node that gets no confirmation that its configuration is
// current reads the platform itself (an own read), at a rate that is bounded
// for the whole fleet.
//
// A Replica makes the decisions of one node. It does no I/O, starts no
// goroutines, and gets the time and the random source from its caller.
package dissemination
