package recorder_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	root "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/keeper"
	"sapphiredrum.example/sapphiredrum/recorder"
)

// Several callers ask for the same calls at once while the platform fails now
// and then: each call is permitted once, Close stores the outcomes, and the next
// owner finds them.
func TestRecorderPermitsOnce(t *testing.T) {
	pattern := []fault{healthy, refused, healthy, healthy, lostAfter, lostAfter, healthy, refused, refused}
	for shift := range pattern {
		service := &service{platform: newPlatform(), faults: slices.Concat(pattern[shift:], pattern[:shift])}
		first := open(t, service, 1)
		var group sync.WaitGroup
		var mutex sync.Mutex
		permitted := make(map[root.CallID]int)
		for i := range 12 {
			intent := intentOf(i % 4)
			group.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+i*i)*time.Millisecond)
				defer cancel()
				in, err := first.Intend(ctx, intent)
				if err != nil || !in.Fresh {
					return
				}
				mutex.Lock()
				permitted[intent.Call]++
				mutex.Unlock()
				first.Settle(intent, in.Ticket, root.Ran, "done")
			})
		}
		group.Wait()
		first.Close()
		second := open(t, service, 2)
		for i := range 4 {
			intent := intentOf(i)
			if n := permitted[intent.Call]; n > 1 {
				t.Fatalf("call %s is permitted %d times", intent.Call, n)
			}
			in, found, err := second.Recall(intent)
			if found != (permitted[intent.Call] == 1) && in.Outcome != root.Unknown {
				t.Fatalf("call %s is permitted %d times and recalled as %v, %v", intent.Call, permitted[intent.Call], in, err)
			}
			if found && in.Answer != "done" && in.Outcome != root.Unknown {
				t.Fatalf("call %s is recalled as %v", intent.Call, in)
			}
		}
		second.Close()
	}
}

func intentOf(i int) recorder.Intent {
	return recorder.Intent{Shard: busy, Key: recorder.Key{Workspace: "w", Call: root.CallID(itoa(i))}}
}

// open starts a recorder and takes the shard over.
func open(t *testing.T, s *service, epoch root.Epoch) *recorder.Recorder {
	rules := recorder.DefaultRules
	rules.Writes, rules.Least, rules.Patience = 2000, 1, 50
	r := recorder.New(recorder.Options{
		Rules: rules, Host: "h", Incarnation: root.Incarnation(epoch), Table: s, Objects: s,
		Clock: root.NewClock(), Log: zap.NewNop(), Listener: listener{}, Timeout: root.Second,
	})
	go func() { _ = r.Run(context.Background()) }()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	loaded, err := r.Load(ctx, busy, epoch, 0)
	if err != nil {
		t.Fatalf("load: %v", err)
	}
	r.Rebase(busy, epoch, loaded.Records)
	return r
}

// listener is a host that keeps no programs.
type listener struct{}

func (listener) Image(root.ShardID) (root.Epoch, []keeper.Record) { return 0, nil }
func (listener) Notify(recorder.Event)                            {}

// service is the platform behind its interfaces, with faults in turn.
type service struct {
	mutex    sync.Mutex
	platform *platform
	faults   []fault
	number   int
}

func (s *service) do(a recorder.Action) recorder.Answer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.number++
	return s.platform.do(a, s.faults[s.number%len(s.faults)])
}

func (s *service) Read(_ context.Context, keys ...root.RowKey) ([]root.Row, error) {
	a := s.do(recorder.Read{Keys: keys})
	return a.Rows, a.Error
}

func (s *service) Changes(context.Context, root.RowKey, root.Sequence) ([]root.Row, root.Sequence, error) {
	return nil, 0, root.Unavailable.New("not used")
}

func (s *service) Commit(_ context.Context, t root.Transaction) (root.Sequence, error) {
	return 0, s.do(recorder.Commit{Transaction: t}).Error
}

func (s *service) Put(_ context.Context, name string, value []byte) error {
	return s.do(recorder.Put{Name: name, Value: value}).Error
}

func (s *service) Get(_ context.Context, name string) ([]byte, error) {
	a := s.do(recorder.Get{Name: name})
	return a.Value, a.Error
}

func (s *service) Delete(_ context.Context, name string) error {
	return s.do(recorder.Delete{Name: name}).Error
}
