package admitter

import (
	"context"
	"sync"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/follower"
	"sapphiredrum.example/sapphiredrum/limiter"
	"sapphiredrum.example/sapphiredrum/messenger"
	"sapphiredrum.example/sapphiredrum/worker"
)

// Parts are the dependencies of an Admitter.
type Parts struct {
	Locator sd.ShardLocator
	Config  func() *follower.Config
	Client  *messenger.Client
	Clock   sd.Clock
}

// Admitter admits requests against the rate limit accounts of the whole fleet. Use New to
// create one. Lock order: mu before unreachable.mu.
type Admitter struct {
	parts Parts

	// mu guards state and owned. The clock is read while mu is held, so that the times passed
	// to state never run backwards.
	mu    sync.Mutex
	state *limiter.State
	// owned records since when this host has owned each of its shards, and in which epoch.
	owned       map[sd.ShardID]ownership
	unreachable unreachableHosts
}

// ownership records since when, and in which epoch, this host has owned a shard.
type ownership struct {
	since sd.Instant
	epoch sd.Epoch
}

// admitRequest asks the owner of an account to admit a request.
type admitRequest struct {
	Workspace sd.WorkspaceID
	Account   sd.ShardID
}

// New returns an Admitter without accounts. RenewLease must be called with the deadlines of
// the host's lease.
func New(parts Parts, settings limiter.Settings, incarnation sd.Incarnation) *Admitter {
	return &Admitter{parts: parts, state: limiter.New(settings, incarnation), owned: make(map[sd.ShardID]ownership)}
}

// Register adds the Admitter's message handlers to a router.
func (a *Admitter) Register(router messenger.Router) {
	messenger.Handle(router, "admit", func(_ context.Context, req admitRequest) (limiter.Decision, error) {
		return a.admitLocally(req), nil
	})
	messenger.Handle(router, "lend", func(_ context.Context, ask limiter.LoanRequest) (limiter.Grant, error) {
		return a.lend(ask)
	})
}

// Configure applies the rates of a configuration revision.
func (a *Admitter) Configure(config *follower.Config) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.Configure(a.parts.Clock.Now(), config.Revision, config.Sheet.Workspaces, config.Sheet.Zones)
}

// RenewLease sets the deadline of the host's lease.
func (a *Admitter) RenewLease(deadline sd.Instant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.RenewLease(a.parts.Clock.Now(), deadline)
}

// AcquireShard takes over the accounts of a shard. In the first epoch of a shard there can be
// no loans of an earlier owner.
func (a *Admitter) AcquireShard(shard sd.ShardID, epoch sd.Epoch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.parts.Clock.Now()
	a.owned[shard] = ownership{since: now, epoch: epoch}
	a.state.AddShard(now, shard, epoch, epoch == firstEpoch)
}

// ReleaseShard gives up the accounts of a shard and returns its loans; ctx limits the time for
// the latter.
func (a *Admitter) ReleaseShard(ctx context.Context, shard sd.ShardID) {
	a.mu.Lock()
	delete(a.owned, shard)
	asks := a.state.RemoveShard(a.parts.Clock.Now(), shard)
	a.mu.Unlock()
	for _, ask := range asks {
		a.requestLoan(ctx, ask)
	}
}

// Admit asks for the admission of one request of a workspace. It returns nil if the request is
// admitted. A refusal is returned at once, except while an account is moving to another host.
func (a *Admitter) Admit(ctx context.Context, workspace sd.WorkspaceID) *sd.Refusal {
	deadline := a.parts.Clock.Now().Add(moveTimeout)
	for {
		verdict := a.tryAccounts(ctx, workspace)
		switch {
		case verdict.Admitted:
			return nil
		case !verdict.NoShare:
			return sd.NewRefusal(sd.RateExceeded, verdict.RetryAfter, "the workspace is beyond its rate and burst")
		}
		wait := min(max(verdict.RetryAfter, sd.Millisecond), retryDelay)
		if a.parts.Clock.Now().Add(wait) > deadline || !worker.Pause(ctx, wait) {
			return sd.NewRefusal(sd.KeeperUnavailable, max(verdict.RetryAfter, retryDelay), "the workspace's account is moving to another host")
		}
	}
}

// tryAccounts asks the owners of the workspace's accounts, in order of preference, until one
// of them decides.
func (a *Admitter) tryAccounts(ctx context.Context, workspace sd.WorkspaceID) limiter.Decision {
	verdict := limiter.Decision{NoShare: true, RetryAfter: retryDelay}
	for _, account := range limiter.Accounts(workspace, a.parts.Config().Sheet.Zones) {
		found, reached := a.askOwner(ctx, admitRequest{Workspace: workspace, Account: account})
		if !reached {
			continue
		}
		if !found.NoShare {
			return found
		}
		verdict.RetryAfter = min(verdict.RetryAfter, found.RetryAfter)
	}
	return verdict
}

// askOwner sends a request to the owner of its account. It reports false if the owner cannot
// be reached.
func (a *Admitter) askOwner(ctx context.Context, req admitRequest) (limiter.Decision, bool) {
	if _, held := a.parts.Locator.Owns(req.Account); held {
		return a.admitLocally(req), true
	}
	address, found := a.parts.Locator.Locate(req.Account)
	if !found || a.unreachable.has(a.parts.Clock.Now(), address) {
		return limiter.Decision{}, false
	}
	attempt, cancel := context.WithTimeout(ctx, peerTimeout.Duration())
	defer cancel()
	verdict, err := messenger.Ask[admitRequest, limiter.Decision](attempt, a.parts.Client, address, "admit", req)
	if err != nil {
		if ctx.Err() == nil {
			a.unreachable.add(a.parts.Clock.Now(), address)
		}
		return limiter.Decision{}, false
	}
	return verdict, true
}

// admitLocally decides on a request with the accounts of this host. An account that has just
// been taken over starts empty, so a request that finds no token there may wait for one instead
// of being refused although its workspace is within its rate.
func (a *Admitter) admitLocally(req admitRequest) limiter.Decision {
	epoch, held := a.parts.Locator.Owns(req.Account)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !held || a.owned[req.Account].epoch != epoch {
		return limiter.Decision{NoShare: true, RetryAfter: retryDelay}
	}
	now := a.parts.Clock.Now()
	verdict := a.state.Admit(now, req.Workspace, req.Account)
	if !verdict.Admitted && now.Since(a.owned[req.Account].since) < freshPeriod {
		verdict.NoShare = true
	}
	return verdict
}

// lend answers a loan request.
func (a *Admitter) lend(ask limiter.LoanRequest) (limiter.Grant, error) {
	epoch, held := a.parts.Locator.Owns(ask.Lender)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !held || a.owned[ask.Lender].epoch != epoch {
		return limiter.Grant{}, sd.Unavailable.New("this host does not own shard %s", ask.Lender)
	}
	return a.state.Lend(a.parts.Clock.Now(), ask), nil
}

// Run renews loans until ctx is done.
func (a *Admitter) Run(ctx context.Context) error {
	group := worker.NewGroup(ctx)
	defer group.Close()
	ticker := time.NewTicker(tickInterval.Duration())
	defer ticker.Stop()
	for {
		a.mu.Lock()
		asks := a.state.Tick(a.parts.Clock.Now())
		a.mu.Unlock()
		for _, ask := range asks {
			group.Go("ask", func(ctx context.Context) error { a.requestLoan(ctx, ask); return nil })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// requestLoan sends a loan request to its lender and applies the grant. A failed request is
// dropped; Run sends the next one.
func (a *Admitter) requestLoan(ctx context.Context, ask limiter.LoanRequest) {
	grant, err := a.callLender(ctx, ask)
	if err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.Receive(a.parts.Clock.Now(), grant)
}

// callLender sends a loan request to the owner of the lender's shard.
func (a *Admitter) callLender(ctx context.Context, ask limiter.LoanRequest) (limiter.Grant, error) {
	if _, held := a.parts.Locator.Owns(ask.Lender); held {
		return a.lend(ask)
	}
	address, found := a.parts.Locator.Locate(ask.Lender)
	if !found {
		return limiter.Grant{}, sd.Unavailable.New("no host owns shard %s", ask.Lender)
	}
	attempt, cancel := context.WithTimeout(ctx, peerTimeout.Duration())
	defer cancel()
	return messenger.Ask[limiter.LoanRequest, limiter.Grant](attempt, a.parts.Client, address, "lend", ask)
}

const (
	// peerTimeout limits a call to another host.
	peerTimeout = 400 * sd.Millisecond
	// moveTimeout limits the wait for an account that is moving to another host.
	moveTimeout = 3 * sd.Second
	retryDelay  = 100 * sd.Millisecond
	firstEpoch  = sd.Epoch(1)
	// freshPeriod is how long an account counts as just taken over.
	freshPeriod  = 5 * sd.Second
	tickInterval = 100 * sd.Millisecond
)
