package faker_test

import (
	"context"
	"strconv"
	"testing"

	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
)

// reading is an answer being read and the call it must belong to.
type reading struct {
	call   sapphiredrum.EngineCall
	answer sapphiredrum.ResponseStream
	text   string
	length sapphiredrum.Tokens
}

// engineMachine drives an engine on a clock of its own.
type engineMachine struct {
	now      sapphiredrum.Instant
	engine   *faker.Engine
	settings faker.EngineSettings
	started  int
	fence    sapphiredrum.Epoch
	readings []*reading
	// history is what each program's next call continues.
	history map[sapphiredrum.ProgramID][]sapphiredrum.Message
}

// Answers belong to their calls, memory stays in bounds, the batch is never
// exceeded and every call is accounted for, whatever the order of operations.
func TestEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newEngineMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"start": m.start,
			"wait":  func(t *rapid.T) { m.now = m.now.Add(sapphiredrum.Millis(rapid.IntRange(1, 40).Draw(t, "wait"))) },
			"read":  m.read,
			"stop":  m.stop,
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					m.engine.Restart()
					m.fence = 0
				}
			},
			"release": m.release,
			"":        m.check,
		})
	})
}

func newEngineMachine(t *rapid.T) *engineMachine {
	m := &engineMachine{now: sapphiredrum.Instant(sapphiredrum.Hour), history: map[sapphiredrum.ProgramID][]sapphiredrum.Message{}}
	m.settings = faker.EngineSettings{
		Slots:    sapphiredrum.Slots(rapid.IntRange(1, 4).Draw(t, "slots")),
		Cold:     1,
		Ramp:     50,
		Collapse: rapid.Bool().Draw(t, "collapse"),
		Memory:   sapphiredrum.Tokens(rapid.IntRange(0, 40).Draw(t, "memory")),
		Token:    faker.Pace(rapid.Float64Range(0, 5).Draw(t, "token")),
		Prefill:  0.5,
		Slowdown: 0.1,
		Words:    8,
		Fenced:   rapid.Bool().Draw(t, "fenced"),
	}
	m.engine = faker.NewEngine(sapphiredrum.Clock{Source: func() sapphiredrum.Instant { return m.now }}, m.settings)
	return m
}

func (m *engineMachine) drawProgram(t *rapid.T) sapphiredrum.ProgramID {
	return sapphiredrum.ProgramID(rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "program"))
}

func (m *engineMachine) start(t *rapid.T) {
	m.started++
	program := m.drawProgram(t)
	word := rapid.StringMatching(`[a-z]{1,3}( [a-z]{1,3}){0,3}`).Draw(t, "content")
	messages := append(m.history[program][:len(m.history[program]):len(m.history[program])], sapphiredrum.Message{Role: "user", Content: word})
	call := sapphiredrum.EngineCall{
		Stream:   sapphiredrum.StreamID("s" + strconv.Itoa(m.started)),
		Program:  program,
		Fence:    sapphiredrum.Epoch(rapid.IntRange(0, 3).Draw(t, "fence")),
		Messages: messages,
		Limit:    sapphiredrum.Tokens(rapid.IntRange(0, 10).Draw(t, "limit")),
	}
	answer, err := m.engine.Start(context.Background(), call)
	if m.settings.Fenced && call.Fence < m.fence {
		expectType(t, err, sapphiredrum.Fenced)
		return
	}
	m.fence = max(m.fence, call.Fence)
	length := m.settings.Words
	if call.Limit > 0 && call.Limit < length {
		length = call.Limit
	}
	m.readings = append(m.readings, &reading{call: call, answer: answer, length: length})
}

// read reads what an answer has by now, without waiting.
func (m *engineMachine) read(t *rapid.T) {
	if len(m.readings) == 0 {
		t.Skip("nothing to read")
	}
	i := rapid.IntRange(0, len(m.readings)-1).Draw(t, "reading")
	r := m.readings[i]
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for {
		piece, err := r.answer.Next(ended)
		if errorx.IsOfType(err, sapphiredrum.EndOfStream) {
			if r.text != faker.Text(r.call.Messages, r.length) {
				t.Fatalf("%s ended with %q", r.call.Stream, r.text)
			}
			m.history[r.call.Program] = append(r.call.Messages, sapphiredrum.Message{Role: faker.Role, Content: r.text})
			m.readings = append(m.readings[:i], m.readings[i+1:]...)
		}
		if err != nil {
			return
		}
		r.text += piece.Text
		if r.text != faker.Text(r.call.Messages, piece.Offset+piece.Count) {
			t.Fatalf("%s reads %q", r.call.Stream, r.text)
		}
	}
}

func (m *engineMachine) stop(t *rapid.T) {
	if len(m.readings) == 0 {
		t.Skip("nothing to stop")
	}
	i := rapid.IntRange(0, len(m.readings)-1).Draw(t, "reading")
	stream := m.readings[i].call.Stream
	if err := m.engine.Cancel(context.Background(), stream); err != nil {
		t.Fatal(err)
	}
	_, err := m.engine.Resume(context.Background(), stream, 0)
	expectType(t, err, sapphiredrum.NotFound)
	m.readings = append(m.readings[:i], m.readings[i+1:]...)
}

func (m *engineMachine) release(t *rapid.T) {
	program := m.drawProgram(t)
	if err := m.engine.Release(context.Background(), program, m.fence); err != nil {
		t.Fatal(err)
	}
	for _, held := range m.engine.Counters().Programs {
		if held == program {
			t.Fatalf("%s is still held", program)
		}
	}
}

func (m *engineMachine) check(t *rapid.T) {
	c := m.engine.Counters()
	if c.Running > m.settings.Slots || c.Peak > m.settings.Slots {
		t.Fatalf("%d of %d slots run", c.Running, m.settings.Slots)
	}
	if c.Starts != c.Finished+c.Broken+uint64(c.Running+c.Waiting) {
		t.Fatalf("calls are not accounted for: %+v", c)
	}
	if m.settings.Memory > 0 && c.Running == 0 && c.Held > m.settings.Memory {
		t.Fatalf("%d tokens held for %v", c.Held, c.Programs)
	}
	if len(c.Programs) == 0 && c.Held != 0 {
		t.Fatalf("%d tokens held for nobody", c.Held)
	}
}

// A cold engine counts, and with Collapse breaks, what it does not bear; under
// work it warms up along its ramp and then bears a full batch.
func TestEngineRamp(t *testing.T) {
	for _, collapse := range []bool{false, true} {
		now := sapphiredrum.Instant(sapphiredrum.Hour)
		clock := sapphiredrum.Clock{Source: func() sapphiredrum.Instant { return now }}
		engine := faker.NewEngine(clock, faker.EngineSettings{Slots: 5, Cold: 1, Ramp: 100, Token: 1, Words: 1000, Collapse: collapse})
		start := func(stream string) {
			if _, err := engine.Start(context.Background(), sapphiredrum.EngineCall{Stream: sapphiredrum.StreamID(stream)}); err != nil {
				t.Fatal(err)
			}
		}
		for i := range 4 {
			now = now.Add(1000)
			engine.Restart()
			start("first")
			now = now.Add(sapphiredrum.Millis(25*i + 24))
			for extra := range i {
				start("borne" + strconv.Itoa(extra))
			}
			if c := engine.Counters(); c.Overloads != uint64(i) || int(c.Running) != i+1 {
				t.Fatalf("after %d ms: %+v", 25*i+24, c)
			}
			start("beyond")
			c := engine.Counters()
			if c.Overloads != uint64(i+1) || (c.Running == 0) != collapse || (c.Collapses > 0) != collapse {
				t.Fatalf("after %d ms, collapse %v: %+v", 25*i+24, collapse, c)
			}
		}
		engine.Restart()
		start("only")
		now = now.Add(100)
		for range 20 {
			start("warm" + strconv.Itoa(int(engine.Counters().Starts)))
		}
		if c := engine.Counters(); c.Overloads != 4 || c.Running != 5 || c.Waiting != 16 {
			t.Fatalf("warm: %+v", c)
		}
	}
}

// Load reports lag, cache events are late and each Gap-th is lost.
func TestEngineReports(t *testing.T) {
	now := sapphiredrum.Instant(sapphiredrum.Hour)
	clock := sapphiredrum.Clock{Source: func() sapphiredrum.Instant { return now }}
	engine := faker.NewEngine(clock, faker.EngineSettings{Token: 1e6, Lag: 100, Delay: 50, Gap: 2})
	ctx := context.Background()
	running := func() sapphiredrum.Slots {
		load, err := engine.Load(ctx, true)
		if err != nil {
			t.Fatal(err)
		}
		return load.Running
	}
	before := running()
	for _, program := range []sapphiredrum.ProgramID{"p", "q", "r"} {
		if _, err := engine.Start(ctx, sapphiredrum.EngineCall{Stream: sapphiredrum.StreamID(program), Program: program}); err != nil {
			t.Fatal(err)
		}
	}
	events, _ := engine.Events(ctx, 0)
	if before != 0 || running() != 0 || len(events) != 0 {
		t.Fatalf("%d calls and %d events at once", running(), len(events))
	}
	now = now.Add(100)
	events, _ = engine.Events(ctx, 0)
	rest, _ := engine.Events(ctx, 1)
	if running() != 3 || len(events) != 2 || events[0].Program != "p" || events[1].Program != "r" || len(rest) != 1 {
		t.Fatalf("later: %d calls, events %v, %v", running(), events, rest)
	}
}
