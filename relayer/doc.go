// Package relayer reaches the store through another host when this host cannot.
//
// A store may turn some hosts away and serve the others, or be reachable from one
// availability zone only. Relay sends each call to the store itself first; if that
// fails, or a probe shows the store to be lost, a peer that reaches the store makes
// the call instead. A store that is slow for all is not lost: no peer is quicker, so
// calls are waited for.
//
// A call that is not answered while later ones are answered quickly ends as Uncertain,
// well before its time-out, so that its maker sends it again. All calls may be made twice:
// reads change nothing, and an update that has already taken effect fails its own
// condition the second time, which its maker recognises.
package relayer
