package screener

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	sd "sapphiredrum.example/sapphiredrum"
)

// signature returns that of a request whose body is longer than a start.
func signature(address, end string) Signature {
	return NewSignature("w", "POST", address, []byte(strings.Repeat("x", startBytes)+end))
}

// store writes a state's pending counts to itself, as if the store had taken them.
func store(t *testing.T, s *State, now sd.Instant, version uint64) {
	t.Helper()
	update, err := s.NextUpdate()
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range update.Remove {
		update.Put = append(update.Put, sd.Record{RecordKey: key, Removed: true})
	}
	for _, record := range update.Put {
		record.Version = version
		if err := s.Change(now, record); err != nil {
			t.Fatal(err)
		}
	}
}

func TestSignatureTellsRequestsApart(t *testing.T) {
	long := bytes.Repeat([]byte("x"), startBytes)
	base := NewSignature("w", "POST", "host/path", append(long, "end"...))
	for name, other := range map[string]Signature{
		"workspace": NewSignature("v", "POST", "host/path", append(long, "end"...)),
		"method":    NewSignature("w", "PUT", "host/path", append(long, "end"...)),
		"address":   NewSignature("w", "POST", "host/paths", append(long, "end"...)),
		"borders":   NewSignature("wP", "OST", "host/path", append(long, "end"...)),
		"start":     NewSignature("w", "POST", "host/path", append([]byte("y"), append(long, "end"...)...)),
	} {
		if other.Whole == base.Whole || other.Start == base.Start {
			t.Errorf("another %s has the same signature", name)
		}
	}
	if end := NewSignature("w", "POST", "host/path", append(long, "and"...)); end.Whole == base.Whole || end.Start != base.Start {
		t.Error("another end must only change the whole fingerprint")
	}
	if short := NewSignature("w", "GET", "host/path", nil); short.Whole != short.Start {
		t.Error("a body without an end has two fingerprints")
	}
	if f, ok := parseFingerprint(base.Whole.String()); !ok || f != base.Whole {
		t.Error("a fingerprint does not parse")
	}
}

// The third crash in a row refuses a request. Crashes of runs that were under way together
// count once.
func TestCountGrowsByRunsThatFollowOneAnother(t *testing.T) {
	s, q := NewState("t"), signature("a", "end")
	known := s.Crashes(0, q)
	for range 5 {
		s.ReportCrash(10, q, known, "t")
	}
	if got := s.Crashes(10, q); got.Whole != 1 || s.RefusedFor(10, q) != 0 {
		t.Fatalf("five runs that crashed together count %+v", got)
	}
	s.ReportCrash(20, q, s.Crashes(20, q), "t")
	if s.RefusedFor(20, q) != 0 {
		t.Fatal("refused after two crashes")
	}
	s.ReportCrash(30, q, s.Crashes(30, q), "t")
	if s.RefusedFor(30, q) != refusalTime {
		t.Fatalf("refused for %d ms after three crashes", s.RefusedFor(30, q))
	}
	if s.RefusedFor(30, signature("b", "end")) != 0 {
		t.Error("another request is refused")
	}
}

// A request that its target survives crashes none by itself, however often it was there
// when one crashed.
func TestSurvivedRunClearsTheCount(t *testing.T) {
	s, q := NewState("t"), signature("a", "end")
	for n := range 20 {
		now := sd.Instant(n)
		s.ReportCrash(now, q, s.Crashes(now, q), "t")
		s.ReportCrash(now, q, s.Crashes(now, q), "t")
		store(t, s, now, uint64(n+1))
		if !s.ReportSurvived(now, q) || s.Crashes(now, q) != (Crashes{}) {
			t.Fatal("count not cleared")
		}
	}
	if s.RefusedFor(20, q) != 0 {
		t.Error("refused")
	}
}

// A run that was sent before a count was cleared raises it to one at most.
func TestClearedCountDoesNotComeBack(t *testing.T) {
	s, q := NewState("t"), signature("a", "end")
	for range 2 {
		s.ReportCrash(0, q, s.Crashes(0, q), "t")
	}
	store(t, s, 0, 1)
	known := s.Crashes(0, q)
	s.ReportSurvived(0, q)
	s.ReportCrash(0, q, known, "t")
	if got := s.Crashes(0, q); got != (Crashes{Whole: 1, Start: 1}) {
		t.Errorf("count %+v after one crash since a survival", got)
	}
}

// A host that has not heard that another one cleared a count must not write a higher one.
func TestPendingCountFollowsTheStore(t *testing.T) {
	s, q := NewState("t"), signature("a", "end")
	for range 2 {
		s.ReportCrash(0, q, s.Crashes(0, q), "t")
	}
	store(t, s, 0, 1)
	s.ReportCrash(0, q, s.Crashes(0, q), "t")
	if s.RefusedFor(0, q) == 0 {
		t.Fatal("not refused after three crashes")
	}
	cleared := sd.Record{RecordKey: sd.RecordKey{Table: "t", Key: q.Whole.String()}, Version: 2, Removed: true}
	if err := s.Change(0, cleared); err != nil {
		t.Fatal(err)
	}
	if got := s.Crashes(0, q).Whole; got != 1 {
		t.Errorf("count %d, want the one crash since", got)
	}
	update, err := s.NextUpdate()
	if err != nil || len(update.Put) != 1 || string(update.Put[0].Value) != `{"crashes":1,"targets":["t"]}` || update.Expect[0].Version != 0 {
		t.Errorf("writes %+v, %v", update, err)
	}
}

// A read that is older than this host's own write changes nothing.
func TestOldReadChangesNothing(t *testing.T) {
	s, q := NewState("t"), signature("a", "end")
	s.ReportCrash(0, q, s.Crashes(0, q), "t")
	store(t, s, 0, 5)
	old := sd.Record{RecordKey: sd.RecordKey{Table: "t", Key: q.Whole.String()}, Value: []byte(`{"crashes":3}`), Version: 4}
	if err := s.Change(0, old); err != nil {
		t.Fatal(err)
	}
	if got := s.Crashes(0, q).Whole; got != 1 {
		t.Errorf("count %d after an old read, want 1", got)
	}
}

// The removal of an old count must not take a newer one with it, which another host has
// written meanwhile.
func TestRemovalSparesANewerCount(t *testing.T) {
	s, q := NewState("t"), signature("a", "end")
	s.ReportCrash(0, q, s.Crashes(0, q), "t")
	store(t, s, 0, 1)
	old := sd.Instant(0).Add(suspectTime)
	if s.Expire(old) != 2 {
		t.Fatal("an old count does not expire")
	}
	raised := sd.Record{RecordKey: sd.RecordKey{Table: "t", Key: q.Whole.String()}, Value: []byte(`{"crashes":3}`), Version: 2}
	if err := s.Change(old, raised); err != nil {
		t.Fatal(err)
	}
	store(t, s, old, 3)
	if s.RefusedFor(old, q) == 0 {
		t.Error("the newer count was removed")
	}
}

// One faulty body must not have all refused that start like it; two do.
func TestStartIsRefusedAfterCrashesOfTwoBodies(t *testing.T) {
	s, one, two, third := NewState("t"), signature("a", "one"), signature("a", "two"), signature("a", "three")
	for range 6 {
		s.ReportCrash(0, one, s.Crashes(0, one), "t")
	}
	if s.RefusedFor(0, one) == 0 || s.RefusedFor(0, two) != 0 {
		t.Fatalf("refused for %d and %d ms, want the first only", s.RefusedFor(0, one), s.RefusedFor(0, two))
	}
	s.ReportCrash(0, two, s.Crashes(0, two), "t")
	if s.RefusedFor(0, two) == 0 || s.RefusedFor(0, third) == 0 {
		t.Error("not refused after crashes of two bodies with the same start")
	}
	s.ReportSurvived(0, third)
	if s.RefusedFor(0, third) != 0 || s.RefusedFor(0, one) == 0 {
		t.Error("a body that its target survives must clear the start, not the other body")
	}
}

// After a refusal, one crash refuses the request again, for twice as long.
func TestRefusalEndsAndDoubles(t *testing.T) {
	s, q := NewState("t"), signature("a", "end")
	now := sd.Instant(0)
	for range maxCrashes {
		s.ReportCrash(now, q, s.Crashes(now, q), "t")
	}
	store(t, s, now, 1)
	for n, want := range []sd.Millis{refusalTime, 2 * refusalTime, 4 * refusalTime} {
		if got := s.RefusedFor(now, q); got != want {
			t.Fatalf("refusal %d lasts %d ms, want %d", n, got, want)
		}
		now = now.Add(want)
		if s.RefusedFor(now, q) != 0 {
			t.Fatal("refusal does not end")
		}
		s.ReportCrash(now, q, s.Crashes(now, q), "t")
		store(t, s, now, uint64(n+2))
	}
	now = now.Add(100 * sd.Hour)
	if s.Crashes(now, q) != (Crashes{}) || s.Expire(now) != 2 {
		t.Error("old counts still apply")
	}
	store(t, s, now, 10)
	if !s.Empty() {
		t.Error("old counts are left")
	}
}

// Rows that cannot be used are reported and change nothing.
func TestUnusableRows(t *testing.T) {
	s := NewState("t")
	key := signature("a", "end").Whole.String()
	for _, r := range []sd.Record{
		{RecordKey: sd.RecordKey{Key: "x"}, Value: []byte(`{"crashes":3}`)},
		{RecordKey: sd.RecordKey{Key: strings.Repeat("g", 32)}, Value: []byte(`{"crashes":3}`)},
		{RecordKey: sd.RecordKey{Key: key}, Value: []byte(`no`), Version: 1},
		{RecordKey: sd.RecordKey{Key: key}, Value: []byte(`{"crashes":-1}`), Version: 1},
		{RecordKey: sd.RecordKey{Key: key}, Value: []byte(`{}`), Version: 1},
	} {
		if err := s.Change(0, r); err == nil {
			t.Errorf("row %q with %q is taken", r.Key, r.Value)
		}
	}
	if !s.Empty() {
		t.Error("an unusable row has changed the counts")
	}
}

// The number of counts that wait for the store is bounded.
func TestPendingCountsAreBounded(t *testing.T) {
	s := NewState("t")
	for n := range 2 * maxPending {
		q := signature(fmt.Sprint(n), "end")
		s.ReportCrash(0, q, s.Crashes(0, q), "t")
	}
	update, err := s.NextUpdate()
	if err != nil || len(s.pending) > maxPending || len(update.Expect) != maxWrites {
		t.Errorf("%d counts wait, a write has %d rows, %v", len(s.pending), len(update.Expect), err)
	}
}

// Guards against copies that were sent together counting as one crash and being sent together
// again: from the second target on, they go one at a time.
func TestCopiesGoOneAtATimeFromTheSecondTargetOn(t *testing.T) {
	s, q := NewState("t"), signature("a", "end")
	known := s.Crashes(0, q)
	s.ReportCrash(0, q, known, "one")
	if wait, claim := s.Await(0, q, ""); wait != 0 || claim {
		t.Fatalf("after one target: wait %d, claim %v", wait, claim)
	}
	s.ReportCrash(0, q, known, "two")
	if _, claim := s.Await(0, q, ""); !claim {
		t.Fatal("copies are sent together after two targets")
	}
	if _, err := s.Claim(0, q, "trial"); err != nil {
		t.Fatal(err)
	}
	if wait, _ := s.Await(10, q, ""); wait != trialTime-10 {
		t.Errorf("another copy waits %d ms", wait)
	}
	if wait, claim := s.Await(10, q, "trial"); wait != 0 || claim {
		t.Error("a copy waits for its own trial")
	}
	if wait, claim := s.Await(10, signature("a", "other"), ""); wait != 0 || claim {
		t.Error("a request with another body waits")
	}
	if wait, claim := s.Await(sd.Instant(0).Add(trialTime), q, ""); wait != 0 || !claim {
		t.Error("a trial whose host is gone does not end")
	}
	s.ReportCrash(15, q, s.Crashes(15, q), "three")
	if wait, claim := s.Await(15, q, ""); wait != 0 || !claim {
		t.Error("the next copy waits although the trial has crashed its target")
	}
	s.ReportSurvived(20, q)
	if wait, claim := s.Await(20, q, ""); wait != 0 || claim {
		t.Error("copies wait although a target has survived one")
	}
}

// Guards against targets being forgotten that crashed at the same moment at several hosts, whose
// counts are equal.
func TestTargetsOfAllHostsAreCounted(t *testing.T) {
	one, two, q := NewState("t"), NewState("t"), signature("a", "end")
	one.ReportCrash(0, q, Crashes{}, "one")
	two.ReportCrash(0, q, Crashes{}, "two")
	row := sd.Record{RecordKey: sd.RecordKey{Table: "t", Key: q.Whole.String()}, Value: []byte(`{"crashes":1,"targets":["one"]}`), Version: 1}
	for _, s := range []*State{one, two} {
		if err := s.Change(0, row); err != nil {
			t.Fatal(err)
		}
	}
	if _, claim := one.Await(0, q, ""); claim || len(one.pending) != 1 {
		t.Errorf("the host that wrote the row: claim %v, %d counts pending", claim, len(one.pending))
	}
	if _, claim := two.Await(0, q, ""); !claim || two.Crashes(0, q).Whole != 1 {
		t.Errorf("the other host: claim %v, %+v", claim, two.Crashes(0, q))
	}
	update, err := two.NextUpdate()
	if err != nil || len(update.Put) != 2 {
		t.Fatalf("%+v, %v", update, err)
	}
	for _, put := range update.Put {
		if put.Key == q.Whole.String() && string(put.Value) != `{"crashes":1,"targets":["one","two"]}` {
			t.Errorf("writes %s", put.Value)
		}
	}
}
