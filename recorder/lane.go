package recorder

import (
	"context"
	"time"

	"go.uber.org/zap"

	root "sapphiredrum.example/sapphiredrum"
)

// Run works until the context ends or Close has stored what waits. It must be
// called once.
func (r *Recorder) Run(ctx context.Context) error {
	defer close(r.ended)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	back := make(chan struct{})
	go func() {
		defer close(back)
		r.runBack(ctx)
	}()
	r.runWriter(ctx)
	cancel()
	<-back
	r.options.Log.Info("recorder ended", event(eventEnded))
	return nil
}

// runWriter runs the writing lane.
func (r *Recorder) runWriter(ctx context.Context) {
	for ctx.Err() == nil {
		action, rest, end := r.nextWrite()
		if end {
			return
		}
		if action == nil {
			pause(ctx, rest, r.wake)
			continue
		}
		answer := r.do(ctx, action)
		r.mutex.Lock()
		events := r.state.Report(r.options.Clock.Now(), answer)
		r.mutex.Unlock()
		r.tell(events)
		signal(r.wakeBack)
	}
}

// nextWrite returns the writing lane's next action, or how long to rest.
func (r *Recorder) nextWrite() (action Action, rest root.Millis, end bool) {
	now := r.options.Clock.Now()
	r.mutex.Lock()
	events := r.state.Tick(now)
	if r.closing {
		r.state.Hurry()
	}
	action, found := r.state.Next(now)
	rest = min(r.state.Due(now), r.options.Rules.Patience/tickParts)
	end = r.closing && !found && (r.state.Idle() || now >= r.limit)
	r.mutex.Unlock()
	r.tell(events)
	if !found {
		action = nil
	}
	return action, max(rest, root.Millisecond), end
}

// runBack runs the reading lane.
func (r *Recorder) runBack(ctx context.Context) {
	for ctx.Err() == nil {
		r.mutex.Lock()
		action, found := r.state.NextBack(r.options.Clock.Now())
		r.mutex.Unlock()
		if !found {
			pause(ctx, backRest, r.wakeBack)
			continue
		}
		answer := r.do(ctx, action)
		r.mutex.Lock()
		events := r.state.ReportBack(r.options.Clock.Now(), answer)
		r.mutex.Unlock()
		r.tell(events)
		signal(r.wake)
	}
}

// pause waits until the time is over or someone signals.
func pause(ctx context.Context, rest root.Millis, wake chan struct{}) {
	timer := time.NewTimer(rest.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

// do carries an action out.
func (r *Recorder) do(ctx context.Context, action Action) Answer {
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout.Duration())
	defer cancel()
	switch a := action.(type) {
	case Put:
		return Answer{Error: r.options.Objects.Put(ctx, a.Name, a.Value)}
	case Commit:
		_, err := r.options.Table.Commit(ctx, a.Transaction)
		return Answer{Error: err}
	case Read:
		return r.read(ctx, a.Keys)
	case Get:
		value, err := r.options.Objects.Get(ctx, a.Name)
		return Answer{Value: value, Error: err}
	case Delete:
		return Answer{Error: r.options.Objects.Delete(ctx, a.Name)}
	case Image:
		var answer Answer
		for _, shard := range a.Shards {
			epoch, records := r.options.Listener.Image(shard)
			answer.Pictures = append(answer.Pictures, Picture{Shard: shard, Epoch: epoch, Records: records})
		}
		return answer
	}
	return Answer{Error: root.Unavailable.New("action %T", action)}
}

// read reads rows; a table that returns another number of rows counts as failed.
func (r *Recorder) read(ctx context.Context, keys []root.RowKey) Answer {
	if len(keys) == 0 {
		return Answer{}
	}
	rows, err := r.options.Table.Read(ctx, keys...)
	if err == nil && len(rows) != len(keys) {
		err = root.Unavailable.New("%d rows for %d keys", len(rows), len(keys))
	}
	return Answer{Rows: rows, Error: err}
}

// tell passes events to those who wait for them, to the listener and to the log.
func (r *Recorder) tell(events []Event) {
	for _, e := range events {
		switch e := e.(type) {
		case Decided:
			r.decide(e)
		case Loaded:
			r.options.Log.Info("shard loaded", event(eventLoaded), zap.Stringer("shard", e.Tenure.Shard),
				zap.Uint64("epoch", uint64(e.Tenure.Epoch)), zap.Int("records", len(e.Records)))
			r.answer(e.Tenure, e)
		case Refused:
			r.options.Log.Warn("shard not loaded", event(eventNotLoaded), zap.Stringer("shard", e.Tenure.Shard), zap.Error(e.Cause))
			r.answer(e.Tenure, e)
		case Failing:
			r.options.Log.Warn("platform failed", event(eventFailing), zap.Error(e.Cause))
		case Lost:
			r.options.Log.Warn("shard lost", event(eventLost), zap.Stringer("shard", e.Tenure.Shard),
				zap.Uint64("epoch", uint64(e.Tenure.Epoch)))
			r.options.Listener.Notify(e)
		case Based:
			r.options.Log.Info("shard stored whole", event(eventBased), zap.Stringer("shard", e.Tenure.Shard))
			r.options.Listener.Notify(e)
		default:
			r.options.Listener.Notify(e)
		}
	}
}

// decide answers a waiting intent. If its caller has gone, Intend withdraws it.
func (r *Recorder) decide(d Decided) {
	r.mutex.Lock()
	waiter := r.intents[d.Ticket]
	delete(r.intents, d.Ticket)
	r.mutex.Unlock()
	if waiter != nil {
		waiter <- d
	}
}

func (r *Recorder) answer(tenure Tenure, e Event) {
	r.mutex.Lock()
	waiter := r.loads[tenure]
	delete(r.loads, tenure)
	r.mutex.Unlock()
	if waiter != nil {
		waiter <- e
	}
}

// tickParts divides the patience into the steps at which intents are checked.
const tickParts = 8
