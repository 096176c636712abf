package estimator

import (
	"context"
	"encoding/json"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/leaser"
)

// The leases at the target size: the host settings say "ttl = 15000".
const (
	targetTTL sapphiredrum.Millis = 15 * sapphiredrum.Second
	// scanInterval and beatsPerTTL are the launcher's.
	scanInterval = 2 * sapphiredrum.Second
	beatsPerTTL  = 9
	fanout       = 8
	tickStep     = 100 * sapphiredrum.Millisecond
	// settling is the time in which a new zone places its shards.
	settling = 30 * sapphiredrum.Second
)

// zone is the leasers of one availability zone over a platform in memory.
type zone struct {
	now   sapphiredrum.Instant
	table *faker.Platform
	hosts []*leaser.State
	// reads, writes and bytes count what the table was asked and gave.
	reads, writes int
	bytes         float64
}

// newZone starts a zone's hosts; the other zones' shards all have owners.
func newZone(hosts, zones int) *zone {
	z := &zone{now: sapphiredrum.Instant(sapphiredrum.Hour)}
	z.table = faker.NewPlatform(sapphiredrum.Clock{Source: func() sapphiredrum.Instant { return z.now }})
	for other := 1; other < zones; other++ {
		for n := range sapphiredrum.ShardsPerZone {
			z.place(other, n, hosts)
		}
	}
	for i := range hosts {
		z.hosts = append(z.hosts, leaser.New(leaser.Settings{
			Host: hostName(i), Zone: zoneName(0), Address: address(i), Incarnation: sapphiredrum.NewIncarnation(),
			TTL: targetTTL, Drift: targetTTL / 20, Scan: scanInterval, Grace: targetTTL,
		}, z.now))
	}
	return z
}

// place writes the row of another zone's shard.
func (z *zone) place(other, number, hosts int) {
	host := other*1000 + number%hosts
	value, _ := json.Marshal(leaser.ShardRow{Host: hostName(host), Address: address(host), Incarnation: 1 << 55, Lease: 9, Epoch: 9})
	shard := sapphiredrum.ShardID{Zone: zoneName(other), Number: number}
	key := sapphiredrum.RowKey("shard/" + string(shard.Zone) + "/" + shard.String())
	key = key[:len("shard/")+len(shard.Zone)+1] + sapphiredrum.RowKey(shard.String()[len(shard.Zone)+1:])
	_, _ = z.table.Commit(context.Background(), sapphiredrum.Transaction{
		Operation: sapphiredrum.OperationID(shard.String()), Writes: []sapphiredrum.Write{{Key: key, Value: value}},
	})
}

// run lets time pass; each host hears one peer a tick.
func (z *zone) run(length sapphiredrum.Millis) {
	for end := z.now.Add(length); z.now < end; z.now = z.now.Add(tickStep) {
		for i, host := range z.hosts {
			host.Hear(z.now, z.hosts[(i+1)%len(z.hosts)].Beat(z.now))
			for _, request := range host.Tick(z.now) {
				host.Handle(z.now, z.answer(request))
			}
			host.Events()
		}
	}
}

// answer performs table work and counts it.
func (z *zone) answer(request leaser.Request) leaser.Reply {
	ctx := context.Background()
	var reply leaser.Reply
	var err error
	switch q := request.(type) {
	case leaser.ChangesRequest:
		reply.ID = q.ID
		reply.Rows, reply.Sequence, err = z.table.Changes(ctx, q.Prefix, q.After)
		z.reads, z.bytes = z.reads+1, z.bytes+size(q)+size(reply.Rows)
	case leaser.ReadRequest:
		reply.ID = q.ID
		reply.Rows, err = z.table.Read(ctx, q.Keys...)
		z.reads, z.bytes = z.reads+1, z.bytes+size(q)+size(reply.Rows)
	case leaser.CommitRequest:
		reply.ID = q.ID
		reply.Sequence, err = z.table.Commit(ctx, q.Transaction)
		z.writes, z.bytes = z.writes+1, z.bytes+size(q)
	}
	if err != nil {
		reply.Status = leaser.Conflict
	}
	return reply
}

// settledZone returns a zone whose shards are all placed.
func settledZone(hosts int) *zone {
	z := newZone(hosts, Target.Zones)
	z.run(settling)
	z.reads, z.writes, z.bytes = 0, 0, 0
	return z
}

// leases measures the leaser.
func leases(t Size) Role {
	r := Role{
		Name:      "leaser",
		State:     "the host rows of its zone and the shard rows of all zones",
		Mechanism: "one row a host, renewed every TTL/3 and read by the hosts of its zone as changes; a shard's row is written only when its owner changes",
		Unmeasured: "takeovers and restarts (6 and 190 hosts a day: under one transaction a minute) are not in the sums; the processor time holds " +
			"the stand-in of the table and its JSON, so it is too high",
	}
	const window = sapphiredrum.Minute
	sizes := []int{8, 24, 58}
	zones := map[int]*zone{}
	state := r.measure("state of one host, its part of the table included", "bytes", "hosts in the zone", sizes, func(n int) float64 {
		return weigh(func() *zone {
			zones[n] = settledZone(n)
			return zones[n]
		}) / float64(n)
	})
	time := r.measure("processor time of one host", "us/s", "hosts in the zone", sizes, func(n int) float64 {
		before := processor()
		zones[n].run(window)
		return (processor() - before) / float64(n) / seconds(window)
	})
	rate := func(count func(z *zone) float64) func(n int) float64 {
		return func(n int) float64 { return count(zones[n]) / float64(n) / seconds(window) }
	}
	reads := r.measure("table reads of one host", "1/s", "hosts in the zone", sizes, rate(func(z *zone) float64 { return float64(z.reads) }))
	writes := r.measure("table writes of one host", "1/s", "hosts in the zone", sizes, rate(func(z *zone) float64 { return float64(z.writes) }))
	bytes := r.measure("table traffic of one host", "bytes/s", "hosts in the zone", sizes, rate(func(z *zone) float64 { return z.bytes }))
	r.atLeases(t, time, state, reads, writes, bytes)
	return r
}

// atLeases adds the leaser's figures at a size.
func (r *Role) atLeases(t Size, time, state, reads, writes, bytes Line) {
	n := t.HostsPerZone()
	r.add(Processor, Standing, time.At(n), "the line at %.1f hosts in the zone", n)
	r.add(Memory, Standing, state.At(n), "the line at %.1f hosts in the zone", n)
	r.add(Writes, Standing, writes.At(n)*float64(t.Hosts), "%.3f/s a host x %d hosts (TTL 15 s; with the default TTL of 3 s five times as many)", writes.At(n), t.Hosts)
	r.add(Reads, Standing, reads.At(n)*float64(t.Hosts), "%.3f/s a host x %d hosts", reads.At(n), t.Hosts)
	calls := reads.At(n) + writes.At(n)
	r.add(Traffic, Standing, bytes.At(n)+calls*(HeaderBytes+ReplyBytes), "%.0f bytes/s of rows, both ways, + %.2f exchanges/s x %d bytes of headers", bytes.At(n), calls, HeaderBytes+ReplyBytes)
	r.add(Exchanges, Standing, calls, "reads and writes")
}

func seconds(m sapphiredrum.Millis) float64 { return float64(m) / float64(sapphiredrum.Second) }
