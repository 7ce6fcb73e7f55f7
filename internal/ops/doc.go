// Package ops serves a process's local HTTP endpoint for operators: health,
// readiness, status, audit trail and metrics.
package ops
