// Package controlscale measures what control costs in fleets of any size,
// with the replicas that ship joined by the in-memory network.
package controlscale
