// Package controlnet joins many replicas by an in-memory network under a
// clock of its own, with a fake of the platform. Tests cause failures in it,
// and measurements count in it; the replicas are those that ship.
package controlnet
