// Package receiver takes callers' requests and sees each one to its end.
//
// The steps of a request, in order: Table finds its rule and workspace; the
// workspace's rate admits it; a turn's chain is collected and its budget
// reserved; Gate finds a target, or has the request wait for one; the exchange
// runs, again on another target where the first certainly did not run it or the
// rule allows it; the answer goes to the caller.
//
// Every streamed request that names a program or a budget is a turn. Its target may
// begin while the store takes the reservation, but no token is passed on before; the
// last byte of one that is kept is held back until the store has the turn. A stream
// that breaks off goes on at another target where the rule allows it.
//
// Whatever a target sends is bounded, and so is what all answers take of the host's
// memory together: see buffer.
//
// What a refusal tells the caller is true: 429 and 503 mean that no target has
// run the request and none will; whatever may have run ends with 502 or 504.
package receiver
