package archiver_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/archiver"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/gossiper"
	"sapphiredrum.example/sapphiredrum/messenger"
	"sapphiredrum.example/sapphiredrum/relayer"
)

// fleet is a set of archives that share one store and exchange messages over loopback.
type fleet struct {
	t    *testing.T
	rows *faker.Rows
	// store is what hosts call; it leads to rows.
	store sd.Store
	hosts []*testHost
	lock  sync.Mutex
	away  bool
	clock sd.Clock
	// started counts host starts; it gives each host its incarnation.
	started int
	client  *messenger.Client
	// forgetful fleets do not count dead hosts.
	forgetful bool
	// link, if set, returns a host's own way to the store.
	link func(m *testHost, router messenger.Router) sd.Store
}

type testHost struct {
	*archiver.Archive
	peer   gossiper.Peer
	server *http.Server
	stop   context.CancelFunc
	ended  chan struct{}
	gone   bool
	// cut hosts are partitioned from the others, but see each other.
	cut bool
	// relay is the host's own way to the store; nil if all share one.
	relay *relayer.Relay
	// away is set while the store turns the host away.
	away atomic.Bool
	// recalls counts the recall requests received.
	recalls atomic.Int64
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, rows: faker.NewRows(1), clock: sd.NewClock(), client: messenger.NewClient(nil)}
	f.store = f.rows
	f.run(n)
	return f
}

// run starts the first n hosts and stops all of them with the test.
func (f *fleet) run(n int) {
	f.start(n)
	f.t.Cleanup(func() {
		f.powerOff()
		f.client.Close()
	})
}

// start adds n hosts with empty memory.
func (f *fleet) start(n int) {
	f.t.Helper()
	for i := range n {
		f.boot(i, n)
	}
}

// boot adds host i of n with empty memory, or replaces it.
func (f *fleet) boot(i, n int) {
	f.t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.started++
	m := &testHost{ended: make(chan struct{})}
	m.peer = gossiper.Peer{
		Host: sd.HostID(string(rune('a' + i))), Zone: sd.ZoneName([]string{"z1", "z2"}[i%2]),
		Address: sd.Address(listener.Addr().String()), Incarnation: sd.Incarnation(f.started), Cores: 1,
	}
	e := echo.New()
	store := f.store
	if f.link != nil {
		store = f.link(m, e)
	}
	m.Archive = archiver.New(archiver.Settings{CacheCapacity: 1 << 20, Retention: sd.Minute}, store, archiver.Peers{
		Self: m.peer, Alive: func() []gossiper.Peer { return f.alive(m) }, HostCount: func() int { return f.known(m, n) },
		StoreUnreachable: f.isAway, Client: f.client,
	}, f.clock, zap.NewNop())
	e.Use(func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if strings.HasSuffix(c.Path(), "/recall") {
				m.recalls.Add(1)
			}
			return next(c)
		}
	})
	m.RegisterHandlers(e)
	m.server = &http.Server{Handler: e}
	go func() { _ = m.server.Serve(listener) }()
	ctx, stop := context.WithCancel(f.t.Context())
	m.stop = stop
	go func() {
		_ = m.Run(ctx)
		close(m.ended)
	}()
	f.lock.Lock()
	if i < len(f.hosts) {
		f.hosts[i] = m
	} else {
		f.hosts = append(f.hosts, m)
	}
	f.lock.Unlock()
}

// powerOff kills all hosts at the same time.
func (f *fleet) powerOff() {
	f.lock.Lock()
	n := len(f.hosts)
	f.lock.Unlock()
	var ends sync.WaitGroup
	for i := range n {
		ends.Add(1)
		go func() {
			defer ends.Done()
			f.kill(i)
		}()
	}
	ends.Wait()
}

// powerOn starts all hosts again with empty memory.
func (f *fleet) powerOn() {
	f.t.Helper()
	f.lock.Lock()
	n := len(f.hosts)
	f.hosts = nil
	f.lock.Unlock()
	f.start(n)
}

func (f *fleet) alive(of *testHost) []gossiper.Peer {
	f.lock.Lock()
	defer f.lock.Unlock()
	var list []gossiper.Peer
	for _, m := range f.hosts {
		if m != of && !m.gone && m.cut == of.cut {
			list = append(list, m.peer)
		}
	}
	return list
}

// known returns the number of hosts that a host of n knows.
func (f *fleet) known(of *testHost, n int) int {
	if f.forgetful {
		return len(f.alive(of)) + 1
	}
	return n
}

func (f *fleet) isAway() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.away
}

func (f *fleet) setStoreUp(there bool) {
	f.rows.Trouble(faker.RowsTrouble{Down: !there})
	f.lock.Lock()
	defer f.lock.Unlock()
	f.away = !there
}

func (f *fleet) kill(i int) {
	m := f.hosts[i]
	f.lock.Lock()
	was := m.gone
	m.gone = true
	f.lock.Unlock()
	if was {
		return
	}
	_ = m.server.Close()
	m.stop()
	<-m.ended
}

// turn runs one turn of a program on a host; previous may be empty.
func (f *fleet) turn(at int, program, id, previous string) error {
	ctx, cancel := context.WithTimeout(f.t.Context(), 3*time.Second)
	defer cancel()
	ended, err := f.begin(ctx, at, program, id, previous)
	if err != nil {
		return err
	}
	return <-ended
}

// begin starts one turn and returns once it is reserved. The channel receives the
// result of settling it.
func (f *fleet) begin(ctx context.Context, at int, program, id, previous string) (<-chan error, error) {
	m := f.hosts[at]
	p := archiver.ProgramKey("w", sd.ProgramID(program))
	t := &archiver.Turn{Program: p, Key: archiver.TurnKey("w", sd.CallID(id)), Input: []byte("in " + id), Output: []byte("out " + id + "\n")}
	if previous != "" {
		chain, err := m.Chain(ctx, p, archiver.TurnKey("w", sd.CallID(previous)))
		if err != nil {
			return nil, err
		}
		last := chain[len(chain)-1]
		t.Previous, t.Origin = last.Key, last.Program
	}
	hold, err := m.Reserve(ctx, p, t.Key, archiver.NewDemand(100, 1), 350)
	if err != nil {
		return nil, err
	}
	ended := make(chan error, 1)
	go func() {
		err := m.Settle(ctx, p, hold, 50, t)
		ended <- err
	}()
	return ended, nil
}

func (f *fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// spent returns the spent tokens of a program's account in the store.
func (f *fleet) spent(program string) sd.Tokens {
	f.t.Helper()
	p := archiver.ProgramKey("w", sd.ProgramID(program))
	row := f.rows.Row(sd.RecordKey{Table: archiver.TablePrograms, Part: archiver.Part(p), Key: p.String() + "/"})
	account, err := archiver.DecodeAccount(row.Value)
	f.must(err)
	return account.Spent
}

func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	for range 200 {
		if holds() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatal("condition not met in time: " + what)
}

// Any host can continue from a turn that another host served, even after that host
// has died.
func TestTurnsAreFoundByAnyHost(t *testing.T) {
	f := newFleet(t, 3)
	f.must(f.turn(0, "p", "t1", ""))
	f.must(f.turn(1, "p", "t2", "t1"))
	f.kill(1)
	f.must(f.turn(2, "p", "t3", "t2"))
	// A new program may continue from another program's turn.
	f.must(f.turn(0, "q", "u1", "t3"))
	if got := f.spent("p"); got != 150 {
		t.Fatalf("spent %d, want 150", got)
	}
}

// Every host refuses a turn that exceeds the remaining budget.
func TestBudgetHoldsOverHosts(t *testing.T) {
	f := newFleet(t, 3)
	previous := ""
	for i, at := range []int{0, 1, 2, 0, 1, 2} {
		id := string(rune('a' + i))
		f.must(f.turn(at, "p", id, previous))
		previous = id
	}
	// 300 of 350 are spent; a turn reserves 100.
	if err := f.turn(2, "p", "z", previous); !errorx.IsOfType(err, archiver.BudgetExhausted) {
		t.Fatalf("got %v, want Exhausted", err)
	}
}

// Turns that arrive on any host during a store outage run only once it is over, stay
// within their budget, and are charged once.
func TestTurnsWaitForTheStore(t *testing.T) {
	f := newFleet(t, 5)
	f.must(f.turn(0, "p", "t1", ""))
	f.setStoreUp(false)
	ends := make(chan error, 10)
	for i, id := range []string{"t2", "t3", "t4"} {
		go func() { ends <- f.turn(i, "p", id, "t1") }()
	}
	go func() { ends <- f.turn(4, "new", "n1", "") }()
	time.Sleep(500 * time.Millisecond)
	if n := len(ends); n > 0 {
		t.Fatalf("%d turns ended during the store outage, first: %v", n, <-ends)
	}
	f.setStoreUp(true)
	for range 4 {
		f.must(<-ends)
	}
	for i, id := range []string{"t5", "t6"} {
		f.must(f.turn(i, "p", id, "t4"))
	}
	if err := f.turn(4, "p", "t7", "t6"); !errorx.IsOfType(err, archiver.BudgetExhausted) {
		t.Fatalf("seventh turn: got %v, want Exhausted", err)
	}
	if p, other := f.spent("p"), f.spent("new"); p != 300 || other != 50 {
		t.Fatalf("spent %d and %d, want 300 and 50", p, other)
	}
	f.must(f.turn(4, "new", "n2", "n1"))
}

func accountKeyOf(program string) sd.RecordKey {
	p := archiver.ProgramKey("w", sd.ProgramID(program))
	return sd.RecordKey{Table: archiver.TablePrograms, Part: archiver.Part(p), Key: p.String() + "/"}
}

// A turn that waits for the store during an outage completes although the sequencer of
// its program dies.
func TestATurnOutlivesItsSequencer(t *testing.T) {
	f := newFleet(t, 5)
	var alive []gossiper.Peer
	for _, m := range f.hosts {
		alive = append(alive, m.peer)
	}
	sequencer := archiver.Sequencer(archiver.Part(archiver.ProgramKey("w", "p")), alive)
	dies, serves := 0, 0
	for i, m := range f.hosts {
		if m.peer.Host == sequencer.Host {
			dies, serves = i, (i+1)%len(f.hosts)
		}
	}
	f.must(f.turn(serves, "p", "t1", ""))
	f.setStoreUp(false)
	second := make(chan error, 1)
	go func() { second <- f.turn(serves, "p", "t2", "t1") }()
	time.Sleep(100 * time.Millisecond)
	f.kill(dies)
	time.Sleep(100 * time.Millisecond)
	f.setStoreUp(true)
	f.must(<-second)
	f.must(f.turn(serves, "p", "t3", "t2"))
	if got := f.spent("p"); got != 150 {
		t.Fatalf("spent %d, want 150", got)
	}
}

// A partitioned minority without access to the store serves no turns. A turn that the
// minority may hold is reported as Unavailable, not as unknown.
func TestAMinorityDecidesNothing(t *testing.T) {
	f := newFleet(t, 5)
	f.must(f.turn(0, "p", "t1", ""))
	f.setStoreUp(false)
	f.lock.Lock()
	f.hosts[0].cut, f.hosts[2].cut = true, true
	f.lock.Unlock()
	if err := f.turn(0, "p", "t2", "t1"); !errorx.IsOfType(err, sd.Unavailable) {
		t.Fatalf("minority: got %v, want Unavailable", err)
	}
	f.setStoreUp(true)
	if err := f.turn(1, "p", "t3", "never"); !errorx.IsOfType(err, sd.Unavailable) {
		t.Fatalf("unknown turn with unreachable hosts: got %v, want Unavailable", err)
	}
	f.lock.Lock()
	f.hosts[0].cut, f.hosts[2].cut = false, false
	f.lock.Unlock()
	if err := f.turn(1, "p", "t3", "never"); !errorx.IsOfType(err, sd.NotFound) {
		t.Fatalf("unknown turn with all hosts reachable: got %v, want NotFound", err)
	}
}

// Programs that start on any host during a store outage are all served once it is over.
func TestProgramsThatBeginInAnOutageAreServed(t *testing.T) {
	f := newFleet(t, 5)
	f.setStoreUp(false)
	errs := make(chan error, 20)
	for i := range 20 {
		go func() { errs <- f.turn(i%5, "p"+string(rune('a'+i)), "t"+string(rune('a'+i)), "") }()
	}
	time.Sleep(300 * time.Millisecond)
	f.setStoreUp(true)
	for range 20 {
		f.must(<-errs)
	}
	for i := range 20 {
		if got := f.spent("p" + string(rune('a'+i))); got != 50 {
			t.Errorf("program %d is charged %d, want 50", i, got)
		}
	}
}
