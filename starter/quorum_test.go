package starter_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/platform"
	"sapphiredrum.example/sapphiredrum/platform/emulator"
	"sapphiredrum.example/sapphiredrum/starter"
)

// addSilentHost writes the row of a host that nobody hears.
func (s *site) addSilentHost(name string) {
	s.rows.Write(hostRow(name), fmt.Appendf(nil, `{"host":%q,"zone":"z","address":"127.0.0.1:9","incarnation":7,"power":1}`, name))
}

// Guards against a host that is cut off from most others taking itself for the only one and
// removing their rows; one that hears half of the hosts removes those of the others.
func TestOnlyHostsThatHearHalfOfTheFleetRemoveOthers(t *testing.T) {
	s := newSite(t)
	s.configure = func(h *starter.Host) { h.SetRemovalAge(500) }
	s.addSilentHost("x1")
	s.addSilentHost("x2")
	s.host("h1")
	// Hosts look for rows to remove every 5 s.
	time.Sleep(6 * time.Second)
	if !there(s.incarnation("x1")) || !there(s.incarnation("x2")) {
		t.Fatal("a host that hears nobody removed the rows of others")
	}
	s.host("h2")
	for end := time.Now().Add(12 * time.Second); there(s.incarnation("x1")) || there(s.incarnation("x2")); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("two of four hosts have not removed the rows of the others")
		}
	}
}

// Guards against a host that has been cut off for so long that the others have taken its share of
// the rates admitting requests at that share.
func TestHostThatIsCutOffForLongAdmitsNothing(t *testing.T) {
	s := newSite(t)
	s.configure = func(h *starter.Host) { h.SetSuspendAfter(1000) }
	s.rows.Write(sd.RecordKey{Table: platform.OperatorTable, Key: "config"}, emulator.Plan(2, 1000, "k1"))
	s.addSilentHost("x1")
	callers, _, _ := s.host("h1")
	client := &http.Client{}
	n := 0
	served := func() bool {
		n++
		return ask(client, callers, "/look/x", fmt.Sprint("r", n))
	}
	s.eventually("requests are served", served)
	s.rows.Trouble(faker.RowsTrouble{Down: true})
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !served() {
			t.Fatal("a request was refused before the time limit")
		}
	}
	s.eventually("requests are refused", func() bool { return !served() })
	for range 20 {
		if served() {
			t.Fatal("a request was served while the host is cut off")
		}
	}
	s.rows.Trouble(faker.RowsTrouble{})
	s.eventually("requests are served again", served)
}
