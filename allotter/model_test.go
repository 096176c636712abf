package allotter

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/archiver"
)

// model is a fleet of hosts whose memory is lost when they die, over a linearizable store
// that each of them may lose. Turns of looping programs take tokens in every way there is, and
// hosts of earlier builds, which reserve and close in other ways, run beside the others.
//
// Tokens are delivered in events, which count whole: a turn's last event may take it beyond its
// limit. The model checks that the tokens delivered to a program stay within its budget and the most
// that one of its turns may be charged, that one
// host alone allots to a program, a share at most in each of its starts and maxStarts shares in all, and that
// a turn whose limit the budget holds, beside open turns at the most they may be charged, is refused only
// for what starts that have ended may have allotted to its program: what they have if that was planned, and
// a share otherwise.
type model struct {
	t       *rapid.T
	now     sd.Instant
	hosts   []*modelHost
	entries map[sd.HostID]modelEntry
	closed  map[archiver.Key]bool
	// settled is the row that the first settled host writes.
	settled bool
	version uint64
	// program is the one under way, account its row, and delivered what its callers have; longest
	// is the most that its longest turn so far may be charged. Each event counts event tokens.
	program   archiver.Key
	account   *archiver.Account
	event     sd.Tokens
	delivered sd.Tokens
	longest   sd.Tokens
	// overrun is what open turns at hosts of earlier builds may be charged beyond what they
	// have reserved.
	overrun sd.Tokens
	begun   sd.Instant
	// mixed is set if hosts of earlier builds may run.
	mixed  bool
	budget sd.Tokens
	// grantor is the host that has allotted to the program, and allotted what the starts of
	// that host have allotted and not had back.
	grantor  sd.HostID
	allotted map[sd.Incarnation]sd.Tokens
	// recorded is what starts have allotted to the program that ended as planned and said so, and
	// recordedStarts how many of those that have allotted to it did.
	recorded       sd.Tokens
	recordedStarts int
	turns          int
	// returns are messages under way.
	returns []modelReturn
	born    int
}

type modelEntry struct {
	Entry
	version uint64
}

// build is the version of a host's software.
type build int

const (
	current build = iota
	// unrounded hosts reserve the limits of turns, and deliver them in whole events.
	unrounded
	// oldest hosts do so too, hold back all shares and ask the grantor to close.
	oldest
)

type modelHost struct {
	*State
	// versions are those of the entries as last read.
	versions map[sd.HostID]uint64
	cut      bool
	// late is an entry that was written to the store without an answer, and may take effect later.
	late        *Entry
	lateVersion uint64
	build       build
	// rest is what the account of the program may reserve once this host has closed it.
	rest sd.Tokens
}

type modelReturn struct {
	to          sd.HostID
	program     archiver.Key
	incarnation sd.Incarnation
	tokens      sd.Tokens
}

func (m *model) start(i int) {
	m.born++
	h := &modelHost{State: NewState(sd.HostID(fmt.Sprint("h", i)), sd.Incarnation(m.born)), versions: map[sd.HostID]uint64{}}
	if m.mixed {
		h.build = rapid.SampledFrom([]build{current, unrounded, oldest, current}).Draw(m.t, "build")
	}
	if old := m.hosts[i]; old != nil {
		h.cut, h.late, h.lateVersion = old.cut, old.late, old.lateVersion
	}
	m.hosts[i] = h
}

// read brings a host's copy of the tables up to date, as of now or of an earlier send.
func (m *model) read(h *modelHost) {
	if h.cut {
		return
	}
	for host := range h.entries {
		if _, there := m.entries[host]; !there {
			h.RemoveEntry(host)
			delete(h.versions, host)
		}
	}
	for host, e := range m.entries {
		if h.build != current {
			// Earlier builds neither know nor write what is recorded.
			e.Recorded, e.Allotted = 0, nil
		}
		h.SetEntry(m.now, e.Entry)
		h.versions[host] = e.version
	}
	if m.settled {
		h.SetFleetSettled()
	}
	for p := range m.closed {
		h.SetClosed(p, true)
	}
	h.MarkRead(m.now)
}

// write writes the entry that a host has due; its answer or effect may be delayed.
func (m *model) write(h *modelHost) {
	e, due := h.NextEntry(m.now)
	if h.cut || !due {
		return
	}
	if rapid.IntRange(0, 9).Draw(m.t, "late write") == 0 {
		h.late, h.lateVersion = &e, h.versions[h.host]
		return
	}
	m.apply(e, h.versions[h.host])
}

func (m *model) apply(e Entry, expected uint64) {
	if m.entries[e.Host].version != expected || (expected == 0 && e.Phase == Starting && m.settled) {
		return
	}
	m.settled = m.settled || e.Phase == Settled
	m.version++
	m.entries[e.Host] = modelEntry{e, m.version}
}

// demand draws the limit of a turn, and works out the most that the turn may be charged.
func (m *model) demand() archiver.Demand {
	limit := rapid.SampledFrom([]sd.Tokens{60, 60, 30, 5}).Draw(m.t, "limit")
	most := (limit + m.event - 1) / m.event * m.event
	m.longest = max(m.longest, most)
	return archiver.Demand{Limit: limit, MaxCharge: most}
}

// reserveAndDeliver is a turn on a reservation; all of its limit may be delivered.
func (m *model) reserveAndDeliver(h *modelHost) {
	if h.cut {
		return
	}
	m.turns++
	demand := m.demand()
	hold := archiver.TurnKey("w", sd.CallID(fmt.Sprint(m.turns)))
	if !m.reserve(h, hold, demand) {
		m.judgeRefusal(h, hold, demand)
		return
	}
	used := m.use(demand.MaxCharge/m.event) * m.event
	m.deliver(used)
	if rapid.IntRange(0, 5).Draw(m.t, "settled") > 0 {
		m.account.Settle(hold, used)
	} else if h.build != current {
		m.overrun += demand.MaxCharge - demand.Limit
	}
}

// reserve reserves a turn's limit as an archive does.
func (m *model) reserve(h *modelHost, hold archiver.Key, demand archiver.Demand) bool {
	if h.build != current {
		demand.MaxCharge = demand.Limit
	}
	open, whole, reserved := reservable(m.budget, demand, maxStarts*Share(m.budget)), reservable(m.budget, demand, 0), demand.MaxCharge
	if h.build == oldest {
		open = m.budget - maxStarts*Share(m.budget)
	}
	if m.account.Reserve(hold, reserved, max(open, min(h.rest, whole))) {
		return true
	}
	needed := m.account.Spent + m.account.Reserved() + reserved
	if needed > whole {
		return false
	}
	if needed > h.rest {
		h.rest = max(h.rest, m.close(h, demand, needed))
	}
	return m.account.Reserve(hold, reserved, min(h.rest, whole))
}

// close closes the program and returns what its account may reserve, or zero.
func (m *model) close(h *modelHost, demand archiver.Demand, needed sd.Tokens) sd.Tokens {
	host := h.Grantor(m.program)
	switch {
	case h.build != oldest:
		rest, unchanged, known := h.ClosedByTable(m.now, m.program, m.budget, demand)
		if known && rest >= needed && m.unchanged(h, unchanged) && h.fleetSettled == m.settled {
			m.closed[m.program] = true
			return rest
		}
		host, _ = h.allotter(m.program)
	case !h.fleetSettled, h.entries[host].Phase == Starting && h.fresh(m.now):
		if m.settled != h.fleetSettled || h.fleetSettled && !m.unchanged(h, []sd.HostID{host}) {
			return 0
		}
		m.closed[m.program] = true
		return m.budget
	}
	grantor := m.host(host)
	if grantor == nil || grantor.cut || grantor.build == oldest && grantor.Grantor(m.program) != host {
		return 0
	}
	allotted, unchanged, ok := grantor.Close(m.now, m.program, m.budget)
	if !ok || grantor.build != oldest && !m.unchanged(grantor, unchanged) {
		return 0
	}
	m.closed[m.program] = true
	if h.build == oldest {
		return m.budget - allotted
	}
	return reservable(m.budget, demand, allotted)
}

// unchanged reports whether the entries of the hosts are those that a host has read.
func (m *model) unchanged(h *modelHost, hosts []sd.HostID) bool {
	return !slices.ContainsFunc(hosts, func(host sd.HostID) bool { return m.entries[host].version != h.versions[host] })
}

// judgeRefusal has a host and the grantor read the table, and tries once more. A turn that the
// budget holds, with all that was delivered and is under way, may be refused only for the shares of
// starts that have ended, or whose host is not reached.
func (m *model) judgeRefusal(h *modelHost, hold archiver.Key, demand archiver.Demand) {
	limit := demand.Limit
	if m.mixed || m.delivered+m.account.Reserved()+limit > m.budget {
		return
	}
	m.read(h)
	e := m.entries[m.allotterOf()]
	// What starts have allotted that ended as planned is known, that of others is a share.
	unknown, allotted := e.Starts-e.Recorded, m.recorded
	if grantor := m.host(e.Host); grantor != nil && !grantor.cut {
		m.read(grantor)
		if grantor.settled(m.now) {
			unknown--
			allotted += grantor.State.allotted[m.program].tokens
		}
	}
	if e.Phase == Settled {
		allotted += sd.Tokens(min(unknown, maxStarts)) * Share(m.budget)
	}
	needed := m.account.Spent + m.account.Reserved() + limit
	if held := max(allotted-limit, 0); needed+held <= m.budget && !m.reserve(h, hold, demand) {
		m.t.Fatalf("turn of %d refused with %d of %d needed and %d held back; entry %+v", limit, needed, m.budget, held, e)
	}
}

// allotterOf returns the host whose starts may have allotted to the program, as the store has it.
func (m *model) allotterOf() sd.HostID {
	var best sd.HostID
	for host, e := range m.entries {
		if e.Phase != Joining && (best == "" || rankOf(host, m.program) > rankOf(best, m.program)) {
			best = host
		}
	}
	return best
}

// allotAndDeliver is a turn, or a part of one, on an allotment from a host that this one
// takes for the program's grantor.
func (m *model) allotAndDeliver(h *modelHost) {
	grantor := m.host(h.Grantor(m.program))
	if rapid.IntRange(0, 3).Draw(m.t, "wrong host") == 0 {
		grantor = h
	}
	if grantor == nil {
		return
	}
	tokens := grantor.Allot(m.now, m.program, m.budget, 13, Share(m.budget))
	if tokens == 0 {
		return
	}
	used := m.use(tokens)
	if m.grantor == "" {
		m.grantor = grantor.State.host
	}
	m.allotted[grantor.incarnation] += used
	total := sd.Tokens(0)
	for _, tokens := range m.allotted {
		total += tokens
	}
	unrecorded := len(m.allotted) - m.recordedStarts
	if m.grantor != grantor.State.host || unrecorded > maxStarts || total > maxStarts*Share(m.budget) || m.allotted[grantor.incarnation] > Share(m.budget) {
		m.t.Fatalf("host %s has allotted to a program of %s; the starts of that have allotted %v", grantor.State.host, m.grantor, m.allotted)
	}
	m.deliver(used)
	if rapid.Bool().Draw(m.t, "returned") {
		m.returns = append(m.returns, modelReturn{grantor.State.host, m.program, grantor.incarnation, tokens - used})
	}
}

// use draws how many of the tokens are delivered: mostly all of them.
func (m *model) use(tokens sd.Tokens) sd.Tokens {
	if rapid.IntRange(0, 3).Draw(m.t, "whole") > 0 {
		return tokens
	}
	return sd.Tokens(rapid.IntRange(0, int(tokens)).Draw(m.t, "used"))
}

func (m *model) deliver(tokens sd.Tokens) {
	m.delivered += tokens
	if m.delivered > m.budget+m.longest+m.overrun {
		m.t.Fatalf("%d tokens delivered of a budget of %d, with turns of %d at most and %d beyond the reservations of earlier builds", m.delivered, m.budget, m.longest, m.overrun)
	}
}

func (m *model) host(id sd.HostID) *modelHost {
	for _, h := range m.hosts {
		if h.State.host == id {
			return h
		}
	}
	return nil
}

// begin replaces the program by a new one.
func (m *model) begin() {
	m.turns++
	m.program = archiver.ProgramKey("w", sd.ProgramID(fmt.Sprint("p", m.turns)))
	m.account, m.delivered, m.longest, m.overrun, m.begun = &archiver.Account{}, 0, 0, 0, m.now
	m.grantor, m.allotted, m.recorded, m.recordedStarts = "", map[sd.Incarnation]sd.Tokens{}, 0, 0
	m.budget = rapid.SampledFrom([]sd.Tokens{500, 500, 200, 137}).Draw(m.t, "budget")
	m.event = rapid.SampledFrom([]sd.Tokens{1, 14, 14, 60}).Draw(m.t, "tokens per event")
	for _, h := range m.hosts {
		h.rest = 0
	}
}

// settle lets the fleet start and its hosts become grantors.
func (m *model) settle() {
	for range 3 {
		for _, h := range m.hosts {
			m.read(h)
			m.write(h)
		}
		m.now = m.now.Add(startTime + 1)
	}
	for _, h := range m.hosts {
		m.read(h)
	}
}

// Looping programs take tokens through all hosts at once while the store goes and comes,
// hosts lose the store, die, start again and join, all of them lose power, and messages and
// writes come late. The sum that is delivered stays within each budget and one turn. Guards also
// against turns that are refused though their budget holds them: after a host was added or
// removed, after kills, and as turns of a program run in parallel.
func TestBudgetsHoldWhateverHostsKnow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, now: sd.Instant(sd.Hour), entries: map[sd.HostID]modelEntry{}, closed: map[archiver.Key]bool{},
			mixed: rapid.IntRange(0, 2).Draw(t, "mixed builds") == 0,
		}
		m.begin()
		m.hosts = make([]*modelHost, rapid.IntRange(1, 3).Draw(t, "hosts"))
		for i := range m.hosts {
			m.start(i)
		}
		if rapid.IntRange(0, 3).Draw(t, "settled fleet") > 0 {
			m.settle()
		}
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			m.step()
		}
	})
}

func (m *model) step() {
	if m.now.Since(m.begun) >= programLife {
		m.begin()
	}
	i := rapid.IntRange(0, len(m.hosts)-1).Draw(m.t, "host")
	h := m.hosts[i]
	switch action := rapid.IntRange(0, 39).Draw(m.t, "action"); {
	case action < 10:
		m.allotAndDeliver(h)
	case action < 14:
		m.reserveAndDeliver(h)
	case action < 18:
		m.read(h)
	case action < 20:
		m.write(h)
	case action < 22:
		m.mature(h)
	case action < 23:
		m.now = m.now.Add(sd.Millis(rapid.SampledFrom([]sd.Millis{1, startTime / 2, startTime, leaseTime / 2, leaseTime}).Draw(m.t, "time")))
	case action < 24:
		m.now = m.now.Add(programLife)
		m.begin()
	case action < 25:
		h.cut = !h.cut
	case action < 26:
		away := rapid.Bool().Draw(m.t, "store away")
		for _, other := range m.hosts {
			other.cut = away
		}
	case action < 28:
		m.restart(i)
	case action < 29:
		m.leave(h)
		if rapid.Bool().Draw(m.t, "ends") {
			m.restart(i)
		}
	case action < 30:
		for j := range m.hosts {
			m.restart(j)
		}
	case action < 31:
		if len(m.hosts) < 5 {
			m.hosts = append(m.hosts, nil)
			m.restart(len(m.hosts) - 1)
		}
	case action < 32:
		if h.late != nil {
			m.apply(*h.late, h.lateVersion)
			h.late = nil
		}
	case len(m.returns) > 0:
		n := rapid.IntRange(0, len(m.returns)-1).Draw(m.t, "return")
		r := m.returns[n]
		m.returns = slices.Delete(m.returns, n, n+1)
		if to := m.host(r.to); to != nil {
			to.Return(r.program, r.incarnation, r.tokens)
		}
	}
}

// leave has a host stop as planned.
func (m *model) leave(h *modelHost) {
	e, due := h.Leave(m.now)
	if !due || h.cut || h.build != current && len(h.State.allotted) > 0 {
		return
	}
	if m.apply(e, h.versions[h.host]); m.entries[e.Host].Incarnation == e.Incarnation && m.entries[e.Host].Recorded == e.Recorded {
		m.recorded += h.State.allotted[m.program].tokens
		if _, has := m.allotted[e.Incarnation]; has {
			m.recordedStarts++
		}
	}
}

// mature gives a host the time to become settled.
func (m *model) mature(h *modelHost) {
	m.read(h)
	m.write(h)
	m.now = m.now.Add(rapid.SampledFrom([]sd.Millis{startTime, startTime, joinTime}).Draw(m.t, "time") + 1)
	m.read(h)
	m.write(h)
	m.now++
	m.read(h)
}

// restart starts a host, which mostly reads the table and writes its entry at once.
func (m *model) restart(i int) {
	m.start(i)
	if rapid.IntRange(0, 2).Draw(m.t, "at once") > 0 {
		m.read(m.hosts[i])
		m.write(m.hosts[i])
		m.read(m.hosts[i])
	}
}
