package performer

import (
	"context"
	"strconv"
	"strings"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/keeper"
)

// Create opens a program under a fresh identifier and returns its status once it
// is safe.
func (p *Performer) Create(ctx context.Context, program sd.ProgramID, creation sd.CreateRequest) (sd.ProgramStatus, error) {
	if !p.parts.Journal.Ready() {
		return sd.ProgramStatus{}, unsafe()
	}
	p.mu.Lock()
	creation.Budget = p.share(creation)
	status, err := p.shelf.Create(p.parts.Clock.Now(), keeper.Creation{
		Program: program, Workspace: creation.Caller.Workspace, Parent: creation.Parent, Budget: creation.Budget,
	})
	if err != nil {
		p.mu.Unlock()
		return sd.ProgramStatus{}, err
	}
	if _, known := p.born[program]; !known {
		p.born[program] = p.parts.Clock.Now()
	}
	p.flush()
	safe := p.awaitSafe(status.Tree, status.Epoch, status.Number)
	p.mu.Unlock()
	if err := wait(ctx, safe); err != nil {
		return sd.ProgramStatus{}, err
	}
	return statusOf(status), nil
}

// share returns the budget of a new program: what was asked for, but for a
// sub-agent that asked for none half of what its parent has left. mu is held.
func (p *Performer) share(creation sd.CreateRequest) sd.Tokens {
	if creation.Parent == "" || creation.BudgetSet {
		return creation.Budget
	}
	parent, err := p.shelf.Status(creation.Parent, creation.Caller.Workspace)
	if err != nil {
		return creation.Budget
	}
	return min(creation.Budget, parent.Left/2)
}

// Describe returns a program's status.
func (p *Performer) Describe(caller sd.Caller, program sd.ProgramID) (sd.ProgramStatus, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	status, err := p.shelf.Status(program, caller.Workspace)
	if err != nil {
		return sd.ProgramStatus{}, err
	}
	return statusOf(status), nil
}

// End closes a program and its children; with cancel also before their time.
func (p *Performer) End(ctx context.Context, caller sd.Caller, program sd.ProgramID, cancel bool) (sd.ProgramStatus, error) {
	p.mu.Lock()
	end := p.shelf.End
	if cancel {
		end = p.shelf.Cancel
	}
	stopped, err := end(program, caller.Workspace)
	if err != nil {
		p.mu.Unlock()
		return sd.ProgramStatus{}, err
	}
	p.measure(caller.Workspace, stopped.Closed)
	p.stop(stopped)
	p.flush()
	safe := p.awaitSafe(stopped.Tree, stopped.Epoch, stopped.Number)
	status, err := p.shelf.Status(program, caller.Workspace)
	p.mu.Unlock()
	if err != nil {
		return sd.ProgramStatus{}, err
	}
	if err := wait(ctx, safe); err != nil {
		return sd.ProgramStatus{}, err
	}
	return statusOf(status), nil
}

// measure records the latency of programs that ended. mu is held.
func (p *Performer) measure(workspace sd.WorkspaceID, closed []sd.ProgramID) {
	w, _ := p.parts.Config().Workspace(workspace)
	for _, program := range closed {
		if born, known := p.born[program]; known {
			p.parts.Meter.Program(w.Tier, workspace, p.parts.Clock.Now().Since(born))
			delete(p.born, program)
		}
	}
}

// unsafe is the refusal of a request whose result could not be kept.
func unsafe() *sd.Refusal {
	return sd.NewRefusal(sd.PlatformUnavailable, sd.Second, "neither the platform nor another host can keep the program's state now")
}

// wait waits until a record is safe.
func wait(ctx context.Context, safe <-chan bool) error {
	select {
	case kept := <-safe:
		if !kept {
			return &sd.Refusal{Reason: sd.KeeperMoving, Outcome: sd.Unknown, RetryAfter: movePause, Detail: "the program's shard has moved to another host"}
		}
		return nil
	case <-ctx.Done():
		return &sd.Refusal{Reason: sd.TimedOut, Outcome: sd.Unknown, RetryAfter: sd.Second, Detail: "the result could not be kept in time"}
	}
}

// statusOf converts a shelf's status for the caller.
func statusOf(status keeper.Status) sd.ProgramStatus {
	return sd.ProgramStatus{
		Program: status.Program, Head: HeadText(status.Head), State: string(status.State),
		Budget: status.Budget, Spent: status.Spent, Turns: int(status.Head.Turn),
	}
}

// HeadText returns a head in the form that callers see: turn, '-' and digest.
func HeadText(head keeper.Head) string {
	digest, _ := head.Digest.MarshalText()
	return strconv.FormatUint(head.Turn, 10) + "-" + string(digest)
}

// parseHead reads a head that a caller sends; no text means no head.
func parseHead(text string) (*keeper.Head, error) {
	if text == "" {
		return nil, nil
	}
	turn, digest, found := strings.Cut(text, "-")
	number, err := strconv.ParseUint(turn, 10, 64)
	head := &keeper.Head{Turn: number}
	if !found || err != nil || head.Digest.UnmarshalText([]byte(digest)) != nil {
		return nil, sd.NewRefusal(sd.BadRequest, 0, "the head is not of the form turn-digest")
	}
	return head, nil
}
