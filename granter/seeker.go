package granter

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/messenger"
	"sapphiredrum.example/sapphiredrum/scheduler"
	"sapphiredrum.example/sapphiredrum/worker"
)

// Seeker asks guards for permits on behalf of this host's calls. NewSeeker makes one.
type Seeker struct {
	host    sd.HostID
	local   *Granter
	locator sd.ShardLocator
	client  *messenger.Client
	clock   sd.Clock
	group   *worker.Group
	// heard takes the load that guards tell.
	heard func(cell scheduler.CellID, load scheduler.Summary)

	// mu guards held and waiting.
	mu   sync.Mutex
	held map[Permit]bool
	// waiting counts the requests that are open at each cell.
	waiting map[scheduler.CellID]int
}

// NewSeeker returns a seeker that asks local for the cells of held shards, and
// passes the load that guards tell on to heard.
func NewSeeker(host sd.HostID, local *Granter, locator sd.ShardLocator, client *messenger.Client, clock sd.Clock, heard func(scheduler.CellID, scheduler.Summary)) *Seeker {
	return &Seeker{
		host: host, local: local, locator: locator, client: client, clock: clock, heard: heard,
		group: worker.NewGroup(context.Background()), held: make(map[Permit]bool), waiting: make(map[scheduler.CellID]int),
	}
}

// Close stops the reports that are still under way and waits for them.
func (s *Seeker) Close() {
	s.group.Close()
}

// Seek asks the guard of a cell for a permit until it has decided. A guard that
// moves to another host or is silent is asked again for a while. Its error is a
// refusal with outcome NotRun.
func (s *Seeker) Seek(ctx context.Context, cell scheduler.CellID, request scheduler.Request, left sd.Millis) (Permit, *sd.Refusal) {
	s.wait(cell, 1)
	defer s.wait(cell, -1)
	deadline := s.clock.Now().Add(left)
	patience := s.clock.Now().Add(min(left, guardPatience))
	for {
		now := s.clock.Now()
		answer, err := s.seek(ctx, permitRequest{Cell: cell, Request: request, Left: deadline.Since(now)})
		if err == nil {
			s.heard(cell, answer.Load)
			if answer.Waiting {
				patience = s.clock.Now().Add(guardPatience)
				continue
			}
			s.hold(answer.Permit)
			return answer.Permit, nil
		}
		refusal := refusalOf(err)
		if refusal.Reason != sd.KeeperMoving || s.clock.Now().Add(movePause) > patience || !worker.Pause(ctx, movePause) {
			return Permit{}, refusal
		}
	}
}

// seek asks once.
func (s *Seeker) seek(ctx context.Context, r permitRequest) (permitAnswer, error) {
	shard := ShardOf(r.Cell)
	if _, held := s.locator.Owns(shard); held {
		return s.local.permit(ctx, r)
	}
	address, found := s.locator.Locate(shard)
	if !found {
		return permitAnswer{}, sd.NewRefusal(sd.KeeperMoving, movePause, "no host guards the target")
	}
	ctx, cancel := context.WithTimeout(ctx, (answerInterval + sd.Second).Duration())
	defer cancel()
	answer, err := messenger.Ask[permitRequest, permitAnswer](ctx, s.client, address, "permit", r)
	if err != nil && errorx.IsOfType(err, sd.Uncertain) {
		s.tell(cellOwner{cell: r.Cell}, "withdraw", withdrawal{Cell: r.Cell, Call: r.Request.Call})
	}
	return answer, err
}

// Done reports how a call with a permit ended. It returns at once.
func (s *Seeker) Done(permit Permit, usage scheduler.Usage) {
	s.mu.Lock()
	delete(s.held, permit)
	s.mu.Unlock()
	report := doneReport{Permit: permit, Usage: usage}
	if _, held := s.locator.Owns(ShardOf(permit.Cell)); held {
		s.local.done(report)
		return
	}
	s.tell(cellOwner{cell: permit.Cell}, "done", report)
}

// Run renews the permits in use until ctx ends.
func (s *Seeker) Run(ctx context.Context) error {
	ticker := time.NewTicker(renewInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, r := range s.renewals() {
			if _, held := s.locator.Owns(ShardOf(r.Cell)); held {
				s.local.renew(r)
				continue
			}
			s.tell(cellOwner{cell: r.Cell}, "renew", r)
		}
	}
}

// cellOwner names the receiver of a message by the cell that it guards.
type cellOwner struct {
	cell scheduler.CellID
}

// tell sends a message whose loss is mended by a time limit at the guard.
func (s *Seeker) tell(to cellOwner, name string, message any) {
	s.group.Go(name, func(ctx context.Context) error {
		attempt, cancel := context.WithTimeout(ctx, tellTimeout.Duration())
		defer cancel()
		for try := 1; try <= tellAttempts; try++ {
			address, found := s.locator.Locate(ShardOf(to.cell))
			if found {
				_, err := messenger.Ask[any, nothing](attempt, s.client, address, name, message)
				if err == nil {
					return nil
				}
			}
			if !worker.Pause(attempt, movePause) {
				return nil
			}
		}
		return nil
	})
}

// hold notes a permit in use.
func (s *Seeker) hold(permit Permit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[permit] = true
}

// wait counts a request that waits at a cell.
func (s *Seeker) wait(cell scheduler.CellID, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[cell] += change
	if s.waiting[cell] == 0 {
		delete(s.waiting, cell)
	}
}

// renewals groups the permits in use by cell and guard. Cells at which requests
// only wait hear of this host too, with the zero fence.
func (s *Seeker) renewals() []renewal {
	s.mu.Lock()
	defer s.mu.Unlock()
	type key struct {
		cell  scheduler.CellID
		fence sd.Epoch
	}
	groups := make(map[key][]scheduler.PermitNumber)
	for p := range s.held {
		k := key{cell: p.Cell, fence: p.Fence}
		groups[k] = append(groups[k], p.Number)
	}
	for cell := range s.waiting {
		groups[key{cell: cell}] = nil
	}
	renewals := make([]renewal, 0, len(groups))
	for k, numbers := range groups {
		sort.Slice(numbers, func(a, b int) bool { return numbers[a] < numbers[b] })
		renewals = append(renewals, renewal{Keeper: s.host, Cell: k.cell, Fence: k.fence, Permits: numbers})
	}
	return renewals
}

// refusalOf returns the refusal that a failed request for a permit stands for:
// a guard that cannot be reached is on its way to another host.
func refusalOf(err error) *sd.Refusal {
	var refusal *sd.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return sd.NewRefusal(sd.KeeperMoving, movePause, "the target's guard does not answer")
}

const (
	// guardPatience bounds the wait for a guard that is on its way.
	guardPatience = 2 * sd.Second
	renewInterval = 4 * sd.Second
	tellTimeout   = 3 * sd.Second
	tellAttempts  = 4
)
