package recorder

import (
	"slices"

	root "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/keeper"
)

// Overtaken marks a claim of a shard that a later or equal epoch holds already.
var Overtaken = root.Errors.NewSubNamespace("recorder").NewType("overtaken")

// claim asks to take a shard over.
type claim struct {
	tenure Tenure
	// lease is the version of the leaser's row to check; zero checks nothing.
	lease uint64
}

// Claim queues the takeover of a shard for the owner with the given epoch. Lease
// is the version of the leaser's row of the shard, or zero. A Loaded or Refused
// event follows.
func (s *State) Claim(shard root.ShardID, epoch root.Epoch, lease uint64) {
	s.claims = slices.DeleteFunc(s.claims, func(c claim) bool { return c.tenure.Shard == shard && c.tenure.Epoch <= epoch })
	s.claims = append(s.claims, claim{tenure: Tenure{Shard: shard, Epoch: epoch}, lease: lease})
}

// take moves shards into this host's log in one transaction.
type take struct {
	step   takeStep
	claims []claim
	// indexes are the shards' index rows, logs those of their former owners.
	indexes map[root.ShardID]root.Row
	logs    map[root.RowKey]root.Row
	planned takePlan
	tries   int
}

type takeStep int

const (
	takeIndexes takeStep = iota
	takeLogs
	takeCommit
)

// takePlan is what a take's transaction writes.
type takePlan struct {
	transaction root.Transaction
	row         LogRow
	values      map[root.ShardID]IndexRow
}

func (k *take) action(s *State) Action {
	switch k.step {
	case takeIndexes:
		keys := []root.RowKey{s.key}
		for _, c := range k.claims {
			keys = append(keys, IndexKey(c.tenure.Shard))
		}
		return Read{Keys: keys}
	case takeLogs:
		return Read{Keys: k.formerLogs(s)}
	}
	return Commit{Transaction: k.planned.transaction}
}

func (k *take) report(s *State, now root.Instant, answer Answer) []Event {
	if k.step == takeCommit {
		return k.committed(s, now, answer)
	}
	if answer.Error != nil {
		return s.fail(now, answer.Error)
	}
	if k.step == takeIndexes {
		return k.read(s, now, answer.Rows)
	}
	k.logs = make(map[root.RowKey]root.Row)
	for _, row := range answer.Rows {
		k.logs[row.Key] = row
	}
	if err := k.plan(s); err != nil {
		k.step = takeIndexes
		return s.fail(now, err)
	}
	k.step = takeCommit
	return nil
}

// read takes in the index rows. Claims that are overtaken are refused; those that
// an earlier try has already brought about go on to be loaded.
func (k *take) read(s *State, now root.Instant, rows []root.Row) []Event {
	own := rows[0]
	if own.Version < s.version {
		return s.fail(now, root.Unavailable.New("stale row %s", s.key))
	}
	events, err := s.observe(own)
	if err != nil {
		return s.fail(now, err)
	}
	k.indexes = make(map[root.ShardID]root.Row)
	var open []claim
	for i, c := range k.claims {
		row := rows[i+1]
		value, err := decode[IndexRow](row.Value)
		_, accepted := s.row.epoch(c.tenure.Shard)
		switch {
		case err != nil:
			events = append(events, Refused{Tenure: c.tenure, Cause: err})
		case value.Epoch == c.tenure.Epoch && value.Log == s.key && accepted:
			s.hold(c.tenure, row.Version, value)
		case value.Epoch >= c.tenure.Epoch:
			cause := Overtaken.New("shard %s is held with epoch %d", c.tenure.Shard, value.Epoch)
			events = append(events, Refused{Tenure: c.tenure, Cause: cause})
		default:
			k.indexes[c.tenure.Shard] = row
			open = append(open, c)
		}
	}
	k.claims = open
	k.step = takeLogs
	if len(open) == 0 {
		s.take, s.failing = nil, 0
	}
	return events
}

// formerLogs names the rows of the other logs that the shards are taken from.
func (k *take) formerLogs(s *State) []root.RowKey {
	var keys []root.RowKey
	for _, c := range k.claims {
		value, _ := decode[IndexRow](k.indexes[c.tenure.Shard].Value)
		if value.Log != "" && value.Log != s.key && !slices.Contains(keys, value.Log) {
			keys = append(keys, value.Log)
		}
	}
	return keys
}

// plan makes the transaction: each shard leaves its former log and enters this
// one; its index row keeps all that a later takeover would have to read.
func (k *take) plan(s *State) error {
	former := make(map[root.RowKey]LogRow)
	own := s.row
	own.Shards = slices.Clone(own.Shards)
	own.Peers = union(s.peers, own.Peers)
	p := takePlan{values: make(map[root.ShardID]IndexRow)}
	p.transaction.Operation = s.operation()
	for _, c := range k.claims {
		shard := c.tenure.Shard
		index := k.indexes[shard]
		next, err := k.next(s, c.tenure, former)
		if err != nil {
			return err
		}
		own = own.without(shard)
		own.Shards = append(own.Shards, c.tenure)
		p.values[shard] = next
		p.transaction.Writes = append(p.transaction.Writes,
			root.Write{Key: IndexKey(shard), Expect: index.Version, Value: encode(next)})
		if c.lease > 0 {
			p.transaction.Checks = append(p.transaction.Checks, root.Precondition{Key: LeaseKey(shard), Expect: c.lease})
		}
	}
	for _, key := range k.formerLogs(s) {
		p.transaction.Writes = append(p.transaction.Writes,
			root.Write{Key: key, Expect: k.logs[key].Version, Value: encode(former[key])})
	}
	p.transaction.Writes = append(p.transaction.Writes, root.Write{Key: s.key, Expect: s.version, Value: encode(own)})
	p.row = own
	k.planned = p
	return nil
}

// next makes a shard's new index row and takes the shard out of its former log.
func (k *take) next(s *State, tenure Tenure, former map[root.RowKey]LogRow) (IndexRow, error) {
	value, err := decode[IndexRow](k.indexes[tenure.Shard].Value)
	next := IndexRow{Epoch: tenure.Epoch, Log: s.key, Sources: slices.Clone(value.Sources), Peers: slices.Clone(value.Peers)}
	if err != nil || value.Log == "" {
		return next, err
	}
	log, found := former[value.Log]
	switch {
	case value.Log == s.key:
		// A reading of the own row may be older than the version known.
		log = s.row
	case !found:
		if log, err = decode[LogRow](k.logs[value.Log].Value); err != nil {
			return next, err
		}
	}
	next.Sources = append(next.Sources, log.names()...)
	next.Peers = union(next.Peers, log.Peers)
	if value.Log != s.key {
		former[value.Log] = log.without(tenure.Shard)
	}
	return next, nil
}

// committed takes the transaction's effect into the state. Where it is not
// certain, reading the index rows again settles it.
func (k *take) committed(s *State, now root.Instant, answer Answer) []Event {
	switch effectOf(answer.Error) {
	case none:
		return s.fail(now, answer.Error)
	case unsure:
		k.step = takeIndexes
		return nil
	case conflict:
		k.step = takeIndexes
		return s.again(now, k, answer.Error)
	}
	s.take, s.failing = nil, 0
	s.version++
	s.row = k.planned.row
	var events []Event
	for _, c := range k.claims {
		shard := c.tenure.Shard
		if t := s.shards[shard]; t != nil {
			events = append(events, s.drop(shard, t)...)
		}
		s.hold(c.tenure, k.indexes[shard].Version+1, k.planned.values[shard])
	}
	return append(events, Named{Peers: s.row.Peers})
}

// again repeats a take that conflicted. A claim whose lease row has changed is
// given up after a few tries, since it can never succeed.
func (s *State) again(now root.Instant, k *take, cause error) []Event {
	s.resume = now.Add(s.rules.Least)
	if k.tries++; k.tries < maxTries {
		return nil
	}
	s.take, s.failing = nil, 0
	var events []Event
	for _, c := range k.claims {
		events = append(events, Refused{Tenure: c.tenure, Cause: cause})
	}
	return events
}

// hold makes the shard this host's and queues the reading of what is stored.
func (s *State) hold(tenure Tenure, index uint64, value IndexRow) {
	delete(s.given, tenure.Shard)
	s.shards[tenure.Shard] = &tenancy{epoch: tenure.Epoch, index: index, intents: make(map[Key]*intent)}
	names := value.Sources
	for _, name := range s.row.names() {
		if !slices.Contains(names, name) {
			names = append(slices.Clone(names), name)
		}
	}
	s.loads = append(s.loads, &load{tenure: tenure, names: names, peers: value.Peers})
}

// load reads the objects that hold a shard's records.
type load struct {
	tenure Tenure
	names  []string
	peers  []keeper.Peer
	// epoch is the highest one read so far.
	epoch   root.Epoch
	records []keeper.Record
	marks   []Mark
}

// maxTries bounds the repetitions of a take that conflicts.
const maxTries = 8
