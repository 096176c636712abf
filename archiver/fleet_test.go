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
)

// fleet is a few hosts' archives over one store, joined by loopback messages.
type fleet struct {
	t     *testing.T
	rows  *faker.Rows
	hosts []*member
	lock  sync.Mutex
	away  bool
	clock sd.Clock
	// started counts the starts of hosts.
	started int
	client  *messenger.Client
}

type member struct {
	*archiver.Archive
	peer   gossiper.Peer
	server *http.Server
	stop   context.CancelFunc
	ended  chan struct{}
	gone   bool
	// cut hosts neither hear nor are heard.
	cut bool
	// recalls counts the questions for turns.
	recalls atomic.Int64
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, rows: faker.NewRows(1), clock: sd.NewClock(), client: messenger.NewClient(nil)}
	f.start(n)
	t.Cleanup(func() {
		f.powerOff()
		f.client.Close()
	})
	return f
}

// start adds n hosts that know nothing.
func (f *fleet) start(n int) {
	f.t.Helper()
	for i := range n {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			f.t.Fatal(err)
		}
		f.started++
		m := &member{ended: make(chan struct{})}
		m.peer = gossiper.Peer{
			Host: sd.HostID(string(rune('a' + i))), Zone: sd.ZoneName([]string{"z1", "z2"}[i%2]),
			Address: sd.Address(listener.Addr().String()), Incarnation: sd.Incarnation(f.started), Power: 1,
		}
		m.Archive = archiver.New(archiver.Settings{Memory: 1 << 20, Retention: sd.Minute}, f.rows, archiver.Peers{
			Self: m.peer, Alive: func() []gossiper.Peer { return f.alive(m) }, Hosts: func() int { return n },
			Away: f.isAway, Client: f.client,
		}, f.clock, zap.NewNop())
		e := echo.New()
		e.Use(func(next echo.HandlerFunc) echo.HandlerFunc {
			return func(c echo.Context) error {
				if strings.HasSuffix(c.Path(), "/recall") {
					m.recalls.Add(1)
				}
				return next(c)
			}
		})
		m.Answer(e)
		m.server = &http.Server{Handler: e}
		go func() { _ = m.server.Serve(listener) }()
		ctx, stop := context.WithCancel(f.t.Context())
		m.stop = stop
		go func() {
			_ = m.Run(ctx)
			close(m.ended)
		}()
		f.lock.Lock()
		f.hosts = append(f.hosts, m)
		f.lock.Unlock()
	}
}

// powerOff ends all hosts at the same moment.
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

// powerOn starts all hosts anew, without what they knew.
func (f *fleet) powerOn() {
	f.t.Helper()
	f.lock.Lock()
	n := len(f.hosts)
	f.hosts = nil
	f.lock.Unlock()
	f.start(n)
}

func (f *fleet) alive(of *member) []gossiper.Peer {
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

func (f *fleet) isAway() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.away
}

func (f *fleet) store(there bool) {
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

// turn runs one turn of a program at a host; previous may be empty.
func (f *fleet) turn(at int, program, id, previous string) error {
	ctx, cancel := context.WithTimeout(f.t.Context(), 3*time.Second)
	defer cancel()
	ended, err := f.begin(ctx, at, program, id, previous)
	if err != nil {
		return err
	}
	return <-ended
}

// begin runs one turn and returns once it is reserved; its end is told on the channel.
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
	hold, err := m.Reserve(ctx, p, t.Key, 100, 350)
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

// spent reads a program's account from the store once nothing is waiting.
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
	f.t.Fatal("not in time: " + what)
}

// Any host goes on from a turn that another one served, also after that one died.
func TestTurnsAreFoundByAnyHost(t *testing.T) {
	f := newFleet(t, 3)
	f.must(f.turn(0, "p", "t1", ""))
	f.must(f.turn(1, "p", "t2", "t1"))
	f.kill(1)
	f.must(f.turn(2, "p", "t3", "t2"))
	// A new program may go on from another one's turn.
	f.must(f.turn(0, "q", "u1", "t3"))
	if got := f.spent("p"); got != 150 {
		t.Fatalf("spent %d, want 150", got)
	}
}

// A budget is refused once it does not hold one more turn, whichever host is asked.
func TestBudgetHoldsOverHosts(t *testing.T) {
	f := newFleet(t, 3)
	previous := ""
	for i, at := range []int{0, 1, 2, 0, 1, 2} {
		id := string(rune('a' + i))
		f.must(f.turn(at, "p", id, previous))
		previous = id
	}
	// 300 of 350 are spent; a turn may take 100.
	if err := f.turn(2, "p", "z", previous); !errorx.IsOfType(err, archiver.Exhausted) {
		t.Fatalf("got %v, want Exhausted", err)
	}
}

// Outage: turns that come while the store is away run once it is back and not before,
// at any host, within their budget, and are charged once.
func TestTurnsWaitForTheStore(t *testing.T) {
	f := newFleet(t, 5)
	f.must(f.turn(0, "p", "t1", ""))
	f.store(false)
	ends := make(chan error, 10)
	for i, id := range []string{"t2", "t3", "t4"} {
		go func() { ends <- f.turn(i, "p", id, "t1") }()
	}
	go func() { ends <- f.turn(4, "new", "n1", "") }()
	time.Sleep(500 * time.Millisecond)
	if n := len(ends); n > 0 {
		t.Fatalf("%d turns ended while the store was away, first: %v", n, <-ends)
	}
	f.store(true)
	for range 4 {
		f.must(<-ends)
	}
	for i, id := range []string{"t5", "t6"} {
		f.must(f.turn(i, "p", id, "t4"))
	}
	if err := f.turn(4, "p", "t7", "t6"); !errorx.IsOfType(err, archiver.Exhausted) {
		t.Fatalf("seventh turn: got %v, want Exhausted", err)
	}
	if p, other := f.spent("p"), f.spent("new"); p != 300 || other != 50 {
		t.Fatalf("spent %d and %d, want 300 and 50", p, other)
	}
	f.must(f.turn(4, "new", "n2", "n1"))
}

func cellOf(program string) sd.RecordKey {
	p := archiver.ProgramKey("w", sd.ProgramID(program))
	return sd.RecordKey{Table: archiver.TablePrograms, Part: archiver.Part(p), Key: p.String() + "/"}
}

// Outage and death: a turn that waits for the store outlives the sequencer of its program.
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
	f.store(false)
	second := make(chan error, 1)
	go func() { second <- f.turn(serves, "p", "t2", "t1") }()
	time.Sleep(100 * time.Millisecond)
	f.kill(dies)
	time.Sleep(100 * time.Millisecond)
	f.store(true)
	f.must(<-second)
	f.must(f.turn(serves, "p", "t3", "t2"))
	if got := f.spent("p"); got != 150 {
		t.Fatalf("spent %d, want 150", got)
	}
}

// Cut: a minority that does not reach the store decides nothing, and a turn that
// it may hold is not said to be unknown.
func TestAMinorityDecidesNothing(t *testing.T) {
	f := newFleet(t, 5)
	f.must(f.turn(0, "p", "t1", ""))
	f.store(false)
	f.lock.Lock()
	f.hosts[0].cut, f.hosts[2].cut = true, true
	f.lock.Unlock()
	if err := f.turn(0, "p", "t2", "t1"); !errorx.IsOfType(err, sd.Unavailable) {
		t.Fatalf("minority: got %v, want Unavailable", err)
	}
	f.store(true)
	if err := f.turn(1, "p", "t3", "never"); !errorx.IsOfType(err, sd.Unavailable) {
		t.Fatalf("unknown turn while hosts are not in reach: got %v, want Unavailable", err)
	}
	f.lock.Lock()
	f.hosts[0].cut, f.hosts[2].cut = false, false
	f.lock.Unlock()
	if err := f.turn(1, "p", "t3", "never"); !errorx.IsOfType(err, sd.NotFound) {
		t.Fatalf("unknown turn with all hosts in reach: got %v, want Absent", err)
	}
}

// Outage: programs that begin at all hosts while the store is away are all served once it
// is back.
func TestProgramsThatBeginInAnOutageAreServed(t *testing.T) {
	f := newFleet(t, 5)
	f.store(false)
	errs := make(chan error, 20)
	for i := range 20 {
		go func() { errs <- f.turn(i%5, "p"+string(rune('a'+i)), "t"+string(rune('a'+i)), "") }()
	}
	time.Sleep(300 * time.Millisecond)
	f.store(true)
	for range 20 {
		f.must(<-errs)
	}
	for i := range 20 {
		if got := f.spent("p" + string(rune('a'+i))); got != 50 {
			t.Errorf("program %d is charged %d, want 50", i, got)
		}
	}
}
