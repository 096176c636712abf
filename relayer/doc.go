// Package relayer reaches the store through another host when this host cannot.
//
// A store may turn some hosts away and serve the others, or be reachable from one
// availability zone only. Relay sends each call to the store itself first; if that
// fails or takes long, a peer that reaches the store makes the call instead. All
// calls may be made twice: reads change nothing, and an update that has already
// taken effect fails its own condition the second time, which its maker
// recognises.
package relayer
