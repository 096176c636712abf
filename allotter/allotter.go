package allotter

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/archiver"
	"sapphiredrum.example/sapphiredrum/gossiper"
	"sapphiredrum.example/sapphiredrum/messenger"
)

// Events of this package; docs/EVENTS.md lists them.
const (
	eventEntry  = 670
	eventClosed = 671
	eventAsk    = 672
)

const (
	// grantorPrefix and closedPrefix begin the keys of this package's rows.
	grantorPrefix = "grantor/"
	closedPrefix  = "closed/"
	// fleetKey is the key of the row that the first settled host writes.
	fleetKey = "grantors"
	// requestTimeout limits a request to a grantor: about 100 round trips.
	requestTimeout = 250 * sd.Millisecond
	// closeTimeout limits the wait for the row of a closed program.
	closeTimeout = sd.Second
	// entryInterval is how often a host checks its own entry.
	entryInterval = 500 * sd.Millisecond
	// sweepAge is how long a row is useless before it is removed.
	sweepAge = 2 * programLife
)

// emptyValue is the value of rows that say all with their key.
var emptyValue = []byte("{}")

// Names of the messages between hosts.
const (
	messageAllot  = "allot"
	messageReturn = "return"
	messageClose  = "close"
)

// Config holds the dependencies of an Allotter.
type Config struct {
	Host        sd.HostID
	Incarnation sd.Incarnation
	Store       sd.Store
	// Table is the table of the store that all hosts write and follow.
	Table string
	// Alive returns the hosts that were heard from recently.
	Alive func() []gossiper.Peer
	// Sweeps reports whether this host is the one that removes old rows.
	Sweeps func() bool
	Client *messenger.Client
	Clock  sd.Clock
	Log    *zap.Logger
}

// Allotter obtains allotments for this host's turns and grants those of other hosts. It
// is safe for concurrent use.
type Allotter struct {
	config Config

	lock  sync.Mutex
	state *State
	// rows holds the versions of this package's rows, and seenAt when each of them, or
	// its host, was last of use.
	rows   map[string]sd.Record
	seenAt map[string]sd.Instant
	wake   chan struct{}
}

// New returns an Allotter that grants nothing before Run runs and Change has been called.
func New(config Config) *Allotter {
	return &Allotter{
		config: config, state: NewState(config.Host, config.Incarnation), rows: map[string]sd.Record{}, seenAt: map[string]sd.Instant{},
		wake: make(chan struct{}, 1),
	}
}

// Owns reports whether a row of the table belongs to this package.
func Owns(key string) bool {
	return key == fleetKey || strings.HasPrefix(key, grantorPrefix) || strings.HasPrefix(key, closedPrefix)
}

// Change takes rows of the table that have changed. Rows for which Owns is false are
// ignored.
func (a *Allotter) Change(records []sd.Record) {
	a.lock.Lock()
	defer a.lock.Unlock()
	now := a.config.Clock.Now()
	for _, record := range records {
		if !Owns(record.Key) || record.Version < a.rows[record.Key].Version {
			// A watch may return what was so before this host's own write.
			continue
		}
		if record.Removed {
			delete(a.rows, record.Key)
			delete(a.seenAt, record.Key)
		} else {
			a.rows[record.Key] = sd.Record{RecordKey: record.RecordKey, Version: record.Version}
			a.seenAt[record.Key] = now
		}
		if record.Key == fleetKey {
			a.state.SetFleetSettled()
			continue
		}
		if text, found := strings.CutPrefix(record.Key, closedPrefix); found {
			if program, ok := archiver.ParseKey(text); ok {
				a.state.SetClosed(program, !record.Removed)
			}
			continue
		}
		host := sd.HostID(strings.TrimPrefix(record.Key, grantorPrefix))
		if record.Removed {
			a.state.RemoveEntry(host)
			continue
		}
		var e Entry
		if err := json.Unmarshal(record.Value, &e); err != nil || e.Host != host {
			// The host counts as a grantor that does not grant.
			a.config.Log.Warn("entry of a grantor cannot be used", zap.Int("event", eventEntry), zap.String("host", string(host)), zap.Error(err))
			e = Entry{Host: host, unreadable: true}
		}
		a.state.SetEntry(now, e)
	}
}

// MarkRead records that a read of the table sent at the given time was answered and
// passed to Change.
func (a *Allotter) MarkRead(sent sd.Instant) {
	a.lock.Lock()
	a.state.MarkRead(sent)
	a.lock.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run maintains this host's entry until ctx ends.
func (a *Allotter) Run(ctx context.Context) error {
	ticker := time.NewTicker(entryInterval.Duration())
	defer ticker.Stop()
	for {
		a.writeEntry(ctx)
		a.sweep(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.wake:
		case <-ticker.C:
		}
	}
}

// writeEntry writes this host's entry if it has to change. The write takes effect for
// this host once it is read.
func (a *Allotter) writeEntry(ctx context.Context) {
	a.lock.Lock()
	e, due := a.state.NextEntry(a.config.Clock.Now())
	a.lock.Unlock()
	if due {
		a.putEntry(ctx, e)
	}
}

// putEntry writes an entry of this host.
func (a *Allotter) putEntry(ctx context.Context, e Entry) {
	value, err := json.Marshal(e)
	if err != nil {
		a.config.Log.Error("entry of this host cannot be encoded", zap.Int("event", eventEntry), zap.Error(err))
		return
	}
	key := a.key(grantorPrefix + string(a.config.Host))
	a.lock.Lock()
	version, fleet := a.rows[key.Key].Version, a.rows[fleetKey]
	a.lock.Unlock()
	put := sd.Record{RecordKey: key, Value: value}
	update := sd.Update{Expect: []sd.Record{{RecordKey: key, Version: version}}, Put: []sd.Record{put}}
	switch {
	case version == 0 && e.Phase == Starting:
		update.Expect = append(update.Expect, sd.Record{RecordKey: a.key(fleetKey)})
	case e.Phase == Settled && fleet.Version == 0:
		update.Put = append(update.Put, sd.Record{RecordKey: a.key(fleetKey), Value: emptyValue})
	}
	page, err := a.config.Store.Commit(ctx, update)
	a.config.Log.Info("entry of this host written", zap.Int("event", eventEntry), zap.Int("starts", e.Starts), zap.Int("recorded", e.Recorded),
		zap.Int("programs", len(e.Allotted)), zap.Int("phase", int(e.Phase)), zap.Error(err))
	if err == nil {
		put.Version = page.Version
		a.Change([]sd.Record{put})
	}
}

// Leave is called when this host stops. It allots nothing more, and records what it has allotted.
func (a *Allotter) Leave(ctx context.Context) {
	a.lock.Lock()
	e, due := a.state.Leave(a.config.Clock.Now())
	a.lock.Unlock()
	if due {
		a.putEntry(ctx, e)
	}
}

// sweep forgets programs that have ended long ago, and removes the entries of hosts that
// have been gone, and the rows of programs that have been closed, for sweepAge. The first
// of the hosts alive removes rows.
func (a *Allotter) sweep(ctx context.Context) {
	alive := a.config.Alive()
	now := a.config.Clock.Now()
	var old []sd.Record
	a.lock.Lock()
	a.state.Forget(now)
	a.seenAt[grantorPrefix+string(a.config.Host)] = now
	for _, p := range alive {
		a.seenAt[grantorPrefix+string(p.Host)] = now
	}
	for key, record := range a.rows {
		if now.Since(a.seenAt[key]) >= sweepAge {
			old = append(old, record)
		}
	}
	a.lock.Unlock()
	if len(old) == 0 || !a.config.Sweeps() {
		return
	}
	for _, record := range old {
		_, err := a.config.Store.Commit(ctx, sd.Update{Expect: []sd.Record{record}, Remove: []sd.RecordKey{record.RecordKey}})
		a.config.Log.Info("old row removed", zap.Int("event", eventEntry), zap.String("row", record.Key), zap.Error(err))
		if err != nil {
			return
		}
	}
}

// Allotment is a number of tokens that may be delivered without a reservation.
type Allotment struct {
	Tokens sd.Tokens `json:"tokens"`
	// Grantor and Incarnation name the process that has allotted them.
	Grantor     sd.HostID      `json:"grantor"`
	Incarnation sd.Incarnation `json:"incarnation"`
}

type allotRequest struct {
	Program archiver.Key `json:"program"`
	Budget  sd.Tokens    `json:"budget"`
	AtLeast sd.Tokens    `json:"atLeast"`
	Wanted  sd.Tokens    `json:"wanted"`
}

type returnRequest struct {
	Program     archiver.Key   `json:"program"`
	Incarnation sd.Incarnation `json:"incarnation"`
	Tokens      sd.Tokens      `json:"tokens"`
}

type closeRequest struct {
	Program archiver.Key `json:"program"`
	Budget  sd.Tokens    `json:"budget"`
}

type closeResponse struct {
	Allotted sd.Tokens `json:"allotted"`
}

// RegisterHandlers registers the handlers for requests from other hosts.
func (a *Allotter) RegisterHandlers(router messenger.Router) {
	messenger.Handle(router, messageAllot, a.handleAllot)
	messenger.Handle(router, messageReturn, a.handleReturn)
	messenger.Handle(router, messageClose, a.handleClose)
}

func (a *Allotter) handleAllot(_ context.Context, q allotRequest) (Allotment, error) {
	a.lock.Lock()
	defer a.lock.Unlock()
	tokens := a.state.Allot(a.config.Clock.Now(), q.Program, q.Budget, q.AtLeast, q.Wanted)
	if tokens == 0 {
		return Allotment{}, sd.Unavailable.New("host %s has nothing to allot to the program", a.config.Host)
	}
	return Allotment{Tokens: tokens, Grantor: a.config.Host, Incarnation: a.config.Incarnation}, nil
}

func (a *Allotter) handleReturn(_ context.Context, q returnRequest) (archiver.EmptyResponse, error) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.state.Return(q.Program, q.Incarnation, q.Tokens)
	return archiver.EmptyResponse{}, nil
}

func (a *Allotter) handleClose(ctx context.Context, q closeRequest) (closeResponse, error) {
	a.lock.Lock()
	_, written := a.rows[closedPrefix+q.Program.String()]
	allotted, unchanged, ok := a.state.Close(a.config.Clock.Now(), q.Program, q.Budget)
	expect := a.entryRows(unchanged)
	a.lock.Unlock()
	if !ok {
		return closeResponse{}, sd.Unavailable.New("host %s is not the grantor of the program", a.config.Host)
	}
	if !written {
		if err := a.writeClosed(ctx, q.Program, expect...); err != nil {
			return closeResponse{}, err
		}
		a.config.Log.Info("program closed", zap.Int("event", eventClosed), zap.Stringer("program", q.Program), zap.Int64("allotted", int64(allotted)))
	}
	return closeResponse{allotted}, nil
}

// entryRows returns the rows of hosts' entries as this host has read them. The lock must be held.
func (a *Allotter) entryRows(hosts []sd.HostID) []sd.Record {
	rows := make([]sd.Record, 0, len(hosts))
	for _, host := range hosts {
		rows = append(rows, a.rows[grantorPrefix+string(host)])
	}
	return rows
}

// writeClosed writes the row of a closed program under the condition that the given rows
// are unchanged. Errors are Unavailable.
func (a *Allotter) writeClosed(ctx context.Context, program archiver.Key, expect ...sd.Record) error {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout.Duration())
	defer cancel()
	put := sd.Record{RecordKey: a.key(closedPrefix + program.String()), Value: emptyValue}
	page, err := a.config.Store.Commit(ctx, sd.Update{Expect: expect, Put: []sd.Record{put}})
	if err != nil {
		return sd.Unavailable.Wrap(err, "row of the closed program not written")
	}
	put.Version = page.Version
	a.Change([]sd.Record{put})
	return nil
}

func (a *Allotter) key(name string) sd.RecordKey {
	return sd.RecordKey{Table: a.config.Table, Key: name}
}

// closeByTable closes a program if the table tells that its account may then reserve what is
// needed. Whoever becomes settled later reads the program's row before it allots.
func (a *Allotter) closeByTable(ctx context.Context, program archiver.Key, budget sd.Tokens, demand archiver.Demand, needed sd.Tokens) (sd.Tokens, bool) {
	a.lock.Lock()
	rest, unchanged, known := a.state.ClosedByTable(a.config.Clock.Now(), program, budget, demand)
	expect := append(a.entryRows(unchanged), sd.Record{RecordKey: a.key(fleetKey), Version: a.rows[fleetKey].Version})
	a.lock.Unlock()
	if !known || rest < needed {
		return 0, false
	}
	if err := a.writeClosed(ctx, program, expect...); err != nil {
		a.config.Log.Info("program may have been allotted to", zap.Int("event", eventAsk), zap.Stringer("program", program), zap.Error(err))
		return 0, false
	}
	a.config.Log.Info("program closed", zap.Int("event", eventClosed), zap.Stringer("program", program), zap.Int64("reservable", int64(rest)))
	return rest, true
}

// grantor returns the address of the program's grantor, which is empty for this host. Errors are
// Unavailable: the grantor is unknown or was not heard from recently.
func (a *Allotter) grantor(program archiver.Key) (sd.Address, error) {
	a.lock.Lock()
	host := a.state.Grantor(program)
	a.lock.Unlock()
	return a.address(host)
}

// address returns the address of a host as grantor does.
func (a *Allotter) address(host sd.HostID) (sd.Address, error) {
	if host == a.config.Host {
		return "", nil
	}
	for _, p := range a.config.Alive() {
		if p.Host == host {
			return p.Address, nil
		}
	}
	return "", sd.Unavailable.New("grantor %q of the program is not reached", host)
}

// Reachable reports whether the program's grantor is known and was heard from recently.
func (a *Allotter) Reachable(program archiver.Key) bool {
	_, err := a.grantor(program)
	return err == nil
}

// ask calls handle if the address is empty, which stands for this host, and asks the host there
// otherwise.
func ask[Q, A any](ctx context.Context, a *Allotter, address sd.Address, name string, request Q, handle func(context.Context, Q) (A, error)) (A, error) {
	if address == "" {
		return handle(ctx, request)
	}
	return messenger.Ask[Q, A](ctx, a.config.Client, address, name, request)
}

// Allot obtains up to the wanted number of tokens of a program's budget, and at least
// the given one. Errors are Unavailable and Uncertain; tokens whose allotment was lost
// are not delivered by anyone.
func (a *Allotter) Allot(ctx context.Context, program archiver.Key, budget, atLeast, wanted sd.Tokens) (Allotment, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout.Duration())
	defer cancel()
	address, err := a.grantor(program)
	if err != nil {
		return Allotment{}, err
	}
	return ask(ctx, a, address, messageAllot, allotRequest{program, budget, atLeast, wanted}, a.handleAllot)
}

// Return gives back tokens of an allotment that were not delivered. It is sent once, as
// it must not take effect twice; if it is lost the program has less left to allot.
func (a *Allotter) Return(ctx context.Context, program archiver.Key, from Allotment, tokens sd.Tokens) {
	if tokens <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout.Duration())
	defer cancel()
	address, err := a.address(from.Grantor)
	if err == nil {
		_, err = ask(ctx, a, address, messageReturn, returnRequest{program, from.Incarnation, tokens}, a.handleReturn)
	}
	if err != nil {
		a.config.Log.Info("allotment not returned", zap.Int("event", eventAsk), zap.Stringer("program", program), zap.Error(err))
	}
}

// Close implements archiver.Budgets. If the table leaves too little, as it counts whole shares,
// the host that may have allotted is asked for what it has.
func (a *Allotter) Close(ctx context.Context, program archiver.Key, budget sd.Tokens, demand archiver.Demand, needed sd.Tokens) (sd.Tokens, error) {
	ctx, cancel := context.WithTimeout(ctx, (requestTimeout + closeTimeout).Duration())
	defer cancel()
	if rest, closed := a.closeByTable(ctx, program, budget, demand, needed); closed {
		return rest, nil
	}
	a.lock.Lock()
	host, _ := a.state.allotter(program)
	a.lock.Unlock()
	address, err := a.address(host)
	if err != nil {
		return 0, err
	}
	closed, err := ask(ctx, a, address, messageClose, closeRequest{program, budget}, a.handleClose)
	if err != nil {
		a.config.Log.Info("program cannot be closed", zap.Int("event", eventAsk), zap.Stringer("program", program), zap.Error(err))
		return 0, err
	}
	return reservable(budget, demand, closed.Allotted), nil
}

// Reservable implements archiver.Budgets.
func (a *Allotter) Reservable(budget sd.Tokens, demand archiver.Demand) sd.Tokens {
	return reservable(budget, demand, maxStarts*Share(budget))
}
