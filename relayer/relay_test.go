package relayer_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/gossiper"
	"sapphiredrum.example/sapphiredrum/messenger"
	"sapphiredrum.example/sapphiredrum/relayer"
	"sapphiredrum.example/sapphiredrum/reserver"
)

// way is one host's way to the shared store, with a trouble of its own.
type way struct {
	store   *faker.Rows
	lock    sync.Mutex
	trouble faker.RowsTrouble
	calls   int
}

func (w *way) set(trouble faker.RowsTrouble) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.trouble = trouble
}

func (w *way) called() int {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.calls
}

func (w *way) enter(ctx context.Context) error {
	w.lock.Lock()
	w.calls++
	trouble := w.trouble
	w.lock.Unlock()
	switch {
	case trouble.Silent:
		<-ctx.Done()
		return sd.Uncertain.New("silent")
	case trouble.Down:
		return sd.Unavailable.New("turned away")
	case trouble.Crowded:
		return sd.Busy.New("too much to do")
	}
	return nil
}

func (w *way) Commit(ctx context.Context, u sd.Update) (sd.Page, error) {
	if err := w.enter(ctx); err != nil {
		return sd.Page{}, err
	}
	return w.store.Commit(ctx, u)
}

func (w *way) List(ctx context.Context, table, part, from, to string) (sd.Page, error) {
	if err := w.enter(ctx); err != nil {
		return sd.Page{}, err
	}
	return w.store.List(ctx, table, part, from, to)
}

func (w *way) Watch(ctx context.Context, table string, after uint64, wait sd.Millis) (sd.Page, error) {
	if err := w.enter(ctx); err != nil {
		return sd.Page{}, err
	}
	return w.store.Watch(ctx, table, after, wait)
}

// pair is a host and a peer that reaches the store.
func pair(t *testing.T) (*relayer.Relay, *way, *way) {
	r, mine, peers, _ := pairOf(t)
	return r, mine, peers
}

// pairOf returns the peers of the host as well.
func pairOf(t *testing.T) (*relayer.Relay, *way, *way, func(bool) []gossiper.Peer) {
	rows := faker.NewRows(1)
	client := messenger.NewClient(nil)
	mine, peers := &way{store: rows}, &way{store: rows}
	clock := sd.NewClock()
	none := func(bool) []gossiper.Peer { return nil }
	other := relayer.New(peers, none, "z", client, clock, zap.NewNop())
	e := echo.New()
	messenger.Handle(e, relayer.Message, other.Answer)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: e}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		client.Close()
	})
	alive := func(bool) []gossiper.Peer {
		return []gossiper.Peer{{Host: "other", Zone: "z", Address: sd.Address(listener.Addr().String())}}
	}
	return relayer.New(mine, alive, "z", client, clock, zap.NewNop()), mine, peers, alive
}

func put(key string) sd.Update {
	cell := sd.RecordKey{Table: "t", Key: key}
	return sd.Update{Expect: []sd.Record{{RecordKey: cell}}, Put: []sd.Record{{RecordKey: cell, Value: []byte(key)}}}
}

// A store that turns this host away, or is silent to it, is reached through a
// peer, and found again when it is back.
func TestStoreIsReachedThroughAPeer(t *testing.T) {
	for name, trouble := range map[string]faker.RowsTrouble{"refused": {Down: true}, "silent": {Silent: true}} {
		t.Run(name, func(t *testing.T) {
			r, mine, _ := pair(t)
			mine.set(trouble)
			for _, key := range []string{"a", "b", "c"} {
				if _, err := r.Commit(t.Context(), put(key)); err != nil {
					t.Fatalf("%s: %v", key, err)
				}
			}
			if r.Reaches() {
				t.Fatal("the store does not count as lost")
			}
			page, err := r.Commit(t.Context(), put("a"))
			if !errorx.IsOfType(err, sd.Conflict) || len(page.Records) != 1 {
				t.Fatalf("conflict through a peer: %v, %v", page, err)
			}
			mine.set(faker.RowsTrouble{})
			for range 100 {
				if r.Reaches() {
					return
				}
				_, _ = r.List(t.Context(), "t", "", "", "")
				time.Sleep(20 * time.Millisecond)
			}
			t.Fatal("the store was not found again")
		})
	}
}

// A crowd at the store is not made worse by asking again through peers; a host
// that gets nothing but refusals for a while is turned away.
func TestCrowdIsNotDoubled(t *testing.T) {
	r, mine, peers := pair(t)
	mine.set(faker.RowsTrouble{Crowded: true})
	for range 3 {
		if _, err := r.Commit(t.Context(), put("a")); !errorx.IsOfType(err, sd.Busy) {
			t.Fatal(err)
		}
	}
	if peers.called() != 0 || !r.Reaches() {
		t.Fatalf("%d calls through a peer, reaches %v", peers.called(), r.Reaches())
	}
	for range 20 {
		time.Sleep(20 * time.Millisecond)
		if _, err := r.Commit(t.Context(), put("a")); err == nil {
			return
		}
	}
	t.Fatal("a host that is turned away did not find its way")
}

// With no way at all the error says whether the call may have taken effect.
func TestNoWay(t *testing.T) {
	r, mine, peers := pair(t)
	mine.set(faker.RowsTrouble{Down: true})
	peers.set(faker.RowsTrouble{Down: true})
	if _, err := r.Commit(t.Context(), put("a")); !errorx.IsOfType(err, sd.Unavailable) {
		t.Fatal(err)
	}
	mine.set(faker.RowsTrouble{Silent: true})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if _, err := r.Commit(ctx, put("a")); !errorx.IsOfType(err, sd.Uncertain) {
		t.Fatal(err)
	}
}

// Outage of the store at a large fleet, where a host asks it a few times a second:
// one refusal, or a peer's word, is enough to look, and 0.5 s to know.
func TestARefusingStoreIsKnownSoon(t *testing.T) {
	for name, hint := range map[string]func(r *relayer.Relay){
		"refusal":       func(r *relayer.Relay) { _, _ = r.Commit(context.Background(), put("a")) },
		"a peer's word": func(r *relayer.Relay) { r.Suspect() },
	} {
		t.Run(name, func(t *testing.T) {
			r, mine, _ := pair(t)
			mine.set(faker.RowsTrouble{Crowded: true})
			hint(r)
			for range 25 {
				if !r.Reaches() {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
			t.Fatal("not known after 0.5 s")
		})
	}
}

// A call that may have taken effect is not told as one that was refused, because a peer
// that was asked as well was refused.
func TestRefusalOfAPeerDoesNotHideALostAnswer(t *testing.T) {
	r, mine, peers := pair(t)
	mine.store.Trouble(faker.RowsTrouble{Lost: 1})
	peers.set(faker.RowsTrouble{Crowded: true})
	_, err := r.Commit(t.Context(), put("a"))
	if mine.store.Commits() != 1 {
		t.Fatal("the call did not take effect")
	}
	if !errorx.IsOfType(err, sd.Uncertain) {
		t.Fatalf("got %v, want Uncertain", err)
	}
}

// Held longer than the outage: a call that was sent while the store was silent ended only
// with its own time, long after the store was back.
func TestACallEndsSoonAfterTheStoreIsBack(t *testing.T) {
	r, mine, peers := pair(t)
	mine.set(faker.RowsTrouble{Silent: true})
	peers.set(faker.RowsTrouble{Silent: true})
	ended := make(chan time.Time, 1)
	go func() {
		for {
			if _, err := r.Commit(t.Context(), put("a")); err == nil || errorx.IsOfType(err, sd.Conflict) {
				ended <- time.Now()
				return
			}
		}
	}()
	time.Sleep(400 * time.Millisecond)
	mine.set(faker.RowsTrouble{})
	peers.set(faker.RowsTrouble{})
	back := time.Now()
	// A lost store is looked for every 0.3 s.
	if took := (<-ended).Sub(back); took > 700*time.Millisecond {
		t.Fatalf("the call ended %d ms after the store was back", took.Milliseconds())
	}
}

// Guards against a host that takes the store for lost, or asks a peer for the same rows, because it has no
// room for an answer.
func TestAnswerWithoutRoomIsNoFailureOfTheStore(t *testing.T) {
	_, mine, peers, alive := pairOf(t)
	r := relayer.New(roomless{mine}, alive, "z", messenger.NewClient(nil), sd.NewClock(), zap.NewNop())
	for range 20 {
		if _, err := r.List(t.Context(), "t", "", "", ""); !errorx.IsOfType(err, reserver.Exhausted) {
			t.Fatalf("got %v, want an Exhausted error", err)
		}
	}
	if !r.Reaches() || mine.called() != 20 || peers.called() != 0 {
		t.Errorf("store reached %t, %d calls, %d by the peer", r.Reaches(), mine.called(), peers.called())
	}
}

// roomless has no room for the answers of the store.
type roomless struct{ *way }

func (s roomless) List(ctx context.Context, table, part, from, to string) (sd.Page, error) {
	if _, err := s.way.List(ctx, table, part, from, to); err != nil {
		return sd.Page{}, err
	}
	return sd.Page{}, reserver.Exhausted.New("no room")
}
