// Package receiver handles callers' HTTP requests from arrival to final response.
//
// A request passes through these steps: RoutingTable finds its rule and workspace;
// the workspace's rate limit admits it; for a turn of a program, the earlier turns are
// loaded and the budget is reserved; TargetQueue selects a target, or queues the
// request until one is free; the request is sent, and sent again to another target if
// the first certainly did not run it or if the rule allows a retry; the response is
// forwarded to the caller.
//
// Every streamed request that names a program or a budget is a turn. A target may
// start on it while the store is still writing the reservation, but no token is
// forwarded before the write succeeds. For a turn that is retained, the end of the
// stream is held back until the store has the turn. An interrupted stream is resumed
// on another target where the rule allows it.
//
// The size of every response is limited, and so is the memory that all buffered
// responses of a host take together; see memoryQuota.
//
// Status codes state whether a request ran: 429 and 503 mean that no target has run
// it and none will; a request that may have run ends with 502 or 504.
package receiver
