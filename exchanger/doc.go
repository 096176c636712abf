// Package exchanger sends single HTTP/1.1 requests to targets over kept
// connections and tells how sure it is of what became of them.
//
// A request that may run at most once needs to know three things that a general
// client hides: whether any byte of it was sent, whether an answer belongs to it,
// and whether a connection is clean enough for the next request. An error is
// Unavailable only if no byte was sent; every other failure is Uncertain. Answers
// to earlier requests that arrive late are recognised by the request's id and
// skipped. So are answers without an id, unless nothing came before them on the
// connection: bytes behind an earlier answer may look like one. A connection is kept
// only after a framed answer was read to its end with nothing behind it.
//
// An answer without a frame ends with its connection. It is broken if the connection was
// reset. If the connection was closed in order, it is whole only if the target accepts
// another one a little later: the kernel also closes the connections of a process that died in
// order. The new connection is kept for the next request.
package exchanger
