// Package launcher builds an entry host from its settings and runs it.
//
// A Host joins the packages that decide (leaser, limiter, keeper, recorder,
// scheduler, picker) with those that carry messages (admitter, granter,
// performer, forwarder, server) and starts their loops as one oklog/run group.
// Its first actor waits for the end of the context, then drains: the host reports
// that it is not ready, hands its shards over, lets running requests end and only
// then stops the rest.
package launcher
