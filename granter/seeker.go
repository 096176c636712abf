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

// PermitClient requests permits from guards for this host's calls. Use
// NewPermitClient to create one.
type PermitClient struct {
	host    sd.HostID
	local   *Granter
	locator sd.ShardLocator
	client  *messenger.Client
	clock   sd.Clock
	group   *worker.Group
	// onLoad is called with the load in each guard's answer.
	onLoad func(cell scheduler.CellID, load scheduler.Summary)

	// mu protects held and waiting.
	mu   sync.Mutex
	held map[Permit]bool
	// waiting counts the open requests at each cell.
	waiting map[scheduler.CellID]int
}

// NewPermitClient returns a client that calls local directly for the cells of
// shards that this host owns, and passes each guard's load to heard.
func NewPermitClient(host sd.HostID, local *Granter, locator sd.ShardLocator, client *messenger.Client, clock sd.Clock, heard func(scheduler.CellID, scheduler.Summary)) *PermitClient {
	return &PermitClient{
		host: host, local: local, locator: locator, client: client, clock: clock, onLoad: heard,
		group: worker.NewGroup(context.Background()), held: make(map[Permit]bool), waiting: make(map[scheduler.CellID]int),
	}
}

// Close cancels the messages still being sent and waits for them to return.
func (s *PermitClient) Close() {
	s.group.Close()
}

// Acquire asks the guard of a cell for a permit until it has decided. While a
// guard is moving to another host or does not answer, Acquire retries for up to
// guardTimeout. A returned refusal has outcome NotRun.
func (s *PermitClient) Acquire(ctx context.Context, cell scheduler.CellID, request scheduler.Request, left sd.Millis) (Permit, *sd.Refusal) {
	s.addWaiting(cell, 1)
	defer s.addWaiting(cell, -1)
	deadline := s.clock.Now().Add(left)
	patience := s.clock.Now().Add(min(left, guardTimeout))
	for {
		now := s.clock.Now()
		answer, err := s.requestPermit(ctx, permitRequest{Cell: cell, Request: request, Left: deadline.Since(now)})
		if err == nil {
			s.onLoad(cell, answer.Load)
			if answer.Waiting {
				patience = s.clock.Now().Add(guardTimeout)
				continue
			}
			s.addPermit(answer.Permit)
			return answer.Permit, nil
		}
		refusal := refusalOf(err)
		if refusal.Reason != sd.KeeperMoving || s.clock.Now().Add(retryDelay) > patience || !worker.Pause(ctx, retryDelay) {
			return Permit{}, refusal
		}
	}
}

// requestPermit sends one request.
func (s *PermitClient) requestPermit(ctx context.Context, r permitRequest) (permitResponse, error) {
	shard := ShardOf(r.Cell)
	if _, held := s.locator.Owns(shard); held {
		return s.local.permit(ctx, r)
	}
	address, found := s.locator.Locate(shard)
	if !found {
		return permitResponse{}, sd.NewRefusal(sd.KeeperMoving, retryDelay, "no host guards the target")
	}
	ctx, cancel := context.WithTimeout(ctx, (answerInterval + sd.Second).Duration())
	defer cancel()
	answer, err := messenger.Ask[permitRequest, permitResponse](ctx, s.client, address, "permit", r)
	if err != nil && errorx.IsOfType(err, sd.Uncertain) {
		s.sendAsync(cellOwner{cell: r.Cell}, "withdraw", withdrawal{Cell: r.Cell, Call: r.Request.Call})
	}
	return answer, err
}

// Done reports how a call with a permit ended. It does not wait for the guard.
func (s *PermitClient) Done(permit Permit, usage scheduler.Usage) {
	s.mu.Lock()
	delete(s.held, permit)
	s.mu.Unlock()
	report := doneReport{Permit: permit, Usage: usage}
	if _, held := s.locator.Owns(ShardOf(permit.Cell)); held {
		s.local.done(report)
		return
	}
	s.sendAsync(cellOwner{cell: permit.Cell}, "done", report)
}

// Run renews the permits in use until ctx is done.
func (s *PermitClient) Run(ctx context.Context) error {
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
			s.sendAsync(cellOwner{cell: r.Cell}, "renew", r)
		}
	}
}

// cellOwner addresses a message to the guard of a cell.
type cellOwner struct {
	cell scheduler.CellID
}

// sendAsync sends a message in the background, with retries. If it is lost, a
// timeout at the guard has the same effect later.
func (s *PermitClient) sendAsync(to cellOwner, name string, message any) {
	s.group.Go(name, func(ctx context.Context) error {
		attempt, cancel := context.WithTimeout(ctx, sendTimeout.Duration())
		defer cancel()
		for try := 1; try <= maxSendAttempts; try++ {
			address, found := s.locator.Locate(ShardOf(to.cell))
			if found {
				_, err := messenger.Ask[any, emptyResponse](attempt, s.client, address, name, message)
				if err == nil {
					return nil
				}
			}
			if !worker.Pause(attempt, retryDelay) {
				return nil
			}
		}
		return nil
	})
}

// addPermit records a permit in use.
func (s *PermitClient) addPermit(permit Permit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[permit] = true
}

// addWaiting changes the number of open requests at a cell.
func (s *PermitClient) addWaiting(cell scheduler.CellID, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[cell] += change
	if s.waiting[cell] == 0 {
		delete(s.waiting, cell)
	}
}

// renewals groups the permits in use by cell and guard. Cells with open requests
// get an empty renewal with a zero fence, which keeps the waiting calls queued.
func (s *PermitClient) renewals() []renewal {
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

// refusalOf returns the refusal for a failed request. A guard that cannot be
// reached is treated as moving to another host.
func refusalOf(err error) *sd.Refusal {
	var refusal *sd.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return sd.NewRefusal(sd.KeeperMoving, retryDelay, "the target's guard does not answer")
}

const (
	// guardTimeout bounds the wait for a guard that is moving or does not answer.
	guardTimeout    = 2 * sd.Second
	renewInterval   = 4 * sd.Second
	sendTimeout     = 3 * sd.Second
	maxSendAttempts = 4
)
