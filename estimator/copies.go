package estimator

import (
	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/keeper"
	"sapphiredrum.example/sapphiredrum/recorder"
)

// copyMessage and dropped are the launcher's message of copies.
type (
	copyMessage struct {
		To      keeper.Peer
		Records []keeper.Record
		Drops   []dropped
	}
	dropped struct {
		Shard  sapphiredrum.ShardID
		Tree   sapphiredrum.ProgramID
		Epoch  sapphiredrum.Epoch
		Number uint64
	}
)

// turnRecord returns the record of a turn of the n-th program.
func turnRecord(n int) keeper.Record {
	l := newLibrary()
	l.open(n, 1)
	return l.records[len(l.records)-1]
}

// copies measures the copies of records at a peer of the zone.
func copies(t Size) Role {
	r := Role{
		Name:       "copies",
		State:      "records of another host until they are durable",
		Mechanism:  "one message under way at a time to the next host of the zone, with all records that wait; a caller gets its answer when they arrived",
		Unmeasured: "the launcher's queue and matching of records are not driven, only keeper.Copies and the message",
	}
	record := turnRecord(1)
	interval := seconds(recorder.DefaultRules.Interval(t.Hosts))
	held := t.PerHost() * interval
	sizes := []int{10, 100, 400}
	hold := r.measure("decode, hold and drop a record", "us", "records held", sizes, func(n int) float64 {
		peer := keeper.Peer{Host: hostName(1), Incarnation: 1, Lease: 1}
		c := &keeper.Copies{Self: peer, Bound: 1 << 40}
		return cost(func(i int) {
			copied := record
			copied.Number = uint64(i + 1)
			message := copyMessage{To: peer, Records: []keeper.Record{copied}}
			pass(message)
			_ = c.Hold(peer, keptShard, 1, message.Records)
			if i >= n {
				c.Drop(keptShard, record.Tree, 1, uint64(i-n))
			}
		})
	})
	memory := r.measure("records held", "bytes", "records held", sizes, func(n int) float64 {
		return weigh(func() *keeper.Copies {
			c := &keeper.Copies{Bound: 1 << 40}
			for i := range n {
				_ = c.Hold(keeper.Peer{}, keptShard, 1, []keeper.Record{turnRecord(i)})
			}
			return c
		})
	})
	drop := size(dropped{Shard: keptShard, Tree: record.Tree, Epoch: 1, Number: 12})
	body := size(record)
	plain := body - questionBytes - answerBytes
	r.add(Memory, Standing, memory.At(held), "%.0f records at a time: %.1f calls/s x %.1f s until they are durable", held, t.PerHost(), interval)
	r.add(Exchanges, PerCall, t.PerHost(), "at most one message a record")
	r.add(Traffic, PerCall, t.PerHost()*(plain+drop+HeaderBytes+ReplyBytes), "%.1f records/s x (%.0f bytes beside the text + %.0f of its drop + %d of headers)", t.PerHost(), plain, drop, HeaderBytes+ReplyBytes)
	r.add(Traffic, Payload, t.PerHost()*(body-plain), "%.1f records/s x %.0f bytes of text", t.PerHost(), body-plain)
	r.add(Processor, PerCall, t.PerHost()*hold.At(held), "%.1f records/s x %.0f us", t.PerHost(), hold.At(held))
	return r
}
