package profiler

import (
	"cmp"
	"net/http"
	"slices"

	sd "sapphiredrum.example/sapphiredrum"
)

// part is a part of a program's time.
type part int

// The parts.
const (
	// partPause: the caller's pauses between requests.
	partPause part = iota
	// partHistory: loading the earlier turns.
	partHistory
	// partReserve: standing still for the budget reservation.
	partReserve
	// partQueue: waiting at the host for a target.
	partQueue
	// partFirst: the target's queue and reading of the prompt, until its first event.
	partFirst
	// partStream: the events after the first. It also holds what no other part measures,
	// such as reading the request's body.
	partStream
	// partEnd: storing the turn before the end is forwarded.
	partEnd
	// partCalls: calls that are not streamed.
	partCalls
	// partRefused: requests refused with 503, 429, 408 or 421, and the time until they may be
	// sent again.
	partRefused
	// partFailed: requests that were not served for another reason.
	partFailed
	partCount
)

// partNames are the parts' names in tables.
var partNames = [partCount]string{"pause", "history", "reserve", "queue", "first", "stream", "end", "calls", "refused", "failed"}

// outcome is how a program ended.
type outcome int

// The outcomes.
const (
	// inTime: served within the program's time.
	inTime outcome = iota
	// late: served after it.
	late
	// untimed: served, but no request named the program's time.
	untimed
	// refused: no turn of the program was served.
	refused
	// givenUp: the program was not served to its end.
	givenUp
	// overBudget: a turn was answered 402.
	overBudget
	// rejected: a request was answered with another status that blames the caller.
	rejected
	// open: the program may have gone on after the end of the logs.
	open
	outcomeCount
)

// outcomeNames are the outcomes' names in tables.
var outcomeNames = [outcomeCount]string{"in time", "late", "untimed", "refused", "given up", "budget", "rejected", "open"}

const (
	// clockSkew is how far hosts' clocks may differ. It also covers the time between an
	// answer and its log line.
	clockSkew = 5
	// openAfter is the time after a program's last request in which the next one may still
	// come: 99.9% of 59,911 pauses in the log of a heavy day were under 2.7 s.
	openAfter = 3000
)

// program is a program with its requests in the order of their ends.
type program struct {
	requests []*request
	rule     string
	outcome  outcome
	began    sd.WallTime
	ended    sd.WallTime
	// deadline is when the program should be finished, if timed is set.
	deadline sd.WallTime
	timed    bool
	path     []segment
	// took is the sum of the path by part.
	took [partCount]sd.Millis
}

// segment is a stretch of a program's critical path.
type segment struct {
	part part
	// rule is that of a plain call.
	rule string
	took sd.Millis
	// units is the number of stream events in the segment, otherwise 1.
	units int
}

// newProgram returns the program of the given requests, of which there is at least one. Last
// is the end of the logs.
func newProgram(requests []*request, last sd.WallTime) *program {
	slices.SortStableFunc(requests, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.ended, b.ended), cmp.Compare(a.arrived, b.arrived))
	})
	p := &program{requests: requests, ended: requests[len(requests)-1].ended}
	var firstTurn, timed, passed *request
	byArrival := slices.Clone(requests)
	slices.SortStableFunc(byArrival, func(a, b *request) int { return cmp.Compare(a.arrived, b.arrived) })
	p.began = byArrival[0].arrived
	for _, r := range byArrival {
		if firstTurn == nil && r.streamed() {
			firstTurn = r
		}
		if timed == nil && r.Left != nil && *r.Left > 0 {
			timed = r
		}
		if passed == nil && r.Left != nil {
			passed = r
		}
	}
	p.rule = cmp.Or(firstTurn, byArrival[0]).Rule
	// A time of zero only tells that it has passed.
	if timed = cmp.Or(timed, passed); timed != nil {
		p.setDeadline(timed.arrived + sd.WallTime(*timed.Left))
	}
	p.trace()
	p.outcome = p.judge(last)
	return p
}

// setDeadline sets when the program should be finished.
func (p *program) setDeadline(at sd.WallTime) { p.deadline, p.timed = at, true }

// judge returns the program's outcome. A request that was not served decides it if the
// program sent no later request of the same rule.
func (p *program) judge(last sd.WallTime) outcome {
	served, failed, faulty := false, false, false
	// lastArrival is that of the requests that ended later, by rule.
	lastArrival := map[string]sd.WallTime{}
	for _, r := range slices.Backward(p.requests) {
		followed := lastArrival[r.Rule] >= r.ended-clockSkew
		lastArrival[r.Rule] = max(lastArrival[r.Rule], r.arrived)
		switch {
		case r.Status == http.StatusPaymentRequired:
			return overBudget
		case r.served():
			served = served || r.streamed() || r.Rule == p.rule
		case followed:
		case r.refused() || r.Status == 0 || r.Status >= http.StatusInternalServerError:
			failed = true
		default:
			faulty = true
		}
	}
	switch {
	case faulty:
		return rejected
	case p.ended+openAfter > last:
		return open
	case failed && !served:
		return refused
	case failed:
		return givenUp
	}
	return p.timeliness()
}

// timeliness returns the outcome of a program that was served to its end.
func (p *program) timeliness() outcome {
	switch {
	case !p.timed:
		return untimed
	case p.ended <= p.deadline:
		return inTime
	}
	return late
}

// finished reports whether the program was served to its end.
func (p *program) finished() bool {
	return p.outcome == inTime || p.outcome == late || p.outcome == untimed
}

// trace finds the critical path.
func (p *program) trace() {
	for i := len(p.requests) - 1; i >= 0; {
		r := p.requests[i]
		p.addRequest(r)
		previous := p.previous(i)
		if previous < 0 {
			p.addSegment(segment{part: partPause, took: sd.Millis(r.arrived - p.began), units: 1})
			return
		}
		before := p.requests[previous]
		gap := max(0, sd.Millis(r.arrived-before.ended))
		if before.refused() && !before.served() {
			wait := gap
			if before.Retry != nil {
				wait = min(gap, *before.Retry)
			}
			p.addSegment(segment{part: partRefused, took: wait, units: 1})
			gap -= wait
		}
		p.addSegment(segment{part: partPause, took: gap, units: 1})
		i = previous
	}
}

// previous returns the index of the request that the one at index i followed, or -1.
func (p *program) previous(i int) int {
	r := p.requests[i]
	after, _ := slices.BinarySearchFunc(p.requests, r.arrived+clockSkew+1, func(a *request, t sd.WallTime) int { return cmp.Compare(a.ended, t) })
	for j := min(after, i) - 1; j >= 0; j-- {
		if p.requests[j].arrived < r.arrived {
			return j
		}
	}
	return -1
}

// addRequest adds the parts of a request to the path.
func (p *program) addRequest(r *request) {
	switch {
	case !r.served() && r.refused():
		p.addSegment(segment{part: partRefused, took: r.Took, units: 1})
	case !r.served():
		p.addSegment(segment{part: partFailed, took: r.Took, units: 1})
	case !r.streamed():
		p.addSegment(segment{part: partCalls, rule: r.Rule, took: r.Took, units: 1})
	default:
		parts := r.turnParts()
		for _, at := range turnParts {
			s := segment{part: at, took: parts[at], units: 1}
			if at == partStream {
				s.units = r.laterEvents()
			}
			p.addSegment(s)
		}
	}
}

// turnParts are the parts of a served turn or stream.
var turnParts = []part{partHistory, partReserve, partQueue, partFirst, partStream, partEnd}

// turnParts returns the time of a served turn or stream by part.
func (r *request) turnParts() [partCount]sd.Millis {
	parts := [partCount]sd.Millis{partHistory: r.History, partReserve: r.held(), partQueue: r.Wait, partFirst: r.First, partEnd: r.Settle}
	rest := r.Took
	for _, took := range parts {
		rest -= took
	}
	parts[partStream] = max(0, rest)
	return parts
}

// laterEvents returns the number of events after the first, at least 1.
func (r *request) laterEvents() int { return max(1, r.Events-1) }

// addSegment adds a segment to the path. Pauses of no length are left out, as a request that
// follows at once has none.
func (p *program) addSegment(s segment) {
	if s.part == partPause && s.took == 0 {
		return
	}
	p.path = append(p.path, s)
	p.took[s.part] += s.took
}
