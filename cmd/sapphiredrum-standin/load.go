package main

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/oklog/run"

	"sapphiredrum.example/sapphiredrum"
)

// loadPlan describes a load of programs.
type loadPlan struct {
	hosts string
	keys  string
	route string
	tool  string
	// rate is the number of programs started per second, most how many may run.
	rate     float64
	most     int
	duration int64
	grace    int64
	// turns, prompt, answer and pause are the means of a program's model calls,
	// words asked, tokens answered and milliseconds between calls; agents is the
	// share of calls after which a sub-agent runs.
	turns  int
	prompt int
	answer int
	pause  int64
	agents float64
	// budget is what a sub-agent may spend.
	budget int64
	seed   uint64
}

// attach declares the flags on a subcommand.
func (l *loadPlan) attach(s *flaggy.Subcommand) {
	*l = loadPlan{rate: 5, most: 1000, duration: 10000, grace: 30000, turns: 5, prompt: 40, answer: 30, pause: 100, budget: 5000, seed: 1}
	s.String(&l.hosts, "", "hosts", "caller addresses of hosts, with commas between")
	s.String(&l.keys, "", "keys", "keys, with commas between; one named twice sends twice as much")
	s.String(&l.route, "", "route", "path of the model route")
	s.String(&l.tool, "", "tool", "path of a service route called after each model call; none if empty")
	s.Float64(&l.rate, "", "rate", "programs started per second")
	s.Int(&l.most, "", "most", "programs running at once")
	s.Int64(&l.duration, "", "duration", "ms during which programs start")
	s.Int64(&l.grace, "", "grace", "ms that they have to end afterwards")
	s.Int(&l.turns, "", "turns", "mean model calls of a program")
	s.Int(&l.prompt, "", "prompt", "mean words of a message")
	s.Int(&l.answer, "", "answer", "mean tokens of an answer")
	s.Int64(&l.pause, "", "pause", "mean ms between calls")
	s.Float64(&l.agents, "", "agents", "share of calls after which a sub-agent runs")
	s.Int64(&l.budget, "", "budget", "tokens that a sub-agent may spend")
	s.UInt64(&l.seed, "", "seed", "seed of all random choices")
}

// load runs a load until it ends or a signal comes, and prints its report.
func load(plan loadPlan, out io.Writer) error {
	if plan.hosts == "" || plan.keys == "" || plan.route == "" || plan.rate <= 0 {
		return sapphiredrum.Unavailable.New("load needs hosts, keys, a route and a rate")
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group run.Group
	var report loadReport
	group.Add(func() error {
		report = plan.run(ctx)
		return nil
	}, func(error) { cancel() })
	group.Add(run.SignalHandler(context.Background(), syscall.SIGTERM, os.Interrupt))
	if err := group.Run(); err != nil && !errors.Is(err, run.ErrSignal) {
		return err
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

// run starts programs at random moments and waits for their ends.
func (l loadPlan) run(ctx context.Context) loadReport {
	clock := sapphiredrum.NewClock()
	keys := strings.Split(l.keys, ",")
	tally := newTally(len(keys))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: l.most}}
	defer client.CloseIdleConnections()
	stop := clock.Now().Add(sapphiredrum.Millis(l.duration))
	ctx, cancel := context.WithTimeout(ctx, sapphiredrum.Millis(l.duration+l.grace).Duration())
	defer cancel()
	random := rand.New(rand.NewPCG(l.seed, 0))
	ended := make(chan struct{}, l.most)
	running := 0
	for number := uint64(1); clock.Now() < stop; number++ {
		if wait(ctx, sapphiredrum.Millis(random.ExpFloat64()*float64(sapphiredrum.Second)/l.rate)) != nil {
			break
		}
		running -= drain(ended)
		key := random.IntN(len(keys))
		if running >= l.most {
			tally.change(func(r *loadReport) { r.Skipped++ })
			continue
		}
		running++
		go l.start(ctx, number, key, client, tally, clock, ended)
	}
	for ; running > 0; running-- {
		<-ended
	}
	return tally.result()
}

// start runs one program and reports its end.
func (l loadPlan) start(ctx context.Context, number uint64, key int, client *http.Client, tally *tally, clock sapphiredrum.Clock, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	random := rand.New(rand.NewPCG(l.seed, number))
	hosts := strings.Split(l.hosts, ",")
	c := &caller{client: client, key: strings.Split(l.keys, ",")[key]}
	c.pick = func() sapphiredrum.Address { return sapphiredrum.Address(hosts[random.IntN(len(hosts))]) }
	tally.change(func(r *loadReport) { r.Started++ })
	begin := clock.Now()
	p := &program{plan: l, caller: c, tally: tally, clock: clock, random: random}
	err := p.run(ctx, "", 0)
	tally.ended(key, clock.Now().Since(begin), err)
}

// drain returns the number of programs that ended since.
func drain(ended <-chan struct{}) int {
	for count := 0; ; count++ {
		select {
		case <-ended:
		default:
			return count
		}
	}
}
