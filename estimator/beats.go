package estimator

import (
	"encoding/json"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/leaser"
)

// beatMessage is the launcher's heartbeat.
type beatMessage struct {
	Beat     leaser.Beat
	Others   []leaser.Beat `json:",omitempty"`
	Revision sapphiredrum.Revision
}

// heartbeats measures the exchange of heartbeats.
func heartbeats(t Size) Role {
	r := Role{
		Name:       "heartbeats",
		State:      "the last beat of each host of the zone",
		Mechanism:  "seven hosts of the zone's ring and one of another zone a round, each round TTL/9; a beat tells the revision in force, and the answer to a host that does not reach the platform passes up to eight fresh beats on",
		Unmeasured: "the launcher's ring and its table of fresh beats are not driven, only the messages and the leaser's part",
	}
	z := settledZone(58)
	message := func(others int) beatMessage {
		m := beatMessage{Beat: z.hosts[0].Beat(z.now), Revision: 100_000}
		for i := range others {
			m.Others = append(m.Others, z.hosts[i+1].Beat(z.now))
		}
		return m
	}
	sizes := []int{0, 4, 8}
	bytes := r.measure("heartbeat", "bytes", "beats passed on", sizes, func(n int) float64 { return size(message(n)) })
	time := r.measure("encode, decode and hear a heartbeat", "us", "beats passed on", sizes, func(n int) float64 {
		return cost(func(int) {
			text, _ := json.Marshal(message(n))
			var heard beatMessage
			_ = json.Unmarshal(text, &heard)
			z.hosts[57].Hear(z.now, heard.Beat)
			for _, beat := range heard.Others {
				z.hosts[57].Hear(z.now, beat)
			}
		})
	})
	owners := r.measure("list the owners of all shards", "us", "hosts in the zone", []int{8, 24, 58}, func(n int) float64 {
		few := settledZone(n)
		return cost(func(int) { few.hosts[0].Owners() })
	})
	rounds := beatsPerTTL / seconds(targetTTL)
	exchanges := rounds * fanout
	each := bytes.At(0)
	r.add(Exchanges, Standing, exchanges, "8 receivers x %.2f rounds/s", rounds)
	r.add(Traffic, Standing, exchanges*(2*each+HeaderBytes+ReplyBytes), "%.1f exchanges/s x (2 x %.0f + %d bytes): the beats sent and the answers given", exchanges, each, HeaderBytes+ReplyBytes)
	r.add(Processor, Standing, 2*exchanges*time.At(0)+(rounds+upkeeps)*owners.At(t.HostsPerZone()),
		"2 x %.1f/s x %.0f us + owners listed %.1f times/s x %.0f us", exchanges, time.At(0), rounds+upkeeps, owners.At(t.HostsPerZone()))
	return r
}

// upkeeps is how often a second the launcher counts the live hosts.
const upkeeps = 5
