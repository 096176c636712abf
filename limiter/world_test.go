package limiter_test

import (
	"math"
	"math/rand/v2"
	"slices"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/limiter"
)

// A world simulates several hosts with their own clocks, a network and a table of
// shard owners, in true time. It admits through the production State and checks
// every admission against reference buckets that share no code with it.
type world struct {
	fail     func(format string, args ...any)
	random   *rand.Rand
	settings limiter.Settings
	now      int64
	hosts    []*machine
	shards   map[sapphiredrum.ShardID]*owner
	packets  []packet
	cut      map[[2]sapphiredrum.ZoneName]bool
	loss     float64
	delay    int64
	// stale sends requests to the previous holder of the shard.
	stale    bool
	greedy   bool
	lease    int64
	sheets   []sheet
	levels   map[sapphiredrum.WorkspaceID]float64
	admitted int
}

type machine struct {
	index        int
	zone         sapphiredrum.ZoneName
	state        *limiter.State
	origin       int64
	speed        float64
	frozen, away bool
	renewed      int64
	sheet        int
	inbox        []packet
}

type owner struct {
	host, previous int
	epoch          sapphiredrum.Epoch
	told           map[int]bool
}

type packet struct {
	due      int64
	from, to int
	message  any
}

type sheet struct {
	at         int64
	workspaces []sapphiredrum.Workspace
	zones      []sapphiredrum.Zone
	reaches    []int64
}

const (
	renewEvery = 700
	// claimAfter is how far, in true time, the slowest clock may be behind at a lease's end.
	claimAfter = 20
)

var zoneNames = []sapphiredrum.ZoneName{"z-a", "z-b", "z-c"}

func newWorld(seed uint64, perZone int, settings limiter.Settings, first sheet, fail func(string, ...any)) *world {
	w := &world{
		fail: fail, random: rand.New(rand.NewPCG(seed, 1)), settings: settings, now: 10_000,
		shards: map[sapphiredrum.ShardID]*owner{}, cut: map[[2]sapphiredrum.ZoneName]bool{},
		levels: map[sapphiredrum.WorkspaceID]float64{}, delay: 2, lease: 3000,
	}
	for i := range perZone * len(zoneNames) {
		h := &machine{index: i, zone: zoneNames[i%len(zoneNames)], origin: w.random.Int64N(1e9)}
		h.speed = 1 + float64(w.random.IntN(3)-1)*float64(settings.MaxClockSkew)
		w.hosts = append(w.hosts, h)
	}
	w.publish(first, 0)
	for _, c := range first.workspaces {
		w.levels[c.ID] = float64(c.Burst)
		for z, n := range zoneNames {
			id := sapphiredrum.ShardID{Zone: n, Number: limiter.AccountShard(c.ID)}
			w.shards[id] = &owner{host: z, previous: z, told: map[int]bool{}}
		}
	}
	for _, h := range w.hosts {
		w.start(h)
	}
	return w
}

func (w *world) clock(h *machine) sapphiredrum.Instant {
	return sapphiredrum.Instant(h.origin + int64(math.Floor(float64(w.now)*h.speed)))
}

// start boots a process. It reads every revision that another host may still use.
func (w *world) start(h *machine) {
	h.state = limiter.New(w.settings, sapphiredrum.Incarnation(w.random.Uint64()|1))
	h.frozen, h.inbox, h.sheet = false, nil, -1
	for i, s := range w.sheets {
		if i+1 == len(w.sheets) || w.sheets[i+1].at+int64(w.settings.MaxConfigDelay) >= w.now {
			h.state.Configure(w.clock(h), sapphiredrum.Revision(i+1), s.workspaces, s.zones)
			h.sheet = i
		}
	}
	w.renew(h)
}

func (w *world) publish(s sheet, spread int64) {
	s.at = w.now
	for range w.hosts {
		s.reaches = append(s.reaches, w.now+w.random.Int64N(spread+1))
	}
	w.sheets = append(w.sheets, s)
}

// renew is a host's round with the table: first lost shards, then the lease, then claims.
func (w *world) renew(h *machine) {
	if h.state == nil || h.frozen || h.away {
		return
	}
	for id, o := range w.shards {
		if o.told[h.index] && o.host != h.index {
			w.send(h, h.state.RemoveShard(w.clock(h), id))
			delete(o.told, h.index)
		}
	}
	h.state.RenewLease(w.clock(h), w.clock(h).Add(sapphiredrum.Millis(w.lease)))
	h.renewed = w.now
	for id, o := range w.shards {
		dead := o.host != h.index && w.now-w.hosts[o.host].renewed >= w.lease+claimAfter
		first := o.epoch == 0 && o.host == h.index
		again := o.host == h.index && !o.told[h.index]
		if id.Zone == h.zone && (dead || first || again) {
			w.gain(id, o, h)
		}
	}
}

func (w *world) gain(id sapphiredrum.ShardID, o *owner, h *machine) {
	o.epoch++
	o.host, o.previous = h.index, o.host
	o.told[h.index] = true
	h.state.AddShard(w.clock(h), id, o.epoch, o.epoch == 1)
}

// handOver moves a shard to another host of its zone in an orderly way.
func (w *world) handOver(id sapphiredrum.ShardID) {
	o := w.shards[id]
	from := w.hosts[o.host]
	for _, h := range w.hosts {
		if h.zone == id.Zone && h != from && h.alive() && from.alive() && o.told[from.index] && !h.away {
			w.send(from, from.state.RemoveShard(w.clock(from), id))
			delete(o.told, from.index)
			w.gain(id, o, h)
			return
		}
	}
}

func (h *machine) alive() bool { return h.state != nil && !h.frozen }

func (w *world) send(from *machine, asks []limiter.LoanRequest) {
	for _, a := range asks {
		to := w.shards[a.Lender].host
		if w.stale {
			to = w.shards[a.Lender].previous
		}
		w.post(packet{from: from.index, to: to, message: a})
	}
}

func (w *world) post(p packet) {
	copies := 1
	if w.random.Float64() < w.loss {
		copies = w.random.IntN(3)
	}
	if w.delay == 0 {
		w.deliver(p)
		return
	}
	for range copies {
		p.due = w.now + w.random.Int64N(w.delay+1)
		w.packets = append(w.packets, p)
	}
}

func (w *world) deliver(p packet) {
	from, to := w.hosts[p.from], w.hosts[p.to]
	switch {
	case w.cut[[2]sapphiredrum.ZoneName{from.zone, to.zone}] || to.state == nil:
	case to.frozen:
		to.inbox = append(to.inbox, p)
	default:
		switch m := p.message.(type) {
		case limiter.LoanRequest:
			w.post(packet{from: p.to, to: p.from, message: to.state.Lend(w.clock(to), m)})
		case limiter.Grant:
			to.state.Receive(w.clock(to), m)
		}
	}
}

// pass advances true time by the given milliseconds.
func (w *world) pass(length int64) {
	for end := w.now + length; w.now < end; {
		step := min(end-w.now, 1+w.random.Int64N(40))
		w.accrue(step)
		w.now += step
		due := []packet{}
		w.packets = slices.DeleteFunc(w.packets, func(p packet) bool {
			if p.due <= w.now {
				due = append(due, p)
			}
			return p.due <= w.now
		})
		for _, p := range due {
			w.deliver(p)
		}
		for _, h := range w.hosts {
			w.run(h)
		}
		if w.greedy {
			w.flood()
		}
	}
}

func (w *world) run(h *machine) {
	if !h.alive() {
		return
	}
	for i := h.sheet + 1; i < len(w.sheets) && w.sheets[i].reaches[h.index] <= w.now; i++ {
		h.state.Configure(w.clock(h), sapphiredrum.Revision(i+1), w.sheets[i].workspaces, w.sheets[i].zones)
		h.sheet = i
	}
	if w.now-h.renewed >= renewEvery {
		w.renew(h)
	}
	w.send(h, h.state.Tick(w.clock(h)))
}

// thaw resumes a frozen process. It reads the configuration first, then the queued
// messages; its lease is renewed only later.
func (w *world) thaw(h *machine) {
	h.frozen = false
	for i := h.sheet + 1; i < len(w.sheets) && w.sheets[i].reaches[h.index] <= w.now; i++ {
		h.state.Configure(w.clock(h), sapphiredrum.Revision(i+1), w.sheets[i].workspaces, w.sheets[i].zones)
		h.sheet = i
	}
	if w.greedy {
		w.flood()
	}
	inbox := h.inbox
	h.inbox = nil
	for _, p := range inbox {
		w.deliver(p)
	}
}
