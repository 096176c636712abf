package archiver_test

import (
	"fmt"
	"testing"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/archiver"
	"sapphiredrum.example/sapphiredrum/gossiper"
)

// A caller uses any host of its zone. The turns before are found within the zone, even
// if the program's sequencer is in another zone.
func TestTurnsAreFoundWithinTheZone(t *testing.T) {
	f := newFleet(t, 6)
	var all []gossiper.Peer
	for _, m := range f.hosts {
		all = append(all, m.peer)
	}
	program := ""
	for i := 0; program == ""; i++ {
		name := fmt.Sprint("p", i)
		if archiver.Sequencer(archiver.Part(archiver.ProgramKey("w", sd.ProgramID(name))), all).Zone == "z2" {
			program = name
		}
	}
	previous := ""
	for i := range 6 {
		id := fmt.Sprint(program, "-t", i)
		f.must(f.turn(2*(i%3), program, id, previous))
		previous = id
		// Leaves time for the turn to reach the cacher.
		time.Sleep(30 * time.Millisecond)
	}
	for _, m := range f.hosts {
		if n := m.recalls.Load(); m.peer.Zone == "z2" && n > 0 {
			t.Errorf("%s received %d recall requests from the other zone", m.peer.Host, n)
		}
	}
}
