// Package controlnet simulates a fleet's control plane: it connects many
// dissemination replicas, the same code that runs in production, by an
// in-memory network with a simulated clock and a fake configuration platform.
// Tests inject failures into it, and benchmarks count messages, bytes and
// platform reads.
package controlnet
