package starter_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/platform"
)

// heldStore is a store that loses the answers of some commits, which take effect when the test
// says so, if their conditions hold then.
type heldStore struct {
	*faker.Rows
	lock  sync.Mutex
	holds func(sd.Update) bool
	held  []sd.Update
}

func (s *heldStore) Commit(ctx context.Context, update sd.Update) (sd.Page, error) {
	s.lock.Lock()
	if s.holds != nil && s.holds(update) {
		s.held = append(s.held, update)
		s.lock.Unlock()
		return sd.Page{}, sd.Uncertain.New("answer lost")
	}
	s.lock.Unlock()
	return s.Rows.Commit(ctx, update)
}

// hold sets which commits are held from now on.
func (s *heldStore) hold(holds func(sd.Update) bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.holds = holds
}

// release performs the commits that were held and returns their number.
func (s *heldStore) release(ctx context.Context) int {
	s.lock.Lock()
	held := s.held
	s.held, s.holds = nil, nil
	s.lock.Unlock()
	for _, update := range held {
		_, _ = s.Rows.Commit(ctx, update)
	}
	return len(held)
}

func hostRow(name string) sd.RecordKey {
	return sd.RecordKey{Table: platform.PeerTable, Key: name}
}

// incarnation returns the start of a host that its row names, or zero if there is no row.
func (s *site) incarnation(name string) sd.Incarnation {
	s.t.Helper()
	var row platform.PeerRow
	if record := s.rows.Row(hostRow(name)); record.Version > 0 {
		if err := json.Unmarshal(record.Value, &row); err != nil {
			s.t.Fatal(err)
		}
	}
	return row.Incarnation
}

// eventuallyRow waits until a host's row names a start that fits.
func (s *site) eventuallyRow(name, what string, fits func(sd.Incarnation) bool) sd.Incarnation {
	s.t.Helper()
	s.eventually(what, func() bool { return fits(s.incarnation(name)) })
	return s.incarnation(name)
}

func there(i sd.Incarnation) bool { return i != 0 }

// settled is longer than a host takes to read and write its row.
const settled = 1500 * time.Millisecond

// Guards against a removal that takes effect after the host's next start taking the row of
// that start, so that the others forget the host.
func TestLateRemovalLeavesTheRowOfTheNextStart(t *testing.T) {
	s := newSite(t)
	s.host("h2")
	_, _, stop := s.host("h1")
	first := s.eventuallyRow("h1", "row of the first start", there)
	s.held.hold(func(u sd.Update) bool { return len(u.Remove) > 0 && u.Remove[0] == hostRow("h1") })
	stop()
	s.host("h1")
	next := s.eventuallyRow("h1", "row of the next start", func(i sd.Incarnation) bool { return there(i) && i != first })
	if n := s.held.release(t.Context()); n == 0 {
		t.Fatal("the host did not remove its row")
	}
	for end := time.Now().Add(settled); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if got := s.incarnation("h1"); got != next {
			t.Fatalf("row names start %v, want %v", got, next)
		}
	}
}

// Guards against a late write of an earlier start taking the place of the next start's row.
func TestLateWriteLeavesTheRowOfTheNextStart(t *testing.T) {
	s := newSite(t)
	s.held.hold(func(u sd.Update) bool { return len(u.Put) > 0 && u.Put[0].RecordKey == hostRow("h1") })
	_, _, stop := s.host("h1")
	stop()
	s.held.hold(nil)
	s.host("h1")
	next := s.eventuallyRow("h1", "row of the next start", there)
	if n := s.held.release(t.Context()); n == 0 {
		t.Fatal("the host did not write its row")
	}
	if got := s.incarnation("h1"); got != next {
		t.Fatalf("row names start %v, want %v", got, next)
	}
}

// Guards against a host staying unknown to the others once its row is gone or names another
// start, as it does after a late write of a host of a version without conditions.
func TestHostWritesItsRowAgain(t *testing.T) {
	s := newSite(t)
	s.host("h1")
	own := s.eventuallyRow("h1", "row of the host", there)
	isOwn := func(i sd.Incarnation) bool { return i == own }
	for range 3 {
		s.rows.Remove(hostRow("h1"))
		s.eventuallyRow("h1", "row is there again after its removal", isOwn)
	}
	s.rows.Write(hostRow("h1"), fmt.Appendf(nil, `{"host":"h1","zone":"z","address":"127.0.0.1:9","incarnation":%d}`, own+1))
	s.eventuallyRow("h1", "row of an earlier start is replaced", isOwn)
}

// Guards against a stopping host leaving its row behind, or removing that of another start.
func TestStoppingHostRemovesItsOwnRowOnly(t *testing.T) {
	s := newSite(t)
	_, _, stop := s.host("h1")
	own := s.eventuallyRow("h1", "row of the host", there)
	stop()
	if got := s.incarnation("h1"); there(got) {
		t.Errorf("row names start %v after the host stopped", got)
	}
	_, _, stop = s.host("h1")
	s.eventuallyRow("h1", "row of the next start", there)
	s.held.hold(func(u sd.Update) bool {
		// Another start writes its row just before the removal is performed.
		if len(u.Remove) > 0 && u.Remove[0] == hostRow("h1") {
			s.rows.Write(hostRow("h1"), fmt.Appendf(nil, `{"host":"h1","zone":"z","address":"127.0.0.1:9","incarnation":%d}`, own+1))
		}
		return false
	})
	stop()
	if got := s.incarnation("h1"); got != own+1 {
		t.Errorf("row names start %v, want %v", got, own+1)
	}
}
