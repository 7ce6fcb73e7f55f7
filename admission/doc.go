// Package admission decides, beside one backend server, which requests and
// flows are admitted. It is pure: it takes the time as an argument, does no
// I/O, starts no goroutine and holds no lock, so that it runs under any clock.
//
// A Limiter starts cold, learns from the outcome of each request and never
// from what the backend server says of itself. A Queue orders the requests
// that wait. A Budget bounds the retries that refusals cause.
package admission
