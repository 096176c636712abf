package allotter

import (
	"testing"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/archiver"
)

// Two hosts start together, and the first has not read of the second yet as it becomes
// settled. It allots to the second one's programs neither before it reads the table again
// nor after.
func TestSettledHostReadsTheTableBeforeItGrants(t *testing.T) {
	now := sd.Instant(sd.Hour)
	first := NewState("a", 1)
	first.MarkRead(now)
	write := func() {
		t.Helper()
		e, due := first.NextEntry(now)
		if !due {
			t.Fatal("no entry to write")
		}
		first.SetEntry(now, e)
	}
	write()
	now = now.Add(startTime)
	write()
	first.SetFleetSettled()
	programs := make([]archiver.Key, 50)
	for i := range programs {
		programs[i] = archiver.ProgramKey("w", sd.ProgramID(rune('A'+i)))
		if first.Allot(now, programs[i], 500, 1, 10) != 0 {
			t.Fatal("tokens allotted before the table was read again")
		}
	}
	now++
	first.SetEntry(now, Entry{Host: "b", Incarnation: 2, Starts: 1, Phase: Starting})
	first.MarkRead(now)
	own := 0
	for _, program := range programs {
		if first.Allot(now, program, 500, 1, 10) != 0 {
			own++
			if first.Grantor(program) != "a" {
				t.Fatal("tokens allotted to a program of the other host")
			}
		}
	}
	if own == 0 || own == len(programs) {
		t.Fatalf("%d of %d programs are the first host's", own, len(programs))
	}
}
