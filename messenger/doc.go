// Package messenger carries messages between hosts: HTTP with JSON on kept-alive
// connections.
//
// A message has a one-word name, which is its path, a typed request and a typed
// answer. Handle registers the function that answers it and Ask sends it. Follow
// sends a request whose answer is a sequence of frames, one JSON value a line,
// and Stream registers the function that writes them.
//
// Errors keep their meaning across hosts: a *sapphiredrum.Refusal and the error
// types of the root package arrive as such. A request of which no byte was sent
// fails with Unavailable, one whose answer was lost with Uncertain.
package messenger
