package dispatcher_test

import (
	"context"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/dispatcher"
)

// flaky is an engine whose answers break, repeat pieces, skip pieces and lose
// their first line, as a list of drawn faults says.
type flaky struct {
	sd.Engine
	total     sd.Tokens
	faults    []int
	starts    int
	running   bool
	cancelled bool
}

const (
	faultNone = iota
	faultRefuseStart
	faultLoseStart
	faultCut
	faultRepeat
	faultGap
	faultKinds
)

func (f *flaky) next() int {
	if len(f.faults) == 0 {
		return faultNone
	}
	fault := f.faults[0]
	f.faults = f.faults[1:]
	return fault
}

func (f *flaky) Start(_ context.Context, _ sd.EngineCall) (sd.ResponseStream, error) {
	fault := f.next()
	if fault == faultRefuseStart {
		return nil, sd.Unavailable.New("no connection")
	}
	f.starts++
	f.running = true
	if fault == faultLoseStart {
		return nil, sd.Uncertain.New("no first line")
	}
	return &pieces{engine: f}, nil
}

func (f *flaky) Resume(_ context.Context, _ sd.StreamID, offset sd.Tokens) (sd.ResponseStream, error) {
	if !f.running {
		return nil, sd.NotFound.New("no such stream")
	}
	if f.next() == faultRefuseStart {
		return nil, sd.Unavailable.New("no connection")
	}
	return &pieces{engine: f, at: offset}, nil
}

func (f *flaky) Cancel(context.Context, sd.StreamID) error {
	f.cancelled = true
	return nil
}

type pieces struct {
	engine *flaky
	at     sd.Tokens
}

func (p *pieces) Next(context.Context) (sd.Chunk, error) {
	if p.at >= p.engine.total {
		return sd.Chunk{}, sd.EndOfStream.New("end")
	}
	switch p.engine.next() {
	case faultCut:
		return sd.Chunk{}, sd.BrokenResponse.New("cut")
	case faultRepeat:
		p.at = max(0, p.at-1)
	case faultGap:
		p.at++
	}
	piece := sd.Chunk{Offset: p.at, Count: 1, Text: strconv.Itoa(int(p.at)) + " "}
	p.at++
	return piece, nil
}

func (p *pieces) Close() {}

// Whatever the engine does, the caller gets a prefix of the one true answer; the
// whole of it exactly when there is no refusal. The call starts at most once
// after a byte was sent, "not run" is said only where no start reached the
// engine, and an answer that is given up is cancelled.
func TestAnswerIsWholeOrRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := sd.Tokens(rapid.IntRange(1, 12).Draw(t, "total"))
		engine := &flaky{total: total, faults: rapid.SliceOfN(rapid.IntRange(0, faultKinds-1), 0, 20).Draw(t, "faults")}
		settings := dispatcher.DefaultSettings()
		settings.Backoff, settings.Limit = 0, 0
		d := &dispatcher.Dispatcher{Settings: settings, Draw: func(int) int { return 0 }}
		got := ""
		hangUp := rapid.IntRange(-1, int(total)).Draw(t, "hangUp")
		result := d.Model(context.Background(), engine, sd.EngineCall{Stream: "s"}, func(piece sd.Chunk) error {
			if int(piece.Offset) == hangUp {
				return sd.Unavailable.New("gone")
			}
			got += piece.Text
			return nil
		})
		want := ""
		for at := sd.Tokens(0); at < result.Used; at++ {
			want += strconv.Itoa(int(at)) + " "
		}
		if got != want || result.Text != got {
			t.Fatalf("got %q, result %q, want %q", got, result.Text, want)
		}
		if result.Refusal == nil && result.Used != total {
			t.Fatalf("%d of %d tokens without a refusal", result.Used, total)
		}
		if engine.starts > 1 {
			t.Fatalf("started %d times", engine.starts)
		}
		if result.Refusal != nil && result.Refusal.Outcome == sd.NotRun && engine.starts > 0 {
			t.Fatalf("said not run after a start: %v", result.Refusal)
		}
		if result.Refusal != nil && engine.starts > 0 && !engine.cancelled {
			t.Fatalf("gave up without a cancel: %v", result.Refusal)
		}
	})
}

// oneShot is a service that counts the requests that reach it.
type oneShot struct {
	faults []int
	runs   int
}

func (o *oneShot) Call(context.Context, sd.ServiceCall) (sd.ServiceResponse, error) {
	fault := faultNone
	if len(o.faults) > 0 {
		fault, o.faults = o.faults[0], o.faults[1:]
	}
	if fault == faultRefuseStart {
		return sd.ServiceResponse{}, sd.Unavailable.New("no connection")
	}
	o.runs++
	if fault != faultNone {
		return sd.ServiceResponse{}, sd.Uncertain.New("lost")
	}
	return sd.ServiceResponse{Status: 200}, nil
}

// A non-idempotent call reaches the service at most once, "not run" is true,
// and a lost answer is never called a success.
func TestServiceOutcomeIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := &oneShot{faults: rapid.SliceOfN(rapid.IntRange(0, faultKinds-1), 0, 6).Draw(t, "faults")}
		idempotent := rapid.Bool().Draw(t, "idempotent")
		settings := dispatcher.DefaultSettings()
		settings.Backoff, settings.Limit = 0, 0
		d := &dispatcher.Dispatcher{Settings: settings, Draw: func(int) int { return 0 }}
		answer, refusal := d.Service(context.Background(), service, sd.ServiceCall{}, idempotent)
		if !idempotent && service.runs > 1 {
			t.Fatalf("a non-idempotent call ran %d times", service.runs)
		}
		if refusal == nil && answer.Status != 200 {
			t.Fatalf("no refusal and status %d", answer.Status)
		}
		if refusal != nil && (refusal.Outcome == sd.NotRun) != (service.runs == 0) {
			t.Fatalf("%v after %d runs", refusal, service.runs)
		}
	})
}

// The retry budget keeps a host from multiplying its load while targets fail.
func TestRetriesAreBounded(t *testing.T) {
	settings := dispatcher.DefaultSettings()
	settings.Backoff, settings.Limit = 0, 0
	d := &dispatcher.Dispatcher{Settings: settings, Draw: func(int) int { return 0 }}
	const calls = 1000
	runs := 0
	for range calls {
		service := &oneShot{faults: []int{faultLoseStart, faultLoseStart, faultLoseStart, faultLoseStart}}
		_, refusal := d.Service(context.Background(), service, sd.ServiceCall{}, true)
		if refusal == nil {
			t.Fatal("a failing service was taken for a working one")
		}
		runs += service.runs
	}
	if limit := calls*11/10 + 10; runs > limit {
		t.Fatalf("%d exchanges for %d calls, at most %d", runs, calls, limit)
	}
}
