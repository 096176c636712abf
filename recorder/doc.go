// Package recorder writes what programs must not lose to the platform, at a cost
// in writes that does not depend on load.
//
// # Log
//
// Each process has one log: a table row "log/<host>/<incarnation>" that lists
// objects. A flush puts all records and intents that came together since the
// last one, over all shards that the host keeps, into one object (a segment) and
// adds its name to the row. That is two writes a flush, whatever the number of
// shards and calls. The interval between flushes follows from the writes allowed
// per second and the number of live hosts (Rules.Interval).
//
// A row "index/<zone>/<number>" names the log that a shard is kept in. It is
// written only when the shard changes hands.
//
// # Stale owners
//
// A log row lists the shards that it accepts, with their epochs. A takeover
// removes the shard from the former owner's row, adds it to its own and rewrites
// the index row, in one transaction. Since every flush is conditional on its
// row's version, a former owner's next flush conflicts; it reads its row, learns
// which shards it has lost, and goes on with the rest. The transaction also
// checks the leaser's row of the shard where its version is given.
//
// # Lost answers
//
// A commit whose answer was lost is settled by reading the row. If it shows the
// operation, or lists its object, the commit took effect. If the row has the
// version that the commit expected, the same transaction is sent again: both are
// conditional on that version, so at most one takes effect. If the row has moved
// on without the object, the commit can never take effect any more.
//
// # Checkpoints
//
// After Rules.Segments segments the next flush is a merger: it holds their
// content and its own, and replaces them. When the log has grown by as much as
// its last checkpoint, and by Rules.Delta at least, or lists Rules.Segments
// mergers, the next flush is a checkpoint: it holds the whole state of every
// shard and replaces all. So what is written is at most about three times what
// changes, and a takeover of a shard reads at most 2*Rules.Segments+1 objects of
// its last owner's log, and as many of each owner before who died without storing
// the shard once. The bound needs the host to answer for the images of all its
// shards; while it can't, the log grows by one object a flush. Replaced objects
// are deleted after the commit, once no index row refers to them.
//
// # Intents
//
// An intent is recorded before a non-idempotent call is sent to its target. It
// is unique because a shard's log is appended by one owner at a time, who knows
// all intents of the shard. Found again, it is answered with the recorded outcome
// or as unknown.
//
// # Layout
//
// State makes all decisions; it returns one Action at a time for each of two
// lanes and takes its Answer. Recorder runs them against the platform.
package recorder
