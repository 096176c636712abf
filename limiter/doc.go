// Package limiter keeps every workspace within its rate and burst across all hosts.
// Without faults it admits nearly what a single token bucket for the fleet would.
//
// # Model
//
// Each availability zone owns a share of each workspace's rate and burst and keeps
// an account for it, on the shard that AccountShard names. An account has one token
// Bucket. It holds the zone's own share, unless that is lent, and the shares that
// other zones' accounts have lent to it. The accounts of a workspace are ordered by
// Accounts; each requests the shares of all later ones, so the first reachable
// account, the home, soon holds them all. A home that is partitioned loses its
// loans, and the next account in order borrows what it can reach.
//
// State holds one host's accounts. It has no sockets, goroutines or clocks. Its
// owner calls Tick every 50 to 100 ms and sends each LoanRequest to the holder of
// the lender's shard, which passes it to Lend; the answer goes to Receive.
//
// # The cap
//
// At any time each share is in force in at most one bucket, so the rates of all
// buckets sum to at most the workspace's rate and their capacities to at most its
// burst. Tokens move only with their share, and a share that returns because its
// loan has expired starts empty. Hence in every window all hosts together admit at
// most rate x window + burst. These rules keep a share in one place:
//
//   - A home uses a loan until Settings.LoanDuration after it sent the request, on
//     its own clock. The lender does not use the share until LoanDuration +
//     MaxClockDrift after it granted the loan, on its own clock. The request
//     precedes the grant, so the home stops first, whatever the delays and pauses.
//   - An account spends and lends its own share only before the lease deadline set
//     by RenewLease. A holder that was paused past its lease sees the expired
//     deadline in the same call that would spend. Another host may gain the shard
//     only after the old holder's deadline has passed in true time, which the
//     leaser guarantees.
//   - AddShard starts an account empty, and its own share is not used for
//     LoanDuration + MaxClockDrift: by then any loan that an earlier holder granted
//     before its deadline has expired.
//   - Borrowed shares need no lease. A home that has lost its shard, knowingly or
//     not, may use its loans until they expire, and the new home gets none of them
//     before.
//   - Each LoanRequest is numbered and processed at most once; a Grant counts only
//     for a request that is still pending. Loans returned early are void from the
//     step that empties the bucket, before the message is sent.
//   - Loans are granted only to a home that has echoed the lender's EchoTimestamp
//     and so proves that it heard the lender within LoanDuration. Otherwise a link
//     that works in one direction only would move a share to a home that never
//     learns of the loan, and nobody could use it.
//
// The limiter allows for clocks that run fast by up to Settings.MaxClockSkew and are
// read to a millisecond: buckets fill slower by MaxClockSkew, and a millisecond that
// has begun is counted once.
//
// # Caller requirements
//
//   - Read the clock and call State under one lock. A request is admitted at the
//     instant passed; the limiter does not cover a later dispatch of the work.
//   - Call RemoveShard before RenewLease when a lease was renewed but a shard was
//     lost.
//   - Call Configure for every revision in order, and after a pause before
//     anything else. A host that starts does so for the revisions of the last
//     Settings.MaxConfigDelay, if the zones' shares changed in them.
//   - Use the same Settings on all hosts.
//
// A workspace that a revision adds is served after LoanDuration + MaxClockDrift.
//
// While a revision is being rolled out, rates and bursts are at most the larger of
// the old and the new. This lasts until the revision has reached all hosts, at most
// Settings.MaxConfigDelay. A zone's share decreases immediately and increases after
// MaxConfigDelay, so that shares which move between zones never count twice.
//
// # Admission
//
// Ask the accounts in the order of Accounts until one does not answer NoShare; the
// answer's Borrower is the account that borrowed the share. The RetryAfter of a
// refusal is the time, to the millisecond, until the account has a token if no other
// request takes it. A request within its rate may wait that long instead of being
// refused.
package limiter
