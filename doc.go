// Package sapphiredrum defines the types shared by all packages of the scheduler:
// identifiers, units, the clock, request outcomes, the configuration and the
// interfaces that have several implementations.
//
// # Reading order
//
// Start with ids.go and units.go for the basic types, then read outcome.go for
// how refused requests are reported to callers, and sheet.go for the
// configuration written by operators. platform.go and target.go define the
// interfaces to external systems: the platform's table service, object store and
// member list, and the targets that run requests.
//
// # Layout
//
// The decision logic is in packages without sockets or goroutines (leaser,
// limiter, keeper, recorder, scheduler, picker, sweeper). They take the time and
// messages as arguments and return messages, so that tests can drive the
// production code deterministically. The packages around them (connector,
// messenger, dispatcher, server, host) do the I/O.
package sapphiredrum
