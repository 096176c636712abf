package launcher

import (
	"context"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/keeper"
	"sapphiredrum.example/sapphiredrum/performer"
	"sapphiredrum.example/sapphiredrum/recorder"
)

// journal joins the performer with what makes its records safe: the recorder and
// the copies at a zone peer.
type journal struct {
	recorder  *recorder.Recorder
	copier    *copier
	performer *performer.Performer
	takeovers *takeovers
}

// Append queues records for the platform and for the peer.
func (j *journal) Append(records []keeper.Record) {
	j.recorder.Append(records)
	j.copier.add(records)
}

// Ready reports whether the platform answers or the named peer lives.
func (j *journal) Ready() bool {
	return j.copier.host.leaser.Reaches() || j.copier.reaches()
}

// Intend records that a call is about to run.
func (j *journal) Intend(ctx context.Context, intent recorder.Intent) (recorder.Intended, error) {
	return j.recorder.Intend(ctx, intent)
}

// Recall tells what is recorded of an earlier submission of a call.
func (j *journal) Recall(intent recorder.Intent) (recorder.Intended, bool, error) {
	return j.recorder.Recall(intent)
}

// Settle records what came of an intended call.
func (j *journal) Settle(intent recorder.Intent, ticket recorder.Ticket, outcome sd.Outcome, answer string) {
	j.recorder.Settle(intent, ticket, outcome, answer)
}

// Image returns a shard's state for a checkpoint.
func (j *journal) Image(shard sd.ShardID) (sd.Epoch, []keeper.Record) {
	return j.performer.Image(shard)
}

// Notify passes on what became durable and which shard's history is whole here.
func (j *journal) Notify(event recorder.Event) {
	switch e := event.(type) {
	case recorder.Recorded:
		j.performer.Safe(e.Tree, e.Epoch, e.Number)
		j.copier.durable(e)
	case recorder.Based:
		j.takeovers.based(e.Tenure)
	case recorder.Lost:
		j.performer.Lose(e.Tenure.Shard)
		j.copier.lose(e.Tenure.Shard)
	}
}
