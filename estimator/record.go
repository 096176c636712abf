package estimator

import (
	"context"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/keeper"
	"sapphiredrum.example/sapphiredrum/recorder"
)

// log is one host's recorder over a platform in memory, in virtual time.
type log struct {
	state    *recorder.State
	platform *faker.Platform
	now      sapphiredrum.Instant
	records  int
	asked    map[recorder.Ticket]sapphiredrum.Instant
	// puts, commits, deletes and reads count what the platform was asked.
	puts, commits, deletes, reads int
	bytes                         float64
	waited                        sapphiredrum.Millis
	intents                       int
}

func newLog(hosts int) *log {
	l := &log{now: 1000, asked: map[recorder.Ticket]sapphiredrum.Instant{}}
	l.platform = faker.NewPlatform(sapphiredrum.Clock{Source: func() sapphiredrum.Instant { return l.now }})
	l.state = recorder.NewState(recorder.DefaultRules, hostName(1), 1)
	l.state.SetLive(hosts)
	l.state.Claim(keptShard, 1, 0)
	l.run(10, 0)
	return l
}

// logStep is the time between two looks at the recorder, in milliseconds.
const logStep = 50

// logSteps and logLength are a run's steps and its seconds.
const (
	logSteps  = 6000
	logLength = logSteps * logStep / 1000
)

// run lets steps of time pass with the given calls a second, one in
// five with an intent.
func (l *log) run(steps int, calls float64) {
	record := turnRecord(1)
	due := 0.0
	for range steps {
		l.now += logStep
		for due += calls * logStep / 1000; due >= 1; due-- {
			l.call(record)
		}
		for range 3 {
			if action, found := l.state.Next(l.now); found {
				l.take(l.state.Report(l.now, l.answer(action)))
			}
			if action, found := l.state.NextBack(l.now); found {
				l.take(l.state.ReportBack(l.now, l.answer(action)))
			}
		}
	}
}

// call records one turn, and an intent with every fifth.
func (l *log) call(record keeper.Record) {
	l.records++
	record.Number = uint64(l.records)
	l.state.Append([]keeper.Record{record})
	if l.records%5 != 0 {
		return
	}
	key := recorder.Key{Workspace: workspaceName(1), Program: record.Tree, Call: sapphiredrum.CallID(text(12, l.records))}
	intended, waits, err := l.state.Intend(l.now, recorder.Intent{Key: key, Shard: keptShard})
	if err == nil && waits {
		l.asked[intended.Ticket] = l.now
	}
}

// answer performs an action and counts it.
func (l *log) answer(action recorder.Action) recorder.Answer {
	ctx := context.Background()
	var answer recorder.Answer
	switch a := action.(type) {
	case recorder.Put:
		l.puts, l.bytes = l.puts+1, l.bytes+float64(len(a.Value))
		answer.Error = l.platform.Put(ctx, a.Name, a.Value)
	case recorder.Commit:
		l.commits, l.bytes = l.commits+1, l.bytes+size(a.Transaction)
		_, answer.Error = l.platform.Commit(ctx, a.Transaction)
	case recorder.Read:
		if len(a.Keys) > 0 {
			l.reads++
			answer.Rows, answer.Error = l.platform.Read(ctx, a.Keys...)
		}
	case recorder.Get:
		l.reads++
		answer.Value, answer.Error = l.platform.Get(ctx, a.Name)
	case recorder.Delete:
		l.deletes++
		answer.Error = l.platform.Delete(ctx, a.Name)
	case recorder.Image:
		answer.Pictures = []recorder.Picture{{Shard: keptShard, Epoch: 1}}
	}
	return answer
}

// take counts how long intents waited and stores the shard when it is loaded.
func (l *log) take(events []recorder.Event) {
	for _, event := range events {
		switch e := event.(type) {
		case recorder.Loaded:
			l.state.Rebase(keptShard, 1, nil)
		case recorder.Decided:
			l.waited += l.now.Since(l.asked[e.Ticket])
			l.intents++
			delete(l.asked, e.Ticket)
		}
	}
}

// records measures the recorder.
func records(t Size) Role {
	r := Role{
		Name:       "recorder",
		State:      "the records since the last flush; the intents of half an hour",
		Mechanism:  "all records of a host since its last flush in one object and one row; the interval follows from the live hosts, so that the fleet writes 200 times a second",
		Unmeasured: "the log's run has an empty shard, so the bytes of checkpoints are not in the sums; they are measured apart, as one encoding; takeovers",
	}
	logs := map[int]*log{}
	hosts := []int{50, 150, 410}
	r.measure("writes of the fleet: one host's objects and rows x hosts", "1/s", "hosts", hosts, func(n int) float64 {
		logs[n] = newLog(n)
		logs[n].run(logSteps, t.PerHost())
		return float64((logs[n].puts+logs[n].commits)*n) / logLength
	})
	last := logs[hosts[len(hosts)-1]]
	r.measure("deletions of the fleet: one host's x hosts", "1/s", "hosts", hosts, func(n int) float64 { return float64(logs[n].deletes*n) / logLength })
	wait := r.measure("mean time that an intent waits", "ms", "hosts", hosts, func(n int) float64 { return float64(logs[n].waited) / float64(max(1, logs[n].intents)) })
	loads := []int{10, 22, 90}
	bytes := r.measure("bytes written by one of 410 hosts", "bytes/s", "calls/s", loads, func(n int) float64 {
		l := newLog(t.Hosts)
		l.run(logSteps, float64(n))
		return l.bytes / logLength
	})
	time := r.measure("processor time of one of 410 hosts", "us/s", "calls/s", loads, func(n int) float64 {
		l := newLog(t.Hosts)
		before := processor()
		l.run(logSteps, float64(n))
		return (processor() - before) / logLength
	})
	intent := r.measure("state by intents kept", "bytes", "intents", []int{200, 800, 3200}, intentState)
	r.atRecorder(t, last, bytes, time, intent)
	r.peak(Delay, PerCall, wait.At(float64(t.Hosts)), "the line at %d hosts: a call that must not be repeated waits so long on average for its intent, and up to the interval of %d ms", t.Hosts, recorder.DefaultRules.Interval(t.Hosts))
	r.checkpoints(t)
	return r
}

// intentState returns the memory of a recorder that has taken so many intents.
func intentState(n int) float64 {
	return weigh(func() *recorder.State {
		l := newLog(1)
		l.run(n, 100)
		return l.state
	})
}

// atRecorder adds the recorder's figures at a size.
func (r *Role) atRecorder(t Size, last *log, bytes, time, intent Line) {
	hosts := float64(t.Hosts)
	written := float64(last.puts+last.commits) / 300 * hosts
	r.add(Writes, Standing, written, "%d objects and %d rows in %d s x %d hosts, as measured at %d hosts", last.puts, last.commits, logLength, t.Hosts, t.Hosts)
	r.add(Writes, Standing, float64(last.deletes)/logLength*hosts, "%d deletions in %d s x %d hosts, if the object store counts them", last.deletes, logLength, t.Hosts)
	r.add(Reads, Standing, float64(last.reads)/logLength*hosts, "%d reads in %d s x %d hosts", last.reads, logLength, t.Hosts)
	plain := size(turnRecord(1)) - questionBytes - answerBytes
	r.add(Traffic, PerCall, t.PerHost()*plain, "%.1f records/s x %.0f bytes beside the text", t.PerHost(), plain)
	r.add(Traffic, Payload, bytes.At(t.PerHost())-t.PerHost()*plain, "%.0f bytes/s written in all, less those", bytes.At(t.PerHost()))
	r.add(Processor, PerCall, time.At(t.PerHost()), "the line at %.1f calls/s, the stand-in of the platform included", t.PerHost())
	exchanges := float64(last.puts+last.commits+last.deletes) / 300
	r.add(Exchanges, Standing, exchanges, "objects, rows and deletions")
	kept := t.PerHost() / 5 * seconds(recorder.DefaultRules.Retention)
	r.add(Memory, Standing, intent.Slope*kept, "%.0f bytes x %.0f intents: one call in five, kept for half an hour", intent.Slope, kept)
}

// checkpoints measures the storing of a host's whole state.
func (r *Role) checkpoints(t Size) {
	const turns = 55
	sizes := []int{20, 60, 120}
	whole := func(programs int) recorder.Segment {
		l := newLibrary()
		for i := range programs {
			l.open(i, turns)
		}
		epoch, images := l.shelf.Image(keptShard)
		return recorder.Segment{Sections: []recorder.Section{{Shard: keptShard, Epoch: epoch, Whole: true, Records: images}}}
	}
	bytes := r.measure("checkpoint of programs with 55 turns", "bytes", "programs", sizes, func(n int) float64 { return size(whole(n)) })
	time := r.measure("encode a checkpoint", "us", "programs", sizes, func(n int) float64 {
		segment := whole(n)
		return cost(func(int) { size(segment) })
	})
	kept := t.ProgramsPerHost()
	grown := t.PerHost() * size(turnRecord(1))
	every := bytes.At(kept) / grown
	r.peak(Memory, Payload, bytes.At(kept), "a checkpoint while it is encoded: %.0f programs", kept)
	worst := kept * float64(t.History) * TokenBytes
	r.peak(Memory, Payload, worst*bytes.Slope/(turns*(questionBytes+answerBytes)), "the same if every history had %d tokens", t.History)
	r.add(Traffic, Payload, grown, "a checkpoint of %s bytes each %.0f s, when the log has grown as much", number(bytes.At(kept)), every)
	r.add(Processor, Payload, time.At(kept)/every, "%s us each %.0f s", number(time.At(kept)), every)
}
