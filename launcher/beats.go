package launcher

import (
	"context"
	"sort"
	"sync"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/follower"
	"sapphiredrum.example/sapphiredrum/leaser"
	"sapphiredrum.example/sapphiredrum/loader"
	"sapphiredrum.example/sapphiredrum/messenger"
	"sapphiredrum.example/sapphiredrum/worker"
)

// beats exchanges heartbeats with peers: the lease's news within the zone, the
// revision in force with everyone.
type beats struct {
	settings loader.Settings
	runner   *leaser.Runner
	follower *follower.Follower
	client   *messenger.Client
	clock    sd.Clock

	// mu guards recent and round.
	mu     sync.Mutex
	recent map[sd.HostID]news
	round  int
}

// news is a peer's beat and when it came.
type news struct {
	beat leaser.Beat
	at   sd.Instant
}

// beatMessage is a heartbeat; Others passes fresh beats of other peers on.
type beatMessage struct {
	Beat     leaser.Beat
	Others   []leaser.Beat `json:",omitempty"`
	Revision sd.Revision
}

// sheetMessage asks a peer for the configuration that it has in force.
type sheetMessage struct{}

// sheetAnswer is a configuration.
type sheetAnswer struct {
	Revision sd.Revision
	Sheet    sd.Config
}

// register adds the heartbeat's messages to a router.
func (b *beats) register(router messenger.Router) {
	messenger.Handle(router, "beat", func(_ context.Context, m beatMessage) (beatMessage, error) {
		b.hear(m)
		return b.message(!m.Beat.Reaches), nil
	})
	messenger.Handle(router, "sheet", func(context.Context, sheetMessage) (sheetAnswer, error) {
		config := b.follower.Current()
		return sheetAnswer{Revision: config.Revision, Sheet: config.Sheet}, nil
	})
}

// run sends heartbeats until ctx ends.
func (b *beats) run(ctx context.Context) error {
	group := worker.NewGroup(ctx)
	defer group.Close()
	interval := b.settings.TTL / beatsPerTTL
	ticker := time.NewTicker(interval.Duration())
	defer ticker.Stop()
	for {
		for _, address := range b.receivers() {
			group.Go("beat", func(ctx context.Context) error { b.send(ctx, address, interval); return nil })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-b.runner.Urgent():
		}
	}
}

// send exchanges heartbeats with one peer and catches up with its revision.
func (b *beats) send(ctx context.Context, address sd.Address, timeout sd.Millis) {
	attempt, cancel := context.WithTimeout(ctx, max(timeout, shortestBeat).Duration())
	defer cancel()
	answer, err := messenger.Ask[beatMessage, beatMessage](attempt, b.client, address, "beat", b.message(false))
	if err != nil {
		return
	}
	b.hear(answer)
	if answer.Revision > b.follower.Current().Revision {
		b.catchUp(ctx, address, answer.Revision)
	}
}

// catchUp brings the revision that a peer has in force here: from the peer, or
// from the platform when the peer does not give it. The peer is asked first,
// because a platform that hangs would cost the seconds in which a revision has to
// be in force everywhere.
func (b *beats) catchUp(ctx context.Context, address sd.Address, revision sd.Revision) {
	attempt, cancel := context.WithTimeout(ctx, catchUpTimeout.Duration())
	defer cancel()
	answer, err := messenger.Ask[sheetMessage, sheetAnswer](attempt, b.client, address, "sheet", sheetMessage{})
	if err == nil {
		b.follower.Offer(answer.Revision, answer.Sheet)
	}
	if b.follower.Current().Revision < revision {
		_ = b.follower.Poll(attempt)
	}
}

// hear takes a heartbeat and those that it passes on.
func (b *beats) hear(m beatMessage) {
	now := b.clock.Now()
	b.mu.Lock()
	for _, beat := range append([]leaser.Beat{m.Beat}, m.Others...) {
		known := b.recent[beat.Host]
		if known.beat.Incarnation != beat.Incarnation || known.beat.Number < beat.Number {
			b.recent[beat.Host] = news{beat: beat, at: now}
		}
	}
	b.mu.Unlock()
	b.runner.Hear(m.Beat)
	for _, beat := range m.Others {
		b.runner.Hear(beat)
	}
}

// message returns this host's heartbeat. With others it passes on the freshest
// ones of its zone: a peer that does not reach the platform has to learn soon
// whether anybody does.
func (b *beats) message(others bool) beatMessage {
	now := b.clock.Now()
	m := beatMessage{Beat: b.runner.Beat(), Revision: b.follower.Current().Revision}
	if !others {
		return m
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for host, n := range b.recent {
		if now.Since(n.at) > b.settings.TTL {
			delete(b.recent, host)
			continue
		}
		fresh := now.Since(n.at) < b.settings.TTL/beatsPerTTL
		if n.beat.Zone == b.settings.Zone && n.beat.Reaches && fresh {
			m.Others = append(m.Others, n.beat)
		}
	}
	sort.Slice(m.Others, func(i, j int) bool { return m.Others[i].Host < m.Others[j].Host })
	m.Others = m.Others[:min(len(m.Others), passedOn)]
	return m
}

// receivers returns the peers of this round. In a small zone these are all
// others. In a large one the zone's hosts stand in a ring and the rounds take
// turns between the nearest ones and those at multiples of fanout, so that news
// reaches fanout squared hosts in two rounds. One host of another zone, or a seed
// while no peer is known, spreads the revision.
func (b *beats) receivers() []sd.Address {
	b.mu.Lock()
	b.round++
	round := b.round
	b.mu.Unlock()
	members := b.runner.Members()
	addresses := ringPart(b.settings.Name, members, round)
	if far, found := b.farPeer(round); found {
		addresses = append(addresses, far)
	}
	if len(members) == 0 && len(b.settings.Seeds) > 0 {
		addresses = append(addresses, b.settings.Seeds[round%len(b.settings.Seeds)])
	}
	return addresses
}

// farPeer returns a host of another zone, a different one each round.
func (b *beats) farPeer(round int) (sd.Address, bool) {
	seen := map[sd.Address]bool{}
	var far []sd.Address
	for shard, owner := range b.runner.Owners() {
		if shard.Zone != b.settings.Zone && !seen[owner.Address] {
			seen[owner.Address] = true
			far = append(far, owner.Address)
		}
	}
	if len(far) == 0 {
		return "", false
	}
	sort.Slice(far, func(i, j int) bool { return far[i] < far[j] })
	return far[round%len(far)], true
}

// ringPart returns the receivers of a round among the zone's other hosts, which
// are in order of name.
func ringPart(self sd.HostID, members []leaser.HostRow, round int) []sd.Address {
	var addresses []sd.Address
	if len(members) < fanout {
		for _, m := range members {
			addresses = append(addresses, m.Address)
		}
		return addresses
	}
	start := sort.Search(len(members), func(i int) bool { return members[i].Host > self })
	step := 1
	if round%2 == 0 {
		step = fanout
	}
	// The ring has one place more than there are other hosts: this host's own.
	size := len(members) + 1
	for k := 1; k < fanout; k++ {
		place := (k * step) % size
		if place > 0 {
			addresses = append(addresses, members[(start+place-1)%len(members)].Address)
		}
	}
	return addresses
}

const (
	// beatsPerTTL leaves two rounds, and one that is lost, within a third of the
	// lease's length.
	beatsPerTTL    = 9
	fanout         = 8
	passedOn       = 8
	shortestBeat   = 200 * sd.Millisecond
	catchUpTimeout = 2 * sd.Second
)
