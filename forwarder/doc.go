// Package forwarder brings callers' requests to the host that keeps their
// program. It implements the root package's CallHandler on every entry host.
//
// A program's identifier names its shard, so no look-up is needed: a request for
// a shard that this host holds is performed here, any other one goes to the
// shard's owner in one message. While a shard moves to another host, requests of
// which nothing was run wait and are sent again to the new owner, for as long as a
// takeover may last. What is known of a request that reached a host which then
// died is stated truthfully. A keeper sends something each second while a call
// runs; one that is silent for longer counts as lost.
package forwarder
