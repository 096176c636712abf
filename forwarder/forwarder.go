package forwarder

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/follower"
	"sapphiredrum.example/sapphiredrum/messenger"
	"sapphiredrum.example/sapphiredrum/performer"
	"sapphiredrum.example/sapphiredrum/worker"
)

// Settings bound what a Forwarder waits for.
type Settings struct {
	// Patience bounds the wait for a shard that has no owner at the moment.
	Patience sd.Millis
}

// Parts are what a Forwarder works with.
type Parts struct {
	Zone    sd.ZoneName
	Locator sd.ShardLocator
	Local   *performer.Performer
	Client  *messenger.Client
	Config  func() *follower.Config
	Clock   sd.Clock
	// Refresh asks for news of the shards' owners.
	Refresh func()
}

// Forwarder implements sd.CallHandler.
type Forwarder struct {
	Parts    Parts
	Settings Settings
}

// createMessage asks a shard's owner to open a program.
type createMessage struct {
	Program  sd.ProgramID
	Creation sd.CreateRequest
}

// describeMessage asks for a program's status.
type describeMessage struct {
	Caller  sd.Caller
	Program sd.ProgramID
}

// endMessage asks to end a program.
type endMessage struct {
	Caller  sd.Caller
	Program sd.ProgramID
	Cancel  bool
}

// callMessage carries a call to its program's keeper.
type callMessage struct {
	Request sd.CallRequest
	// Left is the time until the call's deadline.
	Left sd.Millis
}

// Register adds the keeper's messages to a router.
func (f *Forwarder) Register(router messenger.Router) {
	messenger.Handle(router, "create", func(ctx context.Context, m createMessage) (sd.ProgramStatus, error) {
		if err := f.held(m.Program); err != nil {
			return sd.ProgramStatus{}, err
		}
		return f.Parts.Local.Create(ctx, m.Program, m.Creation)
	})
	messenger.Handle(router, "describe", func(_ context.Context, m describeMessage) (sd.ProgramStatus, error) {
		if err := f.held(m.Program); err != nil {
			return sd.ProgramStatus{}, err
		}
		return f.Parts.Local.Describe(m.Caller, m.Program)
	})
	messenger.Handle(router, "end", func(ctx context.Context, m endMessage) (sd.ProgramStatus, error) {
		if err := f.held(m.Program); err != nil {
			return sd.ProgramStatus{}, err
		}
		return f.Parts.Local.End(ctx, m.Caller, m.Program, m.Cancel)
	})
	messenger.Stream(router, "call", func(ctx context.Context, m callMessage, send func(sd.Frame) error) error {
		if err := f.held(m.Request.Program); err != nil {
			return err
		}
		ctx, stop := context.WithTimeout(ctx, m.Left.Duration())
		defer stop()
		return alive(ctx, send, func(send performer.Send) error {
			return f.Parts.Local.Call(ctx, m.Request, send)
		})
	})
}

// Create opens a program on a shard of the workspace.
func (f *Forwarder) Create(ctx context.Context, creation sd.CreateRequest) (sd.ProgramStatus, error) {
	workspace, found := f.Parts.Config().Workspace(creation.Caller.Workspace)
	if !found {
		return sd.ProgramStatus{}, sd.NewRefusal(sd.KeyUnknown, 0, "the key's workspace is not known")
	}
	if creation.Budget == 0 || creation.Budget > workspace.Budget {
		creation.Budget = workspace.Budget
	}
	shard, err := f.shardOf(creation)
	if err != nil {
		return sd.ProgramStatus{}, err
	}
	message := createMessage{Program: sd.NewProgramID(shard), Creation: creation}
	return ask(ctx, f, message.Program, "create", message, func(ctx context.Context) (sd.ProgramStatus, error) {
		return f.Parts.Local.Create(ctx, message.Program, creation)
	})
}

// Describe returns a program's status.
func (f *Forwarder) Describe(ctx context.Context, caller sd.Caller, program sd.ProgramID) (sd.ProgramStatus, error) {
	message := describeMessage{Caller: caller, Program: program}
	return ask(ctx, f, program, "describe", message, func(context.Context) (sd.ProgramStatus, error) {
		return f.Parts.Local.Describe(caller, program)
	})
}

// End ends a program.
func (f *Forwarder) End(ctx context.Context, caller sd.Caller, program sd.ProgramID, cancel bool) (sd.ProgramStatus, error) {
	message := endMessage{Caller: caller, Program: program, Cancel: cancel}
	return ask(ctx, f, program, "end", message, func(ctx context.Context) (sd.ProgramStatus, error) {
		return f.Parts.Local.End(ctx, caller, program, cancel)
	})
}

// Call runs a call at its program's keeper, or here if it has no program.
func (f *Forwarder) Call(ctx context.Context, request sd.CallRequest, send func(sd.Frame) error) error {
	if request.Program == "" {
		return f.Parts.Local.Single(ctx, request, send)
	}
	if request.Call == "" {
		request.Call = sd.CallID(sd.RandomID())
	}
	passed := false
	pass := func(frame sd.Frame) error {
		passed = true
		return send(frame)
	}
	once := request.Route.Kind == sd.ServiceRoute && !request.Route.Idempotent
	return f.persist(ctx, request.Program, func(ctx context.Context, to sd.Address) error {
		err := f.carry(ctx, to, request, pass)
		if err == nil || !errorx.IsOfType(err, sd.Uncertain) {
			return err
		}
		if passed || once {
			return lostKeeper(passed)
		}
		return err
	})
}

// follow sends a call to its keeper and passes the answer on. A keeper that is
// silent for too long counts as lost: a cut connection gives no other sign.
func (f *Forwarder) follow(ctx context.Context, to sd.Address, message callMessage, pass func(sd.Frame) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(longestSilence.Duration(), cancel)
	defer silence.Stop()
	return messenger.Follow(ctx, f.Parts.Client, to, "call", message, func(frame sd.Frame) error {
		silence.Reset(longestSilence.Duration())
		if frame == (sd.Frame{}) {
			return nil
		}
		return pass(frame)
	})
}

// alive runs a call and sends an empty frame at its start and each second, so
// that the caller's host can tell a slow target from a keeper that is lost.
func alive(ctx context.Context, send performer.Send, call func(send performer.Send) error) error {
	var mu sync.Mutex
	locked := func(frame sd.Frame) error {
		mu.Lock()
		defer mu.Unlock()
		return send(frame)
	}
	group := worker.NewGroup(ctx)
	defer group.Close()
	group.Go("alive", func(ctx context.Context) error {
		for {
			if locked(sd.Frame{}) != nil || !worker.Pause(ctx, aliveInterval) {
				return nil
			}
		}
	})
	return call(locked)
}

// carry performs a call here or sends it to the given host.
func (f *Forwarder) carry(ctx context.Context, to sd.Address, request sd.CallRequest, pass func(sd.Frame) error) error {
	if to == "" {
		return f.Parts.Local.Call(ctx, request, pass)
	}
	left := defaultLeft
	if deadline, found := ctx.Deadline(); found {
		left = sd.Millis(time.Until(deadline).Milliseconds())
	}
	return f.follow(ctx, to, callMessage{Request: request, Left: left}, pass)
}

// ask brings a message to a program's keeper, or runs local if that is here.
func ask[Q any](ctx context.Context, f *Forwarder, program sd.ProgramID, name string, message Q, local func(context.Context) (sd.ProgramStatus, error)) (sd.ProgramStatus, error) {
	var status sd.ProgramStatus
	err := f.persist(ctx, program, func(ctx context.Context, to sd.Address) error {
		var err error
		if to == "" {
			status, err = local(ctx)
			return err
		}
		attempt, cancel := context.WithTimeout(ctx, askTimeout.Duration())
		defer cancel()
		status, err = messenger.Ask[Q, sd.ProgramStatus](attempt, f.Parts.Client, to, name, message)
		return err
	})
	return status, err
}

// persist tries at a program's keeper until it is served or refused for good. An
// Unavailable or Uncertain error, or a KeeperMoving refusal of which nothing ran,
// is tried again at the shard's next owner, within the patience for a takeover:
// whoever calls persist makes sure that a repetition is harmless. After an
// Uncertain error no refusal says "not run" any more. The empty address stands
// for this host.
func (f *Forwarder) persist(ctx context.Context, program sd.ProgramID, try func(ctx context.Context, to sd.Address) error) error {
	shard, err := program.Shard()
	if err != nil {
		return sd.NewRefusal(sd.ProgramUnknown, 0, "the program's identifier is not one of this system")
	}
	if _, known := f.Parts.Config().Zone(shard.Zone); !known {
		return sd.NewRefusal(sd.ProgramUnknown, 0, "the program's identifier names no zone of the sheet")
	}
	outcome := sd.NotRun
	end := f.Parts.Clock.Now().Add(f.Settings.Patience)
	for wait := firstWait; ; wait = min(2*wait, longestWait) {
		err := f.attempt(ctx, shard, try)
		if err == nil {
			return nil
		}
		if errorx.IsOfType(err, sd.Uncertain) {
			outcome = sd.Unknown
		}
		if !moving(err) {
			return atMost(err, outcome)
		}
		f.Parts.Refresh()
		if f.Parts.Clock.Now().Add(wait) > end || !worker.Pause(ctx, wait) {
			return &sd.Refusal{Reason: sd.KeeperUnavailable, Outcome: outcome, RetryAfter: sd.Second, Detail: "no host keeps the program at the moment"}
		}
	}
}

// atMost keeps a later refusal from claiming more than is known of all attempts.
func atMost(err error, outcome sd.Outcome) error {
	var refusal *sd.Refusal
	if outcome == sd.NotRun || !errors.As(err, &refusal) || refusal.Outcome != sd.NotRun {
		return err
	}
	merged := *refusal
	merged.Outcome = outcome
	return &merged
}

// attempt tries once at the shard's owner.
func (f *Forwarder) attempt(ctx context.Context, shard sd.ShardID, try func(ctx context.Context, to sd.Address) error) error {
	if _, held := f.Parts.Locator.Owns(shard); held {
		return try(ctx, "")
	}
	address, found := f.Parts.Locator.Locate(shard)
	if !found {
		return sd.Unavailable.New("nobody owns shard %s", shard)
	}
	return try(ctx, address)
}

// held returns a refusal unless this host holds the program's shard.
func (f *Forwarder) held(program sd.ProgramID) error {
	shard, err := program.Shard()
	if err != nil {
		return sd.NewRefusal(sd.ProgramUnknown, 0, "the program's identifier is not one of this system")
	}
	if _, held := f.Parts.Locator.Owns(shard); !held {
		return sd.NewRefusal(sd.KeeperMoving, firstWait, "this host does not keep the program")
	}
	return nil
}

// moving reports whether nothing ran and the shard's next owner may serve.
func moving(err error) bool {
	var refusal *sd.Refusal
	if errors.As(err, &refusal) {
		return refusal.Reason == sd.KeeperMoving && refusal.Outcome == sd.NotRun
	}
	return errorx.IsOfType(err, sd.Unavailable) || errorx.IsOfType(err, sd.Uncertain)
}

// lostKeeper is the refusal of a call whose keeper was lost while it ran.
func lostKeeper(passed bool) *sd.Refusal {
	if passed {
		return &sd.Refusal{Reason: sd.ResponseTruncated, Outcome: sd.Ran, RetryAfter: sd.Second, Detail: "the host that kept the program was lost during the answer"}
	}
	return &sd.Refusal{Reason: sd.KeeperUnavailable, Outcome: sd.Unknown, RetryAfter: sd.Second, Detail: "the host that kept the program was lost during the call"}
}

const (
	firstWait   = 20 * sd.Millisecond
	longestWait = 500 * sd.Millisecond
	askTimeout  = 5 * sd.Second
	defaultLeft = 10 * sd.Minute
	// aliveInterval is the longest time between two frames of a call that runs,
	// longestSilence the time without one after which its keeper counts as lost.
	aliveInterval  = sd.Second
	longestSilence = 3 * sd.Second
)
