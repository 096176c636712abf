package recorder_test

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	root "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/keeper"
)

// Several hosts with the shipped decision code share programs under faults:
// kills between any two steps, takeovers beside owners that go on, platform
// failures, lost answers, commits that land late, stale reads, lost and doubled
// copies, callers who repeat, hang up, name wrong heads, children, cancels.
func TestOrderHistoryBudgetOnce(t *testing.T) {
	steps, sends, told, takes := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{world: newWorld(t, rapid.Bool().Draw(t, "copying"))}
		for i := range m.hosts {
			if m.copying {
				m.repeer(m.hosts[i], (i+1)%len(m.hosts))
			}
		}
		m.calm(t)
		actions := map[string]func(*rapid.T){
			"":        func(*rapid.T) { steps++ },
			"write":   m.write,
			"write2":  m.write,
			"write3":  m.write,
			"read":    m.read,
			"restore": m.restoreAny,
			"take":    m.take,
			"kill":    m.killAny,
			"copy":    m.copyAny,
			"deliver": m.deliver,
			"peer":    m.changePeer,
			"land":    m.land,
			"create":  m.create,
			"call":    m.submit,
			"call2":   m.submit,
			"again":   m.resubmit,
			"step":    m.step,
			"step2":   m.step,
			"step3":   m.step,
			"hangup":  m.hang,
			"misuse":  m.misuse,
			"lapse":   m.lapse,
			"bury":    m.bury,
			"yield":   m.yield,
			"renew":   func(t *rapid.T) { m.renew(m.host(t)) },
			"stop":    m.stopAny,
			"tick":    m.tick,
			"calm":    m.calm,
			"calm2":   m.calm,
			"work":    m.work,
			"work2":   m.work,
			"work3":   m.work,
		}
		for range rounds {
			t.Repeat(actions)
		}
		m.recover(t)
		sends, told, takes = sends+m.oracle.sends, told+m.oracle.told, takes+m.oracle.takes
	})
	t.Logf("%d steps, %d calls sent, %d answers told, %d takeovers", steps, sends, told, takes)
}

// machine draws the actions of the state machine.
type machine struct{ *world }

func (m *machine) host(t *rapid.T) *host {
	return rapid.SampledFrom(m.hosts).Draw(t, "host")
}

// near returns mostly the owner of the program's shard, else any host.
func (m *machine) near(t *rapid.T, id root.ProgramID) *host {
	shard, _ := id.Shard()
	if h := m.owners[shard]; h.alive && rapid.IntRange(0, 4).Draw(t, "near") > 0 {
		return h
	}
	return m.host(t)
}

func (m *machine) program(t *rapid.T) *program {
	if len(m.oracle.programs) == 0 {
		t.Skip("no program")
	}
	return rapid.SampledFrom(m.oracle.programs).Draw(t, "program")
}

func (m *machine) fault(t *rapid.T) fault {
	return rapid.SampledFrom([]fault{healthy, healthy, healthy, healthy, refused, lostAfter, lostBefore, stale}).Draw(t, "fault")
}

func (m *machine) write(t *rapid.T) {
	m.now += root.Instant(rapid.IntRange(0, 40).Draw(t, "time"))
	m.lane(m.host(t), false, m.fault(t), rapid.Bool().Draw(t, "later"))
}

func (m *machine) read(t *rapid.T) {
	m.lane(m.host(t), true, m.fault(t), rapid.Bool().Draw(t, "later"))
}

// calm lets the hosts work without faults for a while.
func (m *machine) calm(t *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(t, "rounds") {
		m.round()
	}
}

// round lets every host do one step of each kind and delivers all messages.
func (m *machine) round() {
	m.now += 30
	for _, h := range m.hosts {
		m.lane(h, false, healthy, false)
		m.lane(h, true, healthy, false)
		m.restore(h)
		for _, shard := range shards {
			m.copy(h, shard)
		}
	}
	for len(m.net) > 0 {
		m.pass(0)
	}
}

// recover ends all faults: one host takes both shards over and must get there.
func (m *machine) recover(t *rapid.T) {
	for _, shard := range shards {
		m.claim(m.hosts[0], shard)
	}
	for range 300 {
		m.round()
	}
	for _, shard := range shards {
		if epoch, _ := m.hosts[0].shelf.Image(shard); epoch != m.epochs[shard] {
			t.Fatalf("%s does not get shard %v", m.hosts[0], shard)
		}
	}
	if !m.hosts[0].state.Idle() {
		t.Fatalf("%s has not stored everything", m.hosts[0])
	}
}

func (m *machine) restoreAny(t *rapid.T) { m.restore(m.host(t)) }

// work submits a call and lets its host bring it as far as it goes.
func (m *machine) work(t *rapid.T) {
	m.submit(t)
	for range rapid.IntRange(1, 12).Draw(t, "steps") {
		m.calm(t)
		for _, h := range m.hosts {
			for _, f := range slices.Clone(h.flows) {
				m.advance(h, f, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") })
			}
		}
	}
}

func (m *machine) take(t *rapid.T) {
	if rapid.IntRange(0, 2).Draw(t, "take") > 0 {
		return
	}
	m.claim(m.host(t), rapid.SampledFrom(shards).Draw(t, "shard"))
}

func (m *machine) killAny(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "kill") == 0 {
		m.kill(rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host"))
	}
}

func (m *machine) copyAny(t *rapid.T) {
	m.copy(m.host(t), rapid.SampledFrom(shards).Draw(t, "shard"))
}

// deliver passes one message on, perhaps twice, or loses it.
func (m *machine) deliver(t *rapid.T) {
	if len(m.net) == 0 {
		t.Skip("no message")
	}
	index := rapid.IntRange(0, len(m.net)-1).Draw(t, "message")
	switch rapid.IntRange(0, 5).Draw(t, "fate") {
	case 0:
		m.net = append(m.net[:index], m.net[index+1:]...)
	case 1:
		m.net = append(m.net, m.net[index])
		m.pass(index)
	default:
		m.pass(index)
	}
}

func (m *machine) pass(index int) {
	message := m.net[index]
	m.net = append(m.net[:index:index], m.net[index+1:]...)
	if h := m.find(message.to); h != nil {
		message.deliver(h)
	}
}

func (m *machine) changePeer(t *rapid.T) {
	if m.copying {
		m.repeer(m.host(t), rapid.IntRange(0, len(m.hosts)-1).Draw(t, "peer"))
	}
}

// land lets a commit take effect whose sender has given its answer up.
func (m *machine) land(t *rapid.T) {
	if late := m.platform.late; len(late) > 0 {
		index := rapid.IntRange(0, len(late)-1).Draw(t, "late")
		_ = m.platform.commit(late[index])
		m.platform.late = append(late[:index:index], late[index+1:]...)
	}
}

func (m *machine) create(t *rapid.T) {
	if len(m.oracle.programs) > 12 {
		t.Skip("enough programs")
	}
	shard := rapid.SampledFrom(shards).Draw(t, "shard")
	m.serial++
	p := &program{
		id:     root.ProgramID(shard.String() + "." + itoa(m.serial)),
		budget: root.Tokens(rapid.IntRange(20, 1500).Draw(t, "budget")), turns: make(map[keeper.Head]turn),
		safe: make(map[keeper.Head]bool),
	}
	creation := keeper.Creation{Program: p.id, Workspace: "w", Budget: p.budget}
	if len(m.oracle.programs) > 0 && rapid.Bool().Draw(t, "child") {
		p.parent = m.program(t)
		shard, _ = p.parent.id.Shard()
		p.id = root.ProgramID(shard.String() + "." + itoa(m.serial))
		creation.Program, creation.Parent = p.id, p.parent.id
	}
	h := m.near(t, p.id)
	status, err := h.shelf.Create(m.now, creation)
	if err != nil {
		return
	}
	m.oracle.programs = append(m.oracle.programs, p)
	m.log("%s creates %s below %q as record %d", h, p.id, creation.Parent, status.Number)
	m.drain(h)
	m.await(h, &flow{host: h}, status.Tree, status.Epoch, status.Number, func(*oracle) {
		m.log("%s: creation of %s is told", h, p.id)
		p.acknowledged = true
	})
}

func (m *machine) submit(t *rapid.T) {
	p := m.program(t)
	m.serial++
	c := &call{
		program: p, id: root.CallID("c" + itoa(m.serial)), service: rapid.Bool().Draw(t, "service"),
		idempotent: true, limit: root.Tokens(rapid.IntRange(1, 80).Draw(t, "limit")),
	}
	c.digest = keeper.DigestOf(string(c.id))
	if c.service {
		c.idempotent = rapid.Bool().Draw(t, "idempotent")
	} else {
		c.messages = []root.Message{{Role: "user", Content: string(c.id) + strings.Repeat("y", rapid.IntRange(0, 20).Draw(t, "length"))}}
	}
	p.calls = append(p.calls, c)
	m.begin(m.near(t, p.id), c, m.head(t, p))
}

func (m *machine) resubmit(t *rapid.T) {
	p := m.program(t)
	if len(p.calls) == 0 {
		t.Skip("no call")
	}
	c := rapid.SampledFrom(p.calls).Draw(t, "call")
	m.begin(m.near(t, p.id), c, m.head(t, p))
}

// misuse submits another request under the identifier of an earlier call.
func (m *machine) misuse(t *rapid.T) {
	p := m.program(t)
	if len(p.calls) == 0 {
		t.Skip("no call")
	}
	other := *rapid.SampledFrom(p.calls).Draw(t, "call")
	if !other.idempotent {
		t.Skip("not repeatable")
	}
	m.serial++
	other.answered, other.digest = false, keeper.DigestOf(string(other.id), itoa(m.serial))
	m.begin(m.near(t, p.id), &other, m.head(t, p))
}

// lapse makes a host drop a shard whose lease it could not renew.
func (m *machine) lapse(t *rapid.T) {
	h, shard := m.host(t), rapid.SampledFrom(shards).Draw(t, "shard")
	if m.owners[shard] == h || rapid.IntRange(0, 3).Draw(t, "lapse") > 0 {
		return
	}
	m.drain(h)
	m.happened(h, h.shelf.Lose(shard))
	delete(h.boxes, shard)
}

// bury lets a host delete what a killed process has left.
func (m *machine) bury(t *rapid.T) {
	if len(m.dead) > 0 {
		dead := rapid.SampledFrom(m.dead).Draw(t, "dead")
		m.host(t).state.Bury(dead.name, dead.inc, "z")
	}
}

// yield prepares a hand-over that a later claim completes, or not.
func (m *machine) yield(t *rapid.T) {
	if rapid.IntRange(0, 11).Draw(t, "yield") == 0 {
		shard := rapid.SampledFrom(shards).Draw(t, "shard")
		m.owners[shard].shelf.Yield(shard)
		m.drain(m.owners[shard])
	}
}

// head draws the head that a call names: none, the latest told, or a wrong one.
func (m *machine) head(t *rapid.T, p *program) *keeper.Head {
	switch rapid.IntRange(0, 5).Draw(t, "head") {
	case 0, 1, 2:
		return &p.tip
	case 3:
		return &keeper.Head{Turn: p.tip.Turn, Digest: keeper.DigestOf("wrong")}
	}
	return nil
}

func (m *machine) flow(t *rapid.T) (*host, *flow) {
	h := m.host(t)
	if len(h.flows) == 0 {
		t.Skip("no call")
	}
	return h, rapid.SampledFrom(h.flows).Draw(t, "flow")
}

func (m *machine) step(t *rapid.T) {
	h, f := m.flow(t)
	m.advance(h, f, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") })
}

func (m *machine) hang(t *rapid.T) {
	h, f := m.flow(t)
	m.hangUp(h, f)
}

func (m *machine) stopAny(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "stop") == 0 {
		p := m.program(t)
		m.stop(t, m.near(t, p.id), p)
	}
}

// tick passes time and lets the hosts expire what is due.
func (m *machine) tick(t *rapid.T) {
	m.now += root.Instant(rapid.IntRange(0, 4000).Draw(t, "time"))
	h := m.host(t)
	m.recorded(h, h.state.Tick(m.now))
	m.happened(h, h.shelf.Expire(m.now).Events)
	m.drain(h)
}

// rounds is how many runs of rapid's steps make one case.
const rounds = 8
