// Package leaser decides which host owns which shard. State holds the decisions
// and is pure: it takes the time and messages and returns requests for the
// platform's table. Runner performs those requests.
//
// # Rows
//
// Each host keeps one row, "host/<zone>/<host>" (HostRow), and renews it every
// third of the lease's length, TTL. Each shard has one row,
// "shard/<zone>/<number>" (ShardRow), which is written only when its owner
// changes. A host scans the host rows of its own zone and the shard rows of all
// zones, both as changes since the last scan.
//
// # Lease
//
// Every transaction of a host writes the host's own row on the condition that
// it has the version that the host wrote last. So each transaction renews the
// lease, a host whose row was marked lapsed can change nothing until it has
// registered again, and a lost answer is settled by reading one row and
// comparing its operation. The holder counts TTL from the moment it made the
// request, on its own clock. Clocks are never compared between hosts.
//
// # Takeover
//
// A host may mark a zone peer's row as lapsed after it has watched the row
// unchanged for TTL and Drift with the table answering all that time; a failed
// scan starts the time again, so nobody takes over in the first TTL after an
// outage. The mark is conditional on the watched version. The same transaction
// claims the shards that the marking host is preferred for; the other shards are
// then without an owner, and their preferred hosts claim them on their next
// scan. A claim raises the shard's epoch by one.
//
// A shard is without an owner when its row names nobody, or names a host whose
// row is absent, marked lapsed, or of a later registration. That is judged only
// from a host scan at least as new as the shard row: a new host registers
// before it claims, so an older scan could miss a live owner.
//
// A process that finds the row of an earlier process under its own name treats
// it as any other host's row: it registers once it has watched it lapse, or
// once somebody has marked it.
//
// # Placement
//
// Shards are placed by rendezvous hashing over the zone's live hosts, with no
// host preferred for more than an even part, rounded up. An owner
// asks its process to finish with a shard that another host is preferred for
// (Asked), at most a few at a time, and then releases it: the row names nobody
// and keeps its epoch, and the next owner claims it without waiting. A leaving
// host releases all its shards and then deletes its row; while it can't reach
// the table, it keeps them.
//
// # Island rule
//
// A host whose lease has run out and that can't renew it goes on holding its
// shards while it hears a zone peer, or is the only host registered in its
// zone, and nobody it hears reaches the platform. Once a peer is heard that
// does, the host has TTL/3 to renew, directly or relayed by that peer. A host
// that has peers and hears none stops when its lease ends, and so does one whose
// process paused for more than TTL/5 since its last renewal: what it finds waiting
// may be old, and it may hear late of a peer that reaches the platform. A host that stopped
// holds nothing until a renewal succeeds, whatever it hears. So a platform that
// comes back for a moment only, too short to renew in, can make hosts stop; they
// gain their shards again, under the same epochs, once they can renew.
//
// The rule assumes that a zone isn't split within itself: a running host that
// reaches the platform is heard by each running host of its zone within TTL/3.
// If a zone is split, and one part reaches the platform while the other does
// not, then the first part takes over the other's shards after TTL and hosts of
// both parts act as their owners until the split heals. What rests on epochs and
// on conditional writes still holds; what rests on there being one owner
// doesn't.
//
// # A zone without hosts
//
// Hosts of other zones never claim a zone's shards. While all hosts of a zone
// are gone, its programs are out of reach: Owner names the last owner, which
// doesn't answer. The first host that registers in the zone takes the shards
// over, after TTL and Drift if they weren't released.
package leaser
