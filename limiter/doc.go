// Package limiter keeps every workspace within its rate and burst over all hosts
// together.
package limiter
