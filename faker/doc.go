// Package faker holds stand-ins for the systems outside the scheduler: the
// platform (table, object store, list of members), model engines and plain
// services. Tests and trials use them where the real ones are not at hand.
//
// # State and network
//
// Platform, Engine and Service keep their state in memory and implement the
// interfaces of the root package, so that a test can use them without a socket.
// PlatformHandler, EngineHandler and ServiceHandler serve the same values over
// HTTP; package connector holds the matching clients.
//
// # Faults
//
// Each stand-in has a struct of faults that may be changed at any moment:
// outages, delays, hangs, answers lost after the effect, requests lost before
// it, cut streams, a list that lags. Over HTTP, POST /faults sets them and GET
// /counters tells what ran.
//
// # What the engine models
//
// The engine batches continuously, slows down with its batch, warms up under
// work and collapses when it is given more than it bears while cold. It keeps
// program prefixes in limited memory and drops the least recently used. Its
// answers are deterministic and carry a digest of the messages that it was sent,
// so that a test sees at once when two histories were mixed.
package faker
