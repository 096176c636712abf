package archiver_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/archiver"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/reserver"
)

// pagedStore draws the memory of pages from the holder of each call, as the platform's client does,
// and counts what is read at once.
type pagedStore struct {
	*faker.Rows
	lock       sync.Mutex
	held, most int
}

func (s *pagedStore) List(ctx context.Context, table, part, from, to string) (sd.Page, error) {
	page, err := s.Rows.List(ctx, table, part, from, to)
	size := 0
	for _, record := range page.Records {
		size += len(record.Value) * 4 / 3
	}
	text := reserver.HolderOf(ctx).Reader(io.LimitReader(zeros{}, int64(size)), 64<<10, reserver.MessageFactor)
	if _, failure := io.CopyBuffer(io.Discard, struct{ io.Reader }{text}, make([]byte, 16<<10)); failure != nil {
		return sd.Page{}, failure
	}
	s.hold(reserver.MessageFactor * size)
	defer s.hold(-reserver.MessageFactor * size)
	time.Sleep(5 * time.Millisecond)
	return page, err
}

func (s *pagedStore) hold(bytes int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.held += bytes
	s.most = max(s.most, s.held)
}

type zeros struct{}

func (zeros) Read(to []byte) (int, error) { return len(to), nil }

// Guards against a host that exceeds its memory as many programs go on from long histories: the pages
// of the store were read for all of them at once.
func TestHistoriesAreReadWithinTheBudget(t *testing.T) {
	const programs, turns, size, capacity = 40, 3, 480_000, 28 << 20
	store := &pagedStore{Rows: faker.NewRows(1)}
	for p := range programs {
		program := archiver.ProgramKey("w", sd.ProgramID(fmt.Sprint(p)))
		lane := archiver.Batcher{Part: archiver.Part(program)}
		previous := archiver.Key{}
		for n := range turns {
			key := archiver.TurnKey("w", sd.CallID(fmt.Sprint(p, n)))
			lane.Add(&archiver.Operation{Kind: archiver.Settle, Program: program, Hold: key, Turn: &archiver.Turn{
				Program: program, Key: key, Previous: previous, Origin: program, Input: make([]byte, size),
			}})
			previous = key
		}
		for update, due := lane.Next(1); due; update, due = lane.Next(1) {
			page, err := store.Commit(t.Context(), update)
			lane.Complete(1, page, err)
		}
	}
	clock := sd.NewClock()
	budget := reserver.New(reserver.Settings{Capacity: capacity}, clock)
	a := archiver.New(archiver.Settings{Retention: sd.Minute, Budget: budget}, store, archiver.Peers{}, clock, zap.NewNop())
	read := func(limit time.Duration) (found, refused int) {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		errs := make(chan error, programs)
		for p := range programs {
			go func() {
				last := archiver.TurnKey("w", sd.CallID(fmt.Sprint(p, turns-1)))
				chain, err := a.Chain(ctx, archiver.ProgramKey("w", sd.ProgramID(fmt.Sprint(p))), last)
				if err == nil && len(chain) != turns {
					err = sd.NotFound.New("%d turns found", len(chain))
				}
				errs <- err
			}()
		}
		for range programs {
			switch err := <-errs; {
			case err == nil:
				found++
			case errorx.IsOfType(err, sd.Unavailable):
				refused++
			default:
				t.Error(err)
			}
		}
		return found, refused
	}
	if found, refused := read(20 * time.Second); found != programs {
		t.Errorf("%d of %d histories were read, %d refused, with time for all", found, programs, refused)
	}
	if found, _ := read(100 * time.Millisecond); found == 0 {
		t.Error("no history was read in 100 ms")
	}
	// The first bytes of each page are free.
	if most := capacity + programs*reserver.MessageFactor*(64<<10); store.most > most {
		t.Errorf("pages took %d bytes at once, %d at most", store.most, most)
	}
	if c := budget.Counts(); c.Small+c.Large != 0 {
		t.Errorf("%d bytes are still reserved", c.Small+c.Large)
	}
}
