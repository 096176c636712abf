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

// Parts are what an Admitter works with.
type Parts struct {
	Locator sd.ShardLocator
	Config  func() *follower.Config
	Client  *messenger.Client
	Clock   sd.Clock
}

// Admitter admits requests by the accounts of the whole system. New makes one.
// Lock order: mu, then away's.
type Admitter struct {
	parts Parts

	// mu guards state and gained; the clock is read while it is held.
	mu    sync.Mutex
	state *limiter.State
	// gained tells when each held shard came here and under which epoch.
	gained map[sd.ShardID]tenure
	away   absences
}

// tenure tells since when a shard is held and under which epoch.
type tenure struct {
	since sd.Instant
	epoch sd.Epoch
}

// question asks the holder of an account to admit a request.
type question struct {
	Workspace sd.WorkspaceID
	Account   sd.ShardID
}

// New returns an admitter without accounts. Deadlines of the host's lease come
// by Renew.
func New(parts Parts, settings limiter.Settings, incarnation sd.Incarnation) *Admitter {
	return &Admitter{parts: parts, state: limiter.New(settings, incarnation), gained: make(map[sd.ShardID]tenure)}
}

// Register adds the admitter's messages to a router.
func (a *Admitter) Register(router messenger.Router) {
	messenger.Handle(router, "admit", func(_ context.Context, q question) (limiter.Verdict, error) {
		return a.here(q), nil
	})
	messenger.Handle(router, "lend", func(_ context.Context, ask limiter.Ask) (limiter.Grant, error) {
		return a.lend(ask)
	})
}

// Configure brings a revision's rates into force.
func (a *Admitter) Configure(config *follower.Config) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.Configure(a.parts.Clock.Now(), config.Revision, config.Sheet.Workspaces, config.Sheet.Zones)
}

// Renew sets the end of the host's lease.
func (a *Admitter) Renew(deadline sd.Instant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.Renew(a.parts.Clock.Now(), deadline)
}

// Gain takes a shard's accounts over. Only the first epoch of a shard can have no
// loans of an earlier holder.
func (a *Admitter) Gain(shard sd.ShardID, epoch sd.Epoch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.parts.Clock.Now()
	a.gained[shard] = tenure{since: now, epoch: epoch}
	a.state.Gain(now, shard, epoch, epoch == firstEpoch)
}

// Lose gives a shard's accounts up; ctx bounds the return of its loans.
func (a *Admitter) Lose(ctx context.Context, shard sd.ShardID) {
	a.mu.Lock()
	delete(a.gained, shard)
	asks := a.state.Lose(a.parts.Clock.Now(), shard)
	a.mu.Unlock()
	for _, ask := range asks {
		a.send(ctx, ask)
	}
}

// Admit asks for one request of a workspace. It returns nil when the request is
// admitted; a refusal comes at once, but for the short time in which an account
// moves to another host.
func (a *Admitter) Admit(ctx context.Context, workspace sd.WorkspaceID) *sd.Refusal {
	deadline := a.parts.Clock.Now().Add(movePatience)
	for {
		verdict := a.round(ctx, workspace)
		switch {
		case verdict.Admitted:
			return nil
		case !verdict.NotHere:
			return sd.NewRefusal(sd.RateExceeded, verdict.RetryAfter, "the workspace is beyond its rate and burst")
		}
		wait := min(max(verdict.RetryAfter, sd.Millisecond), retryPause)
		if a.parts.Clock.Now().Add(wait) > deadline || !worker.Pause(ctx, wait) {
			return sd.NewRefusal(sd.KeeperUnavailable, max(verdict.RetryAfter, retryPause), "the workspace's account is moving to another host")
		}
	}
}

// round asks the accounts in order of preference until one can spend.
func (a *Admitter) round(ctx context.Context, workspace sd.WorkspaceID) limiter.Verdict {
	verdict := limiter.Verdict{NotHere: true, RetryAfter: retryPause}
	for _, account := range limiter.Accounts(workspace, a.parts.Config().Sheet.Zones) {
		found, reached := a.ask(ctx, question{Workspace: workspace, Account: account})
		if !reached {
			continue
		}
		if !found.NotHere {
			return found
		}
		verdict.RetryAfter = min(verdict.RetryAfter, found.RetryAfter)
	}
	return verdict
}

// ask puts a question to the holder of its account.
func (a *Admitter) ask(ctx context.Context, q question) (limiter.Verdict, bool) {
	if _, held := a.parts.Locator.Owns(q.Account); held {
		return a.here(q), true
	}
	address, found := a.parts.Locator.Locate(q.Account)
	if !found || a.away.has(a.parts.Clock.Now(), address) {
		return limiter.Verdict{}, false
	}
	attempt, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	verdict, err := messenger.Ask[question, limiter.Verdict](attempt, a.parts.Client, address, "admit", q)
	if err != nil {
		if ctx.Err() == nil {
			a.away.add(a.parts.Clock.Now(), address)
		}
		return limiter.Verdict{}, false
	}
	return verdict, true
}

// here puts a question to this host's own accounts. An account that came here a
// moment ago began empty, so a request that finds no token may wait for one
// rather than be refused although its workspace is within its rate.
func (a *Admitter) here(q question) limiter.Verdict {
	epoch, held := a.parts.Locator.Owns(q.Account)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !held || a.gained[q.Account].epoch != epoch {
		return limiter.Verdict{NotHere: true, RetryAfter: retryPause}
	}
	now := a.parts.Clock.Now()
	verdict := a.state.Admit(now, q.Workspace, q.Account)
	if !verdict.Admitted && now.Since(a.gained[q.Account].since) < freshAccount {
		verdict.NotHere = true
	}
	return verdict
}

// lend answers an ask for loans.
func (a *Admitter) lend(ask limiter.Ask) (limiter.Grant, error) {
	epoch, held := a.parts.Locator.Owns(ask.Lender)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !held || a.gained[ask.Lender].epoch != epoch {
		return limiter.Grant{}, sd.Unavailable.New("shard %s is not held here", ask.Lender)
	}
	return a.state.Lend(a.parts.Clock.Now(), ask), nil
}

// Run renews loans until ctx ends.
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
			group.Go("ask", func(ctx context.Context) error { a.send(ctx, ask); return nil })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// send carries an ask to its lender and the grant back.
func (a *Admitter) send(ctx context.Context, ask limiter.Ask) {
	grant, err := a.carry(ctx, ask)
	if err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.Receive(a.parts.Clock.Now(), grant)
}

// carry puts an ask to the holder of its lender's shard.
func (a *Admitter) carry(ctx context.Context, ask limiter.Ask) (limiter.Grant, error) {
	if _, held := a.parts.Locator.Owns(ask.Lender); held {
		return a.lend(ask)
	}
	address, found := a.parts.Locator.Locate(ask.Lender)
	if !found {
		return limiter.Grant{}, sd.Unavailable.New("nobody holds shard %s", ask.Lender)
	}
	attempt, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	return messenger.Ask[limiter.Ask, limiter.Grant](attempt, a.parts.Client, address, "lend", ask)
}

const (
	// askTimeout bounds a question to another host.
	askTimeout = 400 * sd.Millisecond
	// movePatience bounds the wait for an account that is on its way.
	movePatience = 3 * sd.Second
	retryPause   = 100 * sd.Millisecond
	firstEpoch   = sd.Epoch(1)
	// freshAccount is how long an account counts as just taken over.
	freshAccount = 5 * sd.Second
	tickInterval = 100 * sd.Millisecond
)
