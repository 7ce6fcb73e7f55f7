// Package admission implements admission control for the requests and flows of
// one backend server. It takes the time as an argument, does no I/O, starts no
// goroutine and holds no lock, so that it also runs under a simulated clock.
//
// A Limiter starts with a low limit and adapts it to the outcome of each
// request; it never relies on what the backend server reports about itself. A
// Queue orders waiting requests. A RetryBudget limits the retries that refusals
// cause.
package admission
