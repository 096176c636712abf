// Package limiter keeps every workspace within its rate and burst over all hosts
// together, and in calm weather admits what one bucket for the fleet would.
//
// # Model
//
// Every availability zone owns a share of each workspace's rate and burst and
// keeps an account for it, on the shard that AccountShard names. An account has
// one token Bucket. It holds the zone's own share, unless that is lent, and the
// shares that other zones' accounts have lent to it. The accounts of a workspace
// are ordered by Accounts; each asks all later ones for their shares, and the
// first that can be reached, the home, soon holds them all. A home that is cut
// off loses its loans, and the next one in order collects what it can reach.
//
// State is one host's accounts: pure, without sockets, goroutines or clocks. Its
// owner calls Tick every 50 to 100 ms and sends each Ask to the holder of the
// lender's shard, which answers through Lend; the answer goes to Receive.
//
// # The cap
//
// At every moment each share is in force in at most one bucket, so the rates of
// all buckets sum to at most the workspace's rate and their capacities to at most
// its burst. Tokens move only with their share, and a share that comes back by
// the end of its time starts empty. Hence over every window all hosts admit at
// most rate x window + burst. The rules that keep a share in one place:
//
//   - A home uses a loan until Settings.Loan after it asked, on its own clock;
//     the lender keeps its hands off until Settings.Loan + Settings.Drift after
//     it granted, on its own clock. Asking comes before granting, so the home
//     stops first, whatever the delays and pauses.
//   - An account spends and lends its own share only before the lease deadline
//     set by Renew. A holder that was paused past its lease finds the deadline
//     passed in the same call that would spend. Another host may gain the shard
//     only after the old holder's deadline has passed in true time: that is the
//     leaser's promise.
//   - Gain starts an account empty, and its own share rests for Loan + Drift: by
//     then a loan that an earlier holder granted before its deadline has ended.
//   - Borrowed shares need no lease: a home that has lost its shard, knowing it
//     or not, may use its loans to their end, and the new home gets none of them
//     before.
//   - Each Ask is numbered and acted on at most once; a Grant counts only for an
//     Ask that is still open. Loans given back early are void from the step that
//     empties the bucket, before the message leaves.
//   - Loans are granted only to a home that proves, by returning the lender's
//     Mark, that it has heard the lender within Loan: a link that works one way
//     only would otherwise take a share where nobody can use it.
//
// Clocks that run up to Settings.Skew fast, and that are read to a millisecond,
// are allowed for: buckets fill slower by Skew, and a started millisecond is
// counted once.
//
// # What callers must do
//
//   - Read the clock and call State under one lock. An admission counts at the
//     instant passed; work that is dispatched later is not the limiter's matter.
//   - Call Lose before Renew when a lease was renewed but a shard was lost.
//   - Call Configure for every revision in order, and after a pause before
//     anything else. A host that starts does so for the revisions of the last
//     Settings.Settle, if the zones' shares changed in them.
//   - Use the same Settings on all hosts.
//
// A workspace that a revision adds is served once Loan + Drift have passed.
//
// During a change of revision rates and bursts are at most the larger of the old
// and the new, for as long as the revision takes to reach the hosts, at most
// Settings.Settle. A zone's part falls at once and rises after Settle, so that
// parts which move between zones never count twice.
//
// # Admission
//
// Ask the accounts in the order of Accounts until one does not answer NotHere;
// an answer's Holder tells who borrowed the share. A refusal's RetryAfter is the
// time, to the millisecond, until the account has a token if nobody else takes
// it: a request within its rate may wait that long rather than be refused.
package limiter
