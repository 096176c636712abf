package archiver_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/archiver"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/reserver"
)

// slowPeer is a host that reads nothing of an answer until it is released.
type slowPeer struct {
	*httptest.ResponseRecorder
	began    chan<- struct{}
	released <-chan struct{}
}

func (p *slowPeer) WriteHeader(status int) {
	p.began <- struct{}{}
	<-p.released
	p.ResponseRecorder.WriteHeader(status)
}

// recall asks a host for a turn, as another host does.
func (p *slowPeer) recall(t *testing.T, router http.Handler, turn archiver.Key) (archiver.RecallResponse, int) {
	request, err := json.Marshal(archiver.RecallRequest{Turn: turn})
	if err != nil {
		t.Error(err)
	}
	ctx, done := context.WithCancel(t.Context())
	defer done()
	message := httptest.NewRequestWithContext(ctx, http.MethodPost, "/peer/recall", bytes.NewReader(request))
	router.ServeHTTP(p, message)
	size := p.Body.Len()
	var sealed struct{ Body archiver.RecallResponse }
	if err := json.NewDecoder(p.Body).Decode(&sealed); err != nil {
		t.Error(err)
	}
	return sealed.Body, size
}

// Guards against a host that exceeds its memory as others ask it for many turns at once: it encoded all
// their chains, whatever room there was.
func TestRecalledTurnsAreSentWithinTheBudget(t *testing.T) {
	const peers, length, size, capacity = 60, 3, 480_000, 40 << 20
	store := &countedStore{Rows: faker.NewRows(1)}
	program := archiver.ProgramKey("w", "p")
	keys := storeTurns(t, store, program, [][]byte{make([]byte, size), make([]byte, size), make([]byte, size)}, func(n int) int { return n - 1 })
	clock := sd.NewClock()
	budget := reserver.New(reserver.Settings{Capacity: capacity}, clock)
	a := archiver.New(archiver.Settings{CacheCapacity: 8 << 20, Retention: sd.Minute, Budget: budget}, store, archiver.Peers{}, clock, zap.NewNop())
	if _, err := a.Chain(t.Context(), program, keys[length-1]); err != nil {
		t.Fatal(err)
	}
	router := echo.New()
	a.RegisterHandlers(router)
	began, released := make(chan struct{}, peers), make(chan struct{})
	sent, whole := 0, 0
	var lock sync.Mutex
	var group sync.WaitGroup
	for range peers {
		group.Go(func() {
			p := slowPeer{httptest.NewRecorder(), began, released}
			answer, n := p.recall(t, router, keys[length-1])
			lock.Lock()
			defer lock.Unlock()
			sent += n
			if len(answer.Turns) == length {
				whole++
			}
			if len(answer.Turns) == 0 && !answer.Storing {
				t.Error("a turn for which there is no room counts as unknown")
			}
		})
	}
	for range peers {
		<-began
	}
	close(released)
	group.Wait()
	if most := capacity / reserver.MessageFactor; sent > most {
		t.Errorf("%d bytes were sent at once, %d at most", sent, most)
	}
	if whole == 0 {
		t.Error("no chain was sent")
	}
	p := slowPeer{httptest.NewRecorder(), began, released}
	if answer, _ := p.recall(t, router, keys[length-1]); len(answer.Turns) != length {
		t.Errorf("%d turns of %d were sent once there was room", len(answer.Turns), length)
	}
	for range 100 {
		if c := budget.Counts(); c.Small+c.Large == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%+v is still reserved", budget.Counts())
}
