// Package sapphiredrum holds what every other package of the scheduler shares:
// identifiers, units, the clock, the outcome of a request, the configuration
// sheet and the interfaces whose implementations vary.
//
// # Reading order
//
// Start with ids.go and units.go for the vocabulary, then outcome.go for what a
// caller is told when a request is refused, then sheet.go for what operators
// declare. platform.go and target.go hold the interfaces to the systems outside:
// the platform's table service, object store and list of live members, and the
// targets that run requests.
//
// # Layout
//
// Decisions live in packages without sockets or goroutines (leaser, limiter,
// keeper, recorder, scheduler, picker, sweeper). They take the time and messages
// as arguments and return messages, so that tests drive the code that ships.
// The packages around them (connector, messenger, dispatcher, server, host) do
// the input and output.
package sapphiredrum
