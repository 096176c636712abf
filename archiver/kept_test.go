package archiver_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/archiver"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/gossiper"
	"sapphiredrum.example/sapphiredrum/messenger"
	"sapphiredrum.example/sapphiredrum/relayer"
)

// keptSeeds are the seeds that CI runs. By hand: KEPT=1-200 go test ./archiver -run
// TestKeptTurnsAreFoundAgain.
const keptSeeds = "1-2"

// A turn whose Settle returned nil is found by every host from then on, with its whole
// chain and the same bytes, whatever fails meanwhile, and lies in the store. Guards against
// LOST: the next turn of a program was answered 404.
func TestKeptTurnsAreFoundAgain(t *testing.T) {
	span := os.Getenv("KEPT")
	if span == "" {
		span = keptSeeds
	}
	from, to, _ := strings.Cut(span, "-")
	first, err := strconv.ParseUint(from, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	last := first
	if to != "" {
		if last, err = strconv.ParseUint(to, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	var total keptCounts
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			k := newKeptRun(t, seed)
			k.play(time.Second)
			total.add(&k.counts)
			t.Log(k.counts.String())
		})
	}
	t.Logf("all: %s", total.String())
}

// keptCounts tells what a run has exercised.
type keptCounts struct {
	kept, broken, refused, chains, absent, unavailable, unkept, long, kills, losses, faults atomic.Int64
}

func (c *keptCounts) fields() []*atomic.Int64 {
	return []*atomic.Int64{&c.kept, &c.broken, &c.refused, &c.chains, &c.absent, &c.unavailable, &c.unkept, &c.long, &c.kills, &c.losses, &c.faults}
}

func (c *keptCounts) add(other *keptCounts) {
	for i, field := range c.fields() {
		field.Add(other.fields()[i].Load())
	}
}

func (c *keptCounts) String() string {
	var out strings.Builder
	for i, name := range []string{
		"kept", "broken off", "not reserved", "chains read", "not found", "unavailable", "built on a turn that had not ended", "of several rows",
		"hosts killed", "losses of all", "faults",
	} {
		fmt.Fprintf(&out, "%s %d, ", name, c.fields()[i].Load())
	}
	return strings.TrimSuffix(out.String(), ", ")
}

// keptTurn is what the oracle knows of a turn. It is not changed once begun, except ended.
type keptTurn struct {
	id, program   string
	previous      *keptTurn
	input, output []byte
	ended         atomic.Bool
}

// keptRun is one play of a fleet under faults.
type keptRun struct {
	*fleet
	seed   uint64
	counts keptCounts
	turns  []*keptTurn
	kept   sync.Mutex
	ids    atomic.Int64
	// wire is the share of messages between hosts that are lost, in thousandths.
	wire atomic.Int64
}

// boundedStore is a store whose calls end in time, as those of a relay do.
type boundedStore struct {
	*faker.Rows
	t *testing.T
}

const keptCallTimeout = 200 * time.Millisecond

func (s boundedStore) Commit(ctx context.Context, update sd.Update) (sd.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, keptCallTimeout)
	defer cancel()
	s.check(update)
	return s.Rows.Commit(ctx, update)
}

// check tells what the platform's store would refuse: too many entries or bytes, rows of
// several parts, or a row named twice.
func (s boundedStore) check(update sd.Update) {
	size, part := 0, update.Expect[0].Part
	for _, list := range [][]sd.Record{update.Expect, update.Put} {
		seen := map[sd.RecordKey]bool{}
		for _, record := range list {
			size += len(record.Table) + len(record.Part) + len(record.Key) + base64.StdEncoding.EncodedLen(len(record.Value)) + 60
			if seen[record.RecordKey] || record.Part != part {
				s.t.Errorf("row %v is named twice or lies in another part", record.RecordKey)
			}
			seen[record.RecordKey] = true
		}
	}
	if entries := len(update.Expect) + len(update.Put) + len(update.Remove); entries > 100 || size > 1_000_000 {
		s.t.Errorf("transaction of %d entries, %d bytes", entries, size)
	}
}

func (s boundedStore) List(ctx context.Context, table, part, from, to string) (sd.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, keptCallTimeout)
	defer cancel()
	return s.Rows.List(ctx, table, part, from, to)
}

// RoundTrip loses messages between hosts, on the way there or back.
func (k *keptRun) RoundTrip(r *http.Request) (*http.Response, error) {
	lost := rand.Int64N(1000) < k.wire.Load()
	there := rand.IntN(2) == 0
	if lost && there {
		return nil, errors.New("message lost")
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err == nil && lost {
		// The peer works on for a while, as one does whose answer is lost.
		time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
		_ = response.Body.Close()
		return nil, errors.New("answer lost")
	}
	return response, err
}

func newKeptRun(t *testing.T, seed uint64) *keptRun {
	k := &keptRun{seed: seed, fleet: &fleet{t: t, rows: faker.NewRows(seed), clock: sd.NewClock(), forgetful: true}}
	k.client = messenger.NewClient(k)
	k.store = boundedStore{k.rows, t}
	if seed%2 == 0 {
		k.link = k.relayed
	}
	k.run(4)
	return k
}

// relayed returns a way to the store that leads through peers where a host is turned away.
func (k *keptRun) relayed(m *testHost, router messenger.Router) sd.Store {
	reaching := func(reaching bool) []gossiper.Peer {
		k.lock.Lock()
		defer k.lock.Unlock()
		var list []gossiper.Peer
		for _, other := range k.hosts {
			if other != m && !other.gone && other.cut == m.cut && (!reaching || other.relay.Reaches()) {
				list = append(list, other.peer)
			}
		}
		return list
	}
	m.relay = relayer.New(turningAway{k.store, m}, reaching, m.peer.Zone, k.client, k.clock, zap.NewNop())
	messenger.Handle(router, relayer.Message, m.relay.Answer)
	return m.relay
}

// turningAway is a store that refuses single hosts.
type turningAway struct {
	sd.Store
	m *testHost
}

func (s turningAway) Commit(ctx context.Context, update sd.Update) (sd.Page, error) {
	if s.m.away.Load() {
		return sd.Page{}, sd.Unavailable.New("store turns this host away")
	}
	return s.Store.Commit(ctx, update)
}

func (s turningAway) List(ctx context.Context, table, part, from, to string) (sd.Page, error) {
	if s.m.away.Load() {
		return sd.Page{}, sd.Unavailable.New("store turns this host away")
	}
	return s.Store.List(ctx, table, part, from, to)
}

// keptCallers is the number of callers at once; with each fourth seed it is keptCrowd, so that
// transactions are full.
const keptCallers, keptCrowd = 10, 60

// play lets callers and faults go on for a time, loses all hosts and looks for all turns.
func (k *keptRun) play(length time.Duration) {
	end := time.Now().Add(length)
	var callers, faults sync.WaitGroup
	n := keptCallers
	if k.seed%4 == 0 {
		n = keptCrowd
	}
	for i := range n {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(k.seed, uint64(i)))
			for time.Now().Before(end) {
				k.turn(random)
			}
		})
	}
	faults.Go(func() {
		random := rand.New(rand.NewPCG(k.seed, 1000))
		for time.Now().Before(end) {
			k.fault(random)
		}
	})
	faults.Wait()
	k.calm()
	callers.Wait()
	random := rand.New(rand.NewPCG(k.seed, 2000))
	if random.IntN(4) > 0 {
		k.powerOff()
		k.powerOn()
		k.counts.losses.Add(1)
	}
	// Transactions that take effect late have done so.
	time.Sleep(100 * time.Millisecond)
	k.judge()
}

// calm ends all faults.
func (k *keptRun) calm() {
	k.rows.Trouble(faker.RowsTrouble{})
	k.wire.Store(0)
	k.lock.Lock()
	defer k.lock.Unlock()
	k.away = false
	for _, m := range k.hosts {
		m.cut = false
		m.away.Store(false)
	}
}

// fault lets one fault strike, or a few at once, and ends some.
func (k *keptRun) fault(random *rand.Rand) {
	k.counts.faults.Add(1)
	var trouble faker.RowsTrouble
	var parts []string
	for _, part := range archiver.AllParts() {
		if random.IntN(2) == 0 {
			parts = append(parts, part)
		}
	}
	if random.IntN(2) == 0 {
		trouble.Parts = parts
	}
	if random.IntN(2) == 0 {
		// Turns of several rows are split over pages, and turns are stored between them.
		trouble.Page = 1 + random.IntN(12)
	}
	switch random.IntN(7) {
	case 0:
		trouble.Down = true
	case 1:
		trouble.Silent = true
	case 2:
		trouble.Lost, trouble.Late = 0.5, 0.5
	case 3:
		trouble.Twice = 0.5
	case 4:
		trouble.Lost, trouble.Late, trouble.Twice = 0.3, 0.3, 0.3
		trouble.Delay = sd.Millis(random.IntN(60))
	case 5:
		trouble.Crowded = true
	}
	k.rows.Trouble(trouble)
	k.lock.Lock()
	k.away = trouble.Down && trouble.Parts == nil && random.IntN(2) == 0
	for _, m := range k.hosts {
		m.cut = random.IntN(6) == 0
		m.away.Store(random.IntN(4) == 0)
	}
	k.lock.Unlock()
	k.wire.Store([]int64{0, 0, 50, 300}[random.IntN(4)])
	time.Sleep(time.Duration(20+random.IntN(130)) * time.Millisecond)
	switch random.IntN(6) {
	case 0, 1:
		i := random.IntN(len(k.hosts))
		k.kill(i)
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		k.boot(i, len(k.hosts))
		k.counts.kills.Add(1)
	case 2:
		k.powerOff()
		k.powerOn()
		k.counts.losses.Add(1)
	}
}

// host returns a host that runs, or nil.
func (k *keptRun) host(random *rand.Rand) *testHost {
	k.lock.Lock()
	defer k.lock.Unlock()
	if len(k.hosts) == 0 {
		return nil
	}
	if m := k.hosts[random.IntN(len(k.hosts))]; !m.gone {
		return m
	}
	return nil
}

// lately returns one of the turns begun, mostly of the last, or nil for a first turn.
func (k *keptRun) lately(random *rand.Rand) *keptTurn {
	k.kept.Lock()
	defer k.kept.Unlock()
	if len(k.turns) == 0 || random.IntN(5) == 0 {
		return nil
	}
	n := min(len(k.turns), 30)
	if random.IntN(5) == 0 {
		n = len(k.turns)
	}
	return k.turns[len(k.turns)-1-random.IntN(n)]
}

// turn runs one turn of a caller.
func (k *keptRun) turn(random *rand.Rand) {
	m := k.host(random)
	if m == nil {
		time.Sleep(5 * time.Millisecond)
		return
	}
	ctx, cancel := context.WithTimeout(k.t.Context(), time.Second)
	defer cancel()
	t := &keptTurn{id: fmt.Sprint("t", k.ids.Add(1)), program: fmt.Sprint("p", random.IntN(8))}
	if t.previous = k.lately(random); t.previous != nil && !t.previous.ended.Load() && random.IntN(4) > 0 {
		// Few callers go on from a turn that has not ended.
		return
	}
	if t.previous != nil && random.IntN(3) > 0 {
		t.program = t.previous.program
	}
	t.input, t.output = k.text(random, "in "+t.id), k.text(random, "out "+t.id)
	program, turn := archiver.ProgramKey("w", sd.ProgramID(t.program)), archiver.TurnKey("w", sd.CallID(t.id))
	row := &archiver.Turn{Program: program, Key: turn, Target: "target", Input: t.input, Output: t.output}
	if t.previous != nil {
		chain := k.chain(ctx, m, t.program, t.previous)
		if chain == nil {
			return
		}
		last := chain[len(chain)-1]
		row.Previous, row.Origin = last.Key, last.Program
		if !t.previous.ended.Load() {
			k.counts.unkept.Add(1)
		}
	}
	reserving, giveUp := context.WithTimeout(ctx, time.Duration(5+random.IntN(800))*time.Millisecond)
	hold, err := m.Reserve(reserving, program, turn, archiver.NewDemand(10, 1), 1<<30)
	giveUp()
	if err != nil && random.IntN(4) > 0 {
		// A turn that runs on an allotment ends although it has no reservation.
		k.counts.refused.Add(1)
		return
	}
	k.kept.Lock()
	k.turns = append(k.turns, t)
	k.kept.Unlock()
	settling, stop := context.WithTimeout(ctx, time.Duration(5+random.IntN(1000))*time.Millisecond)
	defer stop()
	if m.Settle(settling, program, hold, 5, row) != nil {
		k.counts.broken.Add(1)
		return
	}
	k.counts.kept.Add(1)
	if len(t.input)+len(t.output) > 48<<10 {
		k.counts.long.Add(1)
	}
	t.ended.Store(true)
}

// text returns a text that begins with start. Some take several rows.
func (k *keptRun) text(random *rand.Rand, start string) []byte {
	text := []byte(start + "\n")
	if random.IntN(20) == 0 {
		text = append(text, bytes.Repeat([]byte{byte(random.IntN(256))}, random.IntN(130<<10))...)
	}
	return text
}

// chain reads the turns up to last on a host and compares them with what was said. It
// returns nil if the host does not have them.
func (k *keptRun) chain(ctx context.Context, m *testHost, program string, last *keptTurn) []*archiver.Turn {
	ended := last.ended.Load()
	chain, err := m.Chain(ctx, archiver.ProgramKey("w", sd.ProgramID(program)), archiver.TurnKey("w", sd.CallID(last.id)))
	k.counts.chains.Add(1)
	if err != nil {
		k.counts.unavailable.Add(1)
		if errorx.IsOfType(err, sd.NotFound) {
			k.counts.absent.Add(1)
		}
		if ended && !errorx.IsOfType(err, sd.Unavailable) {
			k.t.Errorf("seed %d: turn %s of %s had ended, host %s has it not: %v", k.seed, last.id, last.program, m.peer.Host, err)
		}
		return nil
	}
	at := len(chain) - 1
	for t := last; t != nil; t = t.previous {
		if at < 0 || !bytes.Equal(chain[at].Input, t.input) || !bytes.Equal(chain[at].Output, t.output) {
			k.t.Errorf("seed %d: chain of %s differs at %s, %d turns from its start", k.seed, last.id, t.id, at)
			return nil
		}
		at--
	}
	if at >= 0 {
		k.t.Errorf("seed %d: chain of %s has %d turns too many", k.seed, last.id, at+1)
	}
	return chain
}

// judge looks for all ended turns, at hosts and in the store.
func (k *keptRun) judge() {
	random := rand.New(rand.NewPCG(k.seed, 3000))
	stored := k.stored()
	for _, t := range k.turns {
		if !t.ended.Load() {
			continue
		}
		k.inStore(stored, t)
		var found []*archiver.Turn
		for range 20 {
			if found = k.chain(k.t.Context(), k.host(random), t.program, t); found != nil || k.t.Failed() {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		if found == nil {
			k.t.Errorf("seed %d: ended turn %s is not to be had on a fleet without faults", k.seed, t.id)
			return
		}
	}
}

// stored returns the values of all rows of programs and the index, by table and key; values
// of several rows are joined.
func (k *keptRun) stored() map[string][]byte {
	values := map[string][]byte{}
	for _, table := range []string{"programs", "turns"} {
		for part := range 16 {
			from := ""
			for {
				page, err := k.rows.List(k.t.Context(), table, fmt.Sprintf("p%x", part), from, "")
				if err != nil {
					k.t.Fatal(err)
				}
				for _, record := range page.Records {
					name, _, _ := strings.Cut(record.Key, ".")
					values[table+"/"+name] = append(values[table+"/"+name], record.Value...)
				}
				if !page.More {
					break
				}
				from = page.Records[len(page.Records)-1].Key + "\x00"
			}
		}
	}
	return values
}

// inStore checks the rows of a turn without the code that wrote them.
func (k *keptRun) inStore(stored map[string][]byte, t *keptTurn) {
	name := func(kind, id string) []byte {
		sum := sha256.Sum256([]byte(kind + "\x00w\x00" + id))
		return sum[:16]
	}
	program, turn := name("p", t.program), name("t", t.id)
	if got := string(stored["turns/"+hex.EncodeToString(turn)]); got != hex.EncodeToString(program) {
		k.t.Errorf("seed %d: index of ended turn %s is %q", k.seed, t.id, got)
	}
	previous, origin := make([]byte, 16), make([]byte, 16)
	if t.previous != nil {
		previous, origin = name("t", t.previous.id), name("p", t.previous.program)
	}
	want := append(append([]byte{'t'}, previous...), origin...)
	for _, text := range [][]byte{[]byte("target"), t.input, t.output} {
		want = append(binary.AppendUvarint(want, uint64(len(text))), text...)
	}
	if got := stored["programs/"+hex.EncodeToString(program)+"/"+hex.EncodeToString(turn)]; !bytes.Equal(got, want) {
		k.t.Errorf("seed %d: row of ended turn %s has %d bytes, want %d, or others", k.seed, t.id, len(got), len(want))
	}
}
