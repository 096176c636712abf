package promoter

import (
	"cmp"
	"maps"
	"math"
	"slices"

	sd "sapphiredrum.example/sapphiredrum"
)

// RouteID is the hash of a rule's name; AllRoutes stands for the sum over all rules.
type RouteID uint32

// AllRoutes is the sum over all rules.
const AllRoutes RouteID = 0

// Count counts the answers of one version on one route.
type Count struct {
	// Answers is the number of answers, Failures of those that failed or broke off.
	Answers, Failures uint64
	// Timed is the number of answers whose duration was judged, Slow of those that took several
	// times the usual duration of the old version on the route.
	Timed, Slow uint64
}

// RouteCount counts the answers of both sides on one route.
type RouteCount struct{ New, Old Count }

// TargetCode is the hash of a target's name.
type TargetCode uint32

// Growth is what a host has counted in a span: by route, and by target of the new version.
type Growth struct {
	Routes  map[RouteID]RouteCount
	Targets map[TargetCode]Count
}

// Plus returns the sum of two counts.
func (c Count) Plus(o Count) Count {
	return Count{c.Answers + o.Answers, c.Failures + o.Failures, c.Timed + o.Timed, c.Slow + o.Slow}
}

func (c *Count) add(o Count) { *c = c.Plus(o) }

// since returns the growth from an earlier count. Counts that fell were started anew.
func (c Count) since(o Count) Count {
	if c.Answers < o.Answers || c.Timed < o.Timed {
		return c
	}
	return Count{c.Answers - o.Answers, c.Failures - min(c.Failures, o.Failures), c.Timed - o.Timed, c.Slow - min(c.Slow, o.Slow)}
}

const (
	// threshold is the log-likelihood ratio at which the new version counts as bad. In the cases of
	// TestEvidenceErrorRates it keeps false alarms under 1 in 1000 and is reached before 50 bad
	// answers.
	threshold = 12
	// uncomparedFactor raises the threshold while the old version answers nothing, as a fault of
	// the surroundings cannot be told from one of the version then.
	uncomparedFactor = 1.6
	// aloneFactor raises the threshold for evidence that other hosts can neither confirm nor
	// contradict, as they got too few answers.
	aloneFactor = 1.6
	// maxStep bounds what one tick adds, so that one burst, such as the answers that a killed
	// target breaks off, does not decide.
	maxStep = threshold / 2.5
	// doubt is the ratio from which a version is not promoted. At 4, 1 in 80 good versions of a service with
	// 15 requests a second was in doubt for 4 s at the end.
	doubt = 6.5
	// recentHalfLife is how fast counts lose their weight in the rates of the old version and of
	// single hosts: a few seconds, so that the versions are compared over the same seconds.
	recentHalfLife = 4 * sd.Second
	// priorAnswers is the weight of the assumed rate before answers of the old version are known.
	priorAnswers = 20
	// maxOldRate is the rate of bad answers of the old version from which all targets are in
	// trouble, and a comparison says little.
	maxOldRate = 0.25
	// fewAnswers is the number of recent answers under which other hosts cannot contradict.
	fewAnswers = 10
	// confirmation is the log-likelihood ratio, over the recent answers at all hosts but the one with
	// most bad ones, that confirms a bad version. A single host with a bad path is not confirmed.
	confirmation = 3
	// othersRate is the least rate of bad answers at the other targets of the new version, as a part
	// of that of the worst one, that confirms a bad version, and othersBad their least number. Of a
	// single bad target the others have the usual rate, a few answers in a hundred.
	othersRate = 0.5
	othersBad  = 3
	// manyAnswers is the number of recent answers of one target from which the others, with fewer
	// than fewAnswers, cannot be waited for: a bad version would get too many requests meanwhile.
	manyAnswers = 30
	// targetHalfLife is how fast the counts of single targets lose their weight: slower than the
	// others, as a target has few of the answers.
	targetHalfLife = 15 * sd.Second
)

// kind is a kind of bad answers.
type kind int

const (
	failures kind = iota
	slowness
	kinds
)

// minRate is the rate of bad answers of the old version that is assumed at least. Durations vary
// more than outcomes.
var minRate = [kinds]float64{0.01, 0.03}

// effects are the increases of the rate that the test looks for: a twentieth of the answers,
// a fifth, and a half.
var effects = [...]float64{0.05, 0.2, 0.5}

func (c Count) of(k kind) (bad, total float64) {
	if k == slowness {
		return float64(c.Slow), float64(c.Timed)
	}
	return float64(c.Failures), float64(c.Answers)
}

type testID struct {
	route RouteID
	kind  kind
}

// rate is a number of bad answers among all, both decaying.
type rate struct{ bad, total float64 }

func (r *rate) decay(by float64) { r.bad, r.total = r.bad*by, r.total*by }

func (r *rate) add(bad, total float64) { r.bad, r.total = r.bad+bad, r.total+total }

// test is a cumulative-sum test of one kind on one route.
type test struct {
	// sums holds a log-likelihood ratio for each of effects, at least zero: a version that turns
	// bad late is found as soon as one that was bad at once.
	sums [len(effects)]float64
	// old is the recent rate of the old version, always that since the order.
	old, always rate
	hosts       map[sd.HostID]*rate
}

// Evidence compares the answers of two versions. The zero Evidence has none.
type Evidence struct {
	tests   map[testID]*test
	targets map[TargetCode]*[kinds]rate
}

// Verdict is the strongest evidence against the new version.
type Verdict struct {
	// Score is the evidence, where 1 is enough to roll back. Doubt is set from about half of that on.
	Score float64
	Doubt bool
	Route RouteID
	// Slow is set if it concerns slow answers, otherwise failures.
	Slow bool
	// New and Old are the recent rates of bad answers.
	New, Old float64
	// BadAnswers is their recent number for the new version, Hosts that of hosts with them.
	BadAnswers float64
	Hosts      int
}

// Bad reports whether the evidence is enough to roll back.
func (v Verdict) Bad() bool { return v.Score >= 1 }

// Add takes the growth of each host's counts over a span.
func (e *Evidence) Add(span sd.Millis, hosts map[sd.HostID]Growth) {
	if e.tests == nil {
		e.tests, e.targets = map[testID]*test{}, map[TargetCode]*[kinds]rate{}
	}
	by, byTarget := math.Exp2(-float64(span)/float64(recentHalfLife)), math.Exp2(-float64(span)/float64(targetHalfLife))
	for _, t := range e.tests {
		t.old.decay(by)
		for host, r := range t.hosts {
			if r.decay(by); r.total < 0.1 {
				delete(t.hosts, host)
			}
		}
	}
	for _, rates := range e.targets {
		for k := range rates {
			rates[k].decay(byTarget)
		}
	}
	growth := map[testID]*[2]rate{}
	for host, grown := range hosts {
		e.countTargets(grown.Targets)
		sum := RouteCount{}
		for _, c := range grown.Routes {
			sum.New.add(c.New)
			sum.Old.add(c.Old)
		}
		e.count(growth, host, AllRoutes, sum)
		for route, c := range grown.Routes {
			if route != AllRoutes {
				e.count(growth, host, route, c)
			}
		}
	}
	for id, g := range growth {
		t := e.tests[id]
		t.old.add(g[1].bad, g[1].total)
		t.always.add(g[1].bad, g[1].total)
		t.step(id.kind, g[0], g[1])
	}
}

func (e *Evidence) countTargets(targets map[TargetCode]Count) {
	for code, c := range targets {
		if e.targets[code] == nil {
			e.targets[code] = &[kinds]rate{}
		}
		for k := range kinds {
			e.targets[code][k].add(c.of(k))
		}
	}
}

// oneTarget reports whether bad answers come from a single target while others do well, and whether
// only one target has answers enough to tell.
func (e *Evidence) oneTarget(k kind) (one, alone bool) {
	var all, top rate
	for _, rates := range e.targets {
		all.add(rates[k].bad, rates[k].total)
		if rates[k].bad > top.bad {
			top = rates[k]
		}
	}
	others := rate{all.bad - top.bad, all.total - top.total}
	if others.total < fewAnswers {
		return top.total < manyAnswers, true
	}
	return others.bad < othersBad || others.bad/others.total < othersRate*top.bad/top.total, false
}

func (e *Evidence) count(growth map[testID]*[2]rate, host sd.HostID, route RouteID, c RouteCount) {
	for k := range kinds {
		id := testID{route, k}
		t := e.tests[id]
		if t == nil {
			t = &test{hosts: map[sd.HostID]*rate{}}
			e.tests[id] = t
		}
		g := growth[id]
		if g == nil {
			g = &[2]rate{}
			growth[id] = g
		}
		bad, total := c.New.of(k)
		g[0].add(bad, total)
		if total > 0 {
			if t.hosts[host] == nil {
				t.hosts[host] = &rate{}
			}
			t.hosts[host].add(bad, total)
		}
		g[1].add(c.Old.of(k))
	}
}

// oldRate returns the rate of bad answers that a good version may have: that of the old version
// in the same seconds, or since the order if there are few, plus a standard error.
func (t *test) oldRate(k kind) float64 {
	r := t.old
	if r.total < priorAnswers {
		r = t.always
		if r.total > priorAnswers {
			r.decay(priorAnswers / r.total)
		}
		r.add(t.old.bad, t.old.total)
	}
	n := r.total + priorAnswers
	p := (r.bad + priorAnswers*minRate[k]) / n
	return max(p, minRate[k]) + math.Sqrt(p*(1-p)/n)
}

// step adds the growth of a tick. As trouble begins within a tick, the old version's rate in that
// tick alone counts if it is higher.
func (t *test) step(k kind, grown, oldGrown rate) {
	old := t.oldRate(k)
	if oldGrown.bad > 0 {
		p := oldGrown.bad / oldGrown.total
		old = max(old, p+math.Sqrt(p*(1-p)/oldGrown.total))
	}
	if grown.total == 0 || old > maxOldRate {
		return
	}
	for i, effect := range effects {
		t.sums[i] = max(0, t.sums[i]+min(gain(grown, old, effect), maxStep))
	}
}

// gain returns the log-likelihood ratio of a rate that is higher than the old one by an effect.
func gain(r rate, old, effect float64) float64 {
	bad := min(old+effect, 0.99)
	return r.bad*math.Log(bad/old) + (r.total-r.bad)*math.Log((1-bad)/(1-old))
}

// Judge returns the strongest evidence. Hosts and targets are the known ones, those of the new
// version.
func (e *Evidence) Judge(hosts, targets int) Verdict {
	var worst Verdict
	ids := slices.SortedFunc(maps.Keys(e.tests), func(a, b testID) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.kind, b.kind))
	})
	for _, id := range ids {
		v := e.judge(id, hosts > 1, targets > 1)
		if v.Score > worst.Score {
			worst = v
		}
	}
	return worst
}

func (e *Evidence) judge(id testID, hosts, targets bool) Verdict {
	t := e.tests[id]
	v := Verdict{Route: id.route, Slow: id.kind == slowness, Old: t.oldRate(id.kind)}
	sum := slices.Max(t.sums[:])
	var all, top rate
	for _, r := range t.hosts {
		all.add(r.bad, r.total)
		if r.bad >= 0.1 {
			v.Hosts++
		}
		if r.bad > top.bad {
			top = *r
		}
	}
	v.BadAnswers, v.Doubt = all.bad, sum >= doubt
	if all.total > 0 {
		v.New = all.bad / all.total
	}
	needed := float64(threshold)
	if t.old.total < 1 {
		needed *= uncomparedFactor
	}
	if others := (rate{all.bad - top.bad, all.total - top.total}); hosts {
		confirmed := 0.0
		for _, effect := range effects {
			confirmed = max(confirmed, gain(others, v.Old, effect))
		}
		switch {
		case confirmed >= confirmation:
		case others.total < fewAnswers:
			needed *= aloneFactor
		default:
			// Only one host sees the fault.
			v.Doubt = false
			sum = min(sum, doubt)
		}
	}
	if one, alone := e.oneTarget(id.kind); targets && one {
		// While the others have too few answers, the version stays in doubt.
		v.Doubt = v.Doubt && alone
		sum = min(sum, doubt)
	} else if targets && alone {
		needed = max(needed, threshold*aloneFactor)
	}
	v.Score = sum / needed
	return v
}
