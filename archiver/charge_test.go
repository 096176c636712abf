package archiver

import (
	"fmt"
	"testing"

	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	sd "sapphiredrum.example/sapphiredrum"
)

// chargeModel is a program of many turns under way at once, whose operations go through two
// hosts' batchers in turn. Responses of the store are lost, in series, after transactions that were and were
// not applied, or that are applied late; and senders that wait in vain send their operations to the other
// batcher as well. An oracle adds up what the turns have used.
type chargeModel struct {
	t       *rapid.T
	store   *modelStore
	lanes   [2]*Batcher
	now     sd.Instant
	program Key
	turns   map[*Operation]*chargedTurn
	running []*chargedTurn
	// trouble is the fate of the next transactions, for so many of them.
	trouble  string
	troubled int
	// asked counts the turns, used is what those that have ended have used, and settled counts them.
	asked, settled int
	used, budget   sd.Tokens
}

// chargedTurn is a turn, or an attempt to reserve for one.
type chargedTurn struct {
	hold Key
	// abandoned attempts are cancelled.
	abandoned bool
	ended     bool
}

// chargedMost is the most that a turn of the model may be charged.
const chargedMost = sd.Tokens(10)

func (m *chargeModel) lane() *Batcher {
	return m.lanes[rapid.IntRange(0, 1).Draw(m.t, "lane")]
}

// reserve asks a batcher for the reservations of some turns.
func (m *chargeModel) reserve() {
	lane := m.lane()
	for range rapid.SampledFrom([]int{1, 5, 30, 60}).Draw(m.t, "turns") {
		m.asked++
		tr := &chargedTurn{hold: digest("hold", "", fmt.Sprint(m.asked))}
		o := &Operation{Kind: Reserve, Program: m.program, Hold: tr.hold, Tokens: chargedMost, Budget: m.budget}
		m.turns[o] = tr
		lane.Add(o)
	}
}

// settle ends the oldest turns under way, most of them at one batcher.
func (m *chargeModel) settle() {
	lane := m.lane()
	n := min(len(m.running), rapid.SampledFrom([]int{1, 5, 30, 60}).Draw(m.t, "turns"))
	kept := rapid.IntRange(0, 3).Draw(m.t, "kept") == 0
	for _, tr := range m.running[:n] {
		used := sd.Tokens(rapid.IntRange(0, int(chargedMost)).Draw(m.t, "used"))
		m.used += used
		m.settled++
		o := &Operation{Kind: Settle, Program: m.program, Hold: tr.hold, Tokens: used}
		if kept {
			o.Turn = &Turn{Program: m.program, Key: tr.hold, Input: []byte("x")}
		}
		m.turns[o] = tr
		lane.Add(o)
	}
	m.running = m.running[n:]
}

// sendAgain has the senders of a batcher's Settles wait in vain: they send them to the other one too.
func (m *chargeModel) sendAgain() {
	i := rapid.IntRange(0, 1).Draw(m.t, "lane")
	waiting := m.lanes[i].pending
	if b := m.lanes[i].batch; b != nil {
		waiting = append(append([]*Operation{}, waiting...), b.operations...)
	}
	for _, o := range waiting {
		if o.Kind == Settle && !m.turns[o].ended {
			again := *o
			again.maybeApplied = false
			m.turns[&again] = m.turns[o]
			m.lanes[1-i].Add(&again)
		}
	}
}

// abandon cancels reservations that wait at a batcher, at the other one too. The first may not know.
func (m *chargeModel) abandon() {
	i := rapid.IntRange(0, 1).Draw(m.t, "lane")
	known := rapid.Bool().Draw(m.t, "known")
	for _, o := range m.lanes[i].pending {
		if tr := m.turns[o]; o.Kind == Reserve && !tr.abandoned {
			tr.abandoned = true
			if known {
				o.Deadline = m.now
			}
			m.lanes[1-i].Add(&Operation{Kind: Cancel, Program: m.program, Hold: o.Hold})
		}
	}
}

// drop has senders give up waiting for the ends of kept turns at a batcher.
func (m *chargeModel) drop() {
	lane := m.lane()
	waiting := lane.pending
	if lane.batch != nil {
		waiting = append(append([]*Operation{}, waiting...), lane.batch.operations...)
	}
	for _, o := range waiting {
		if o.Kind == Settle && o.Turn != nil {
			lane.DropTurn(o)
		}
	}
}

func (m *chargeModel) finish(ended []Completion) {
	for _, e := range ended {
		tr := m.turns[e.Operation]
		switch {
		case tr == nil:
		case e.Operation.Kind == Settle:
			if tr.ended = true; e.Err != nil {
				m.t.Fatalf("Settle failed: %v", e.Err)
			}
		case tr.abandoned:
		case errorx.IsOfType(e.Err, BudgetExhausted):
			m.t.Fatalf("reservation refused although the budget of %d holds all turns: %v", m.budget, e.Err)
		case e.Err != nil:
			m.t.Fatalf("Reserve failed: %v", e.Err)
		default:
			m.running = append(m.running, tr)
		}
	}
}

// step sends a batcher's next transaction. It returns false if there is none.
func (m *chargeModel) step(lane *Batcher, calm bool) bool {
	m.finish(lane.Expire(m.now))
	update, due := lane.Next(m.now)
	if !due {
		return false
	}
	if !calm && rapid.IntRange(0, 9).Draw(m.t, "given up") == 0 {
		m.drop()
	}
	if m.troubled--; m.troubled < 0 {
		m.trouble = "done"
	}
	fate := m.trouble
	if calm {
		fate = "done"
	}
	switch fate {
	case "done":
		page, err := m.store.apply(update)
		m.finish(lane.Complete(m.now, page, err))
	case "lost":
		_, _ = m.store.apply(update)
		m.finish(lane.Complete(m.now, sd.Page{}, sd.Uncertain.New("lost")))
	case "not done":
		m.finish(lane.Complete(m.now, sd.Page{}, sd.Uncertain.New("not done")))
	case "late":
		m.store.late = append(m.store.late, update)
		m.finish(lane.Complete(m.now, sd.Page{}, sd.Uncertain.New("late")))
	}
	return true
}

func (m *chargeModel) late() {
	if len(m.store.late) > 0 {
		_, _ = m.store.apply(m.store.late[0])
		m.store.late = m.store.late[1:]
	}
}

func (m *chargeModel) account() Account {
	account, err := DecodeAccount(m.store.rows[accountRecordKey("p0", m.program)].Value)
	if err != nil {
		m.t.Fatal(err)
	}
	return account
}

// Guards against turns that are charged twice, and programs that are then told that their budget is
// spent, as many turns of a program end while responses of the store are lost: an account listed the last
// reservations that had ended, and charged those again that it no longer listed. Guards also against
// reservations that stay open because they arrive after their end was pushed out of that list.
func TestWideProgramsAreChargedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &chargeModel{
			t: t, store: &modelStore{rows: map[sd.RecordKey]sd.Record{}}, lanes: [2]*Batcher{{Part: "p0"}, {Part: "p0"}},
			now: 1, program: Key{0, 1}, turns: map[*Operation]*chargedTurn{},
		}
		const most = 200
		m.budget = 100 * most * chargedMost
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			m.now++
			switch action := rapid.IntRange(0, 19).Draw(t, "action"); {
			case action < 3:
				if m.asked-m.settled < most {
					m.reserve()
				}
			case action < 6:
				m.settle()
			case action < 14:
				m.step(m.lane(), false)
			case action < 15:
				m.late()
			case action < 16:
				m.sendAgain()
			case action < 17:
				m.abandon()
			default:
				m.trouble = rapid.SampledFrom([]string{"lost", "not done", "late", "done"}).Draw(t, "trouble")
				m.troubled = rapid.IntRange(1, 4).Draw(t, "transactions")
			}
		}
		for calm := 0; calm < 400; calm++ {
			m.now++
			a, b := m.step(m.lanes[0], true), m.step(m.lanes[1], true)
			if !a && !b {
				break
			}
		}
		for len(m.store.late) > 0 {
			m.late()
		}
		if m.asked == 0 {
			return
		}
		account := m.account()
		if reserved := sd.Tokens(len(m.running)) * chargedMost; account.Spent != m.used || account.Reserved() != reserved {
			t.Fatalf("spent %d, reserved %d; %d turns have used %d, and %d are under way", account.Spent, account.Reserved(), m.settled, m.used, len(m.running))
		}
	})
}
