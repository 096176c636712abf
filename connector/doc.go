// Package connector holds the HTTP clients of the systems outside the
// scheduler: Platform for the table, the object store and the list of members,
// Engine for model engines and Service for plain services. They implement the
// interfaces of the root package.
//
// # What an error tells
//
// Unavailable is returned only when no byte of the request was handed to a
// connection, or when the other side answered in the typed form that it did not
// run the request. Every other failure is Uncertain: the request may have taken
// effect. To know the difference, each connection counts the bytes handed to
// it; when a request fails, its connection is closed for writing before the
// count is read.
//
// # No silent retries
//
// The standard transport repeats some requests on its own when a kept-alive
// connection turns out dead: those without a body and those that carry an
// Idempotency-Key. Plain services define what their methods mean, so even a GET
// may not be repeated. The clients give every request a body that cannot be
// rewound, and end a request that asks for a second connection.
//
// # Use
//
// One Pool holds the kept-alive connections of a process; all clients share it.
// Close ends the idle ones.
package connector
