// Package controlscale measures the cost of the control plane for fleets of
// any size. It runs the production replicas over the in-memory network of
// package controlnet.
package controlscale
