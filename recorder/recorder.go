package recorder

import (
	"context"
	"sync"

	"go.uber.org/zap"

	root "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/keeper"
)

// Listener is the host's side of a recorder. Its methods are called without the
// recorder's lock, from the recorder's goroutines, one at a time for each lane. So
// the host may hold its own lock while it calls the recorder, and take it in
// these methods.
type Listener interface {
	// Image returns the epoch and the whole state of a shard that the host
	// keeps, and epoch 0 for another.
	Image(shard root.ShardID) (root.Epoch, []keeper.Record)
	// Notify tells of Recorded, Lost, Based and Named events.
	Notify(event Event)
}

// Options are what a Recorder needs.
type Options struct {
	Rules       Rules
	Host        root.HostID
	Incarnation root.Incarnation
	Table       root.Table
	Objects     root.ObjectStore
	Clock       root.Clock
	Log         *zap.Logger
	Listener    Listener
	// Timeout bounds one exchange with the platform.
	Timeout root.Millis
}

// Recorder runs a State against the platform.
type Recorder struct {
	options Options
	// mutex guards what follows; nothing is called while it is held.
	mutex   sync.Mutex
	state   *State
	intents map[Ticket]chan Decided
	loads   map[Tenure]chan Event
	closing bool
	limit   root.Instant
	// wake and wakeBack end the rest of a lane.
	wake     chan struct{}
	wakeBack chan struct{}
	ended    chan struct{}
}

// New returns a recorder that Run makes work.
func New(options Options) *Recorder {
	if options.Timeout <= 0 {
		options.Timeout = defaultTimeout
	}
	return &Recorder{
		options: options, state: NewState(options.Rules, options.Host, options.Incarnation),
		intents: make(map[Ticket]chan Decided), loads: make(map[Tenure]chan Event),
		wake: make(chan struct{}, 1), wakeBack: make(chan struct{}, 1), ended: make(chan struct{}),
	}
}

// SetLive sets the number of live hosts, from which the flush interval follows.
func (r *Recorder) SetLive(hosts int) {
	r.change(func(s *State) { s.SetLive(hosts) })
}

// SetPeers sets the peers that may hold copies; Named tells when they are in force.
func (r *Recorder) SetPeers(peers ...keeper.Peer) {
	r.change(func(s *State) { s.SetPeers(peers) })
}

// CopyTo returns the peer to send copies to. Copies elsewhere do not make
// records safe. Without a named peer it returns false.
func (r *Recorder) CopyTo() (peer keeper.Peer, found bool) {
	r.change(func(s *State) { peer, found = s.CopyTo() })
	return peer, found
}

// Append queues records for the next flush; Recorded events follow.
func (r *Recorder) Append(records []keeper.Record) {
	if len(records) > 0 {
		r.change(func(s *State) { s.Append(records) })
	}
}

// Bury deletes what a process has left that is dead and will not come back under
// its incarnation, unless a shard of the zone still needs it.
func (r *Recorder) Bury(host root.HostID, incarnation root.Incarnation, zone root.ZoneName) {
	r.change(func(s *State) { s.Bury(host, incarnation, zone) })
}

// Rebase queues the whole state of a shard that was loaded, before its records.
func (r *Recorder) Rebase(shard root.ShardID, epoch root.Epoch, images []keeper.Record) {
	r.change(func(s *State) { s.Rebase(shard, epoch, images) })
}

// Load takes a shard over and returns what is stored of it. Lease is the version
// of the leaser's row, or zero. Errors are Overtaken, Conflict (the lease row has
// changed), BadSegment and the context's end as Unavailable.
func (r *Recorder) Load(ctx context.Context, shard root.ShardID, epoch root.Epoch, lease uint64) (Loaded, error) {
	tenure := Tenure{Shard: shard, Epoch: epoch}
	answer := make(chan Event, 1)
	r.change(func(s *State) {
		r.loads[tenure] = answer
		s.Claim(shard, epoch, lease)
	})
	select {
	case event := <-answer:
		if loaded, ok := event.(Loaded); ok {
			return loaded, nil
		}
		refused, _ := event.(Refused)
		return Loaded{}, refused.Cause
	case <-ctx.Done():
	case <-r.ended:
	}
	r.change(func(*State) { delete(r.loads, tenure) })
	return Loaded{}, root.Unavailable.New("shard %s was not loaded in time", shard)
}

// Intend records that a non-idempotent call is about to be sent and returns once
// that is durable. A fresh answer permits sending it once; Settle must follow.
// Errors are *Refusal, all of them not run except the repetition of a call under
// way. If the context ends first, nothing may be sent.
func (r *Recorder) Intend(ctx context.Context, intent Intent) (Intended, error) {
	answer := make(chan Decided, 1)
	var intended Intended
	var waiting bool
	var err error
	r.change(func(s *State) {
		intended, waiting, err = s.Intend(r.options.Clock.Now(), intent)
		if waiting {
			r.intents[intended.Ticket] = answer
		}
	})
	if !waiting {
		return intended, err
	}
	select {
	case decided := <-answer:
		if decided.Refusal != nil {
			r.options.Log.Info("intent refused", event(eventIntentRefused), zap.String("call", string(intent.Call)))
			return Intended{}, decided.Refusal
		}
		return decided.Intended, nil
	case <-ctx.Done():
	case <-r.ended:
	}
	r.change(func(s *State) {
		delete(r.intents, intended.Ticket)
		s.Withdraw(intent, intended.Ticket)
	})
	return Intended{}, root.NewRefusal(root.CallCancelled, 0, "the call was given up before it was recorded")
}

// Recall returns what is recorded of an earlier submission of the call. A host
// asks before it refuses a non-idempotent call as not run. The error is a
// CallConflict refusal.
func (r *Recorder) Recall(intent Intent) (intended Intended, found bool, err error) {
	r.change(func(s *State) { intended, found, err = s.Recall(intent) })
	return intended, found, err
}

// Settle records what became of a call that Intend permitted.
func (r *Recorder) Settle(intent Intent, ticket Ticket, outcome root.Outcome, answer string) {
	r.change(func(s *State) { s.Settle(intent, ticket, outcome, answer) })
}

// Close stores what waits, for as long as the platform answers within Patience,
// and ends Run. It returns when Run has ended.
func (r *Recorder) Close() {
	r.change(func(s *State) {
		if !r.closing {
			r.closing = true
			r.limit = r.options.Clock.Now().Add(r.options.Rules.Patience)
			s.Hurry()
		}
	})
	<-r.ended
}

// change runs f under the lock and wakes the lanes.
func (r *Recorder) change(f func(s *State)) {
	r.mutex.Lock()
	f(r.state)
	r.mutex.Unlock()
	signal(r.wake)
	signal(r.wakeBack)
}

func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

const defaultTimeout = 5 * root.Second
