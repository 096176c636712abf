// Package balancer decides which target a request goes to, and which request
// goes next when all targets are busy.
//
// State is one host's view of the targets: what they registered, what this host
// has sent them, what they and the other hosts tell of their load. It is pure;
// its owner passes the time in, under one lock.
//
// # Choice
//
// A request goes to the target that holds its prefix if that has room. Otherwise
// two targets of the host's own zone are drawn and the less loaded one is taken;
// other zones come in when the own zone is full. Each host draws from a few
// targets, its neighbours by rendezvous hash, so that it keeps few connections,
// and from all of them when these have no room.
//
// # Waiting
//
// Targets run what reaches them in order of arrival, so requests wait here: by
// tier; programs that can still be on time first; programs under way before new
// ones; then by the time that their program has left. A request that would wait
// too long is refused at once, and so is one that begins a program while the slots
// are all but taken: the programs under way would end late for it.
//
// # Cold targets
//
// A target may be cold at any moment, and bears a bounded number of requests a
// second from all hosts together. Each host may always send its even part of half
// the bound. Beyond that it counts what the other hosts say they have sent, sends
// as many as it has told them itself, and raises that by its share of what is left:
// an even part, and by rank one of the remainder.
package balancer
