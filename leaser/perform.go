package leaser

import (
	"context"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"sapphiredrum.example/sapphiredrum"
)

// Relay sends table work to a zone peer, which does it with Perform. Its errors
// are those of sapphiredrum.Table: Unavailable only if the peer certainly did
// nothing.
type Relay interface {
	Relay(ctx context.Context, address sapphiredrum.Address, work Relayed) (Result, error)
}

// Result is the answer to Relayed work.
type Result struct {
	Rows     []sapphiredrum.Row
	Sequence sapphiredrum.Sequence
}

// Perform does relayed work at the host that reaches the table.
func Perform(ctx context.Context, table sapphiredrum.Table, work Relayed) (Result, error) {
	if len(work.Keys) > 0 {
		rows, err := table.Read(ctx, work.Keys...)
		return Result{Rows: rows}, err
	}
	sequence, err := table.Commit(ctx, work.Transaction)
	return Result{Sequence: sequence}, err
}

// perform does one request and hands its answer to the state.
func (r *Runner) perform(ctx context.Context, request Request) {
	ctx, cancel := context.WithTimeout(ctx, r.limit.Duration())
	defer cancel()
	var result Result
	var err error
	switch q := request.(type) {
	case ChangesRequest:
		result.Rows, result.Sequence, err = r.table.Changes(ctx, q.Prefix, q.After)
	case ReadRequest:
		result.Rows, err = r.table.Read(ctx, q.Keys...)
	case CommitRequest:
		result.Sequence, err = r.table.Commit(ctx, q.Transaction)
	case RelayRequest:
		if r.relay == nil {
			err = sapphiredrum.Unavailable.New("no relay")
			break
		}
		r.logger.Info("request relayed by a peer", zap.Int("event", EventRelay), zap.String("peer", string(q.Peer)))
		result, err = r.relay.Relay(ctx, q.Address, q.Work)
	}
	status := statusOf(err)
	if status != Done {
		r.logger.Warn("request failed", zap.Int("event", EventFailure), zap.Error(err))
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	defer r.collect()
	r.state.Handle(r.clock.Now(), Reply{ID: request.request(), Status: status, Rows: result.Rows, Sequence: result.Sequence})
	r.nudge(r.wake)
}

// statusOf maps the errors of sapphiredrum.Table; any other counts as uncertain.
func statusOf(err error) Status {
	switch {
	case err == nil:
		return Done
	case errorx.IsOfType(err, sapphiredrum.Unavailable):
		return Unavailable
	case errorx.IsOfType(err, sapphiredrum.Conflict):
		return Conflict
	}
	return Uncertain
}
