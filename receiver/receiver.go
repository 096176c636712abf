package receiver

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/archiver"
	"sapphiredrum.example/sapphiredrum/balancer"
	"sapphiredrum.example/sapphiredrum/exchanger"
	"sapphiredrum.example/sapphiredrum/meterer"
	"sapphiredrum.example/sapphiredrum/platform"
)

// Meter admits requests of workspaces.
type Meter interface {
	// Admit takes a request, which may begin a program.
	Admit(workspace sd.WorkspaceID, begins bool) meterer.Verdict
	// Return gives back a request that no target has run.
	Return(workspace sd.WorkspaceID)
}

// Parts are what a Receiver works with.
type Parts struct {
	Clock     sd.Clock
	Log       *zap.Logger
	Meter     Meter
	Gate      *Gate
	Archive   *archiver.Archive
	Exchanger *exchanger.Exchanger
	Measures  *Measures
	// Memory is the host's; zero stands for the smallest host's.
	Memory sd.Bytes
}

// Receiver is the handler of callers' requests.
type Receiver struct {
	Parts
	buffers *buffers
	lately  lately
	// settling counts the accounts that are written behind an answer.
	settling sync.WaitGroup
	table    atomic.Pointer[Table]
	isolated atomic.Bool
}

// New returns a Receiver that answers 503 until it has a plan.
func New(parts Parts) *Receiver {
	r := &Receiver{Parts: parts, buffers: newBuffers(parts.Memory)}
	parts.Measures.Set.GetOrCreateGauge("answer_buffer_bytes", func() float64 { return float64(r.buffers.taken.Load()) })
	return r
}

// SetPlan puts a plan in force.
func (r *Receiver) SetPlan(t *Table) { r.table.Store(t) }

// Isolate tells whether this host is cut off, so that callers had better come back
// to another one.
func (r *Receiver) Isolate(isolated bool) { r.isolated.Store(isolated) }

// Settled waits until the accounts of all answered turns are written, or ctx ends. It
// reports whether they are.
func (r *Receiver) Settled(ctx context.Context) bool {
	done := make(chan struct{})
	go func() {
		r.settling.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// Table returns the plan in force, or nil.
func (r *Receiver) Table() *Table { return r.table.Load() }

const (
	// defaultTimeout bounds a request whose rule and caller name no time.
	defaultTimeout = 30 * sd.Second
	// startReserve is the least time in which a request sent to a target is of use.
	startReserve = 20 * sd.Millisecond
	// refusals bounds the targets that may refuse one request before it is given up.
	refusals = 4
	// comeBack is when a caller should come back to a fleet that lacks something:
	// a target, the store, a plan.
	comeBack = 300 * sd.Millisecond
	// longestComeBack bounds what a caller is told in a crowd: a third of the time
	// that callers usually have.
	longestComeBack = sd.Second
	// leadElsewhere is when a caller should come back that a host in reach of the
	// others will then serve: connections are led away from a host after it was found
	// not ready twice, in one or two seconds.
	leadElsewhere = sd.Second
	// writeGrace is how long after a request's deadline its caller may still take the answer:
	// one that is ready is delivered, also late.
	writeGrace = sd.Second
	// turnBytes bounds a turn that is kept: it must fit one transaction of a megabyte
	// in base64.
	turnBytes = 512 << 10
)

// request is one caller's request on its way.
type request struct {
	*Receiver
	w         http.ResponseWriter
	http      *http.Request
	ask       platform.Ask
	table     *Table
	rule      *sd.RoutingRule
	pool      sd.GroupName
	workspace sd.WorkspaceID
	tier      sd.Tier
	arrived   sd.Instant
	deadline  sd.Instant
	body      []byte
	// chain is what a turn's target gets before the body.
	chain  []*archiver.Turn
	prefer sd.TargetID
	// stream is what is passed on of a streamed answer; nil for a plain one.
	stream *stream
	// program is that of a turn.
	program archiver.Key
	// sent counts the targets that may have run the request.
	sent int
	// tried counts the targets that it was sent to.
	tried  int
	target sd.TargetID
	stages [stageCount]sd.Millis
}

// ServeHTTP serves one request.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	q := &request{
		Receiver: r, w: w, http: req, ask: platform.DecodeAsk(req.Header), table: r.table.Load(), arrived: r.Clock.Now(),
	}
	if len(req.TransferEncoding) > 0 {
		// A length beside the chunks would have been dropped unseen; whatever follows
		// may be a request that was hidden in this one.
		w.Header().Set("Connection", "close")
	}
	if q.table == nil {
		q.refuse(http.StatusServiceUnavailable, "no plan yet", comeBack)
		return
	}
	if !q.identify() {
		return
	}
	limit := defaultTimeout
	if q.rule.Timeout > 0 {
		limit = q.rule.Timeout
	}
	if q.ask.Deadline > 0 {
		limit = min(limit, q.ask.Deadline)
	}
	q.deadline = q.arrived.Add(limit)
	ctx, cancel := context.WithTimeout(req.Context(), limit.Duration())
	defer cancel()
	q.boundWrite(limit)
	if !q.read(limit) {
		return
	}
	if v := r.Meter.Admit(q.workspace, q.begins()); !v.Admitted {
		q.Log.Info("rate used up", zap.Int("event", eventRate), q.id(), zap.String("workspace", string(q.workspace)),
			zap.Float64("tokens", v.Tokens), zap.Float64("need", v.Need), zap.Float64("rate", float64(v.Rate)),
			zap.Float64("part", float64(v.Part)), zap.Int64("wait_ms", int64(v.Wait)))
		q.refuse(http.StatusTooManyRequests, "rate used up", v.Wait)
		return
	}
	switch {
	case q.isTurn():
		q.turn(ctx)
	case q.rule.Streaming:
		q.stream = &stream{finish: func() bool { return true }}
		q.serve(ctx)
	default:
		q.serve(ctx)
	}
}

// isTurn reports whether the request is a turn of a program: it has an account there,
// whether or not the rule keeps what is said.
func (q *request) isTurn() bool {
	return q.rule.RetainTurns || (q.rule.Streaming && (q.ask.Budgeted || q.ask.Program != ""))
}

// identify finds the request's rule, workspace and pool, or answers it.
func (q *request) identify() bool {
	q.rule = q.table.Rule(q.http.Host, q.http.URL.Path)
	if q.rule == nil {
		q.refuse(http.StatusNotFound, "no rule", 0)
		return false
	}
	q.tier = q.rule.Tier
	if !q.rule.Public && len(q.table.Plan.Workspaces) > 0 {
		w := q.table.Workspace(q.ask.Key)
		if w == nil {
			q.refuse(http.StatusUnauthorized, "unknown key", 0)
			return false
		}
		q.workspace = w.ID
		q.tier += w.Tier * tierStep
	}
	draw := xxhash.Sum64String(string(q.ask.Program) + string(q.ask.Request))
	if q.isTurn() {
		draw = xxhash.Sum64String(string(q.ask.Program))
		q.program = archiver.ProgramKey(q.workspace, q.ask.Program)
		if q.ask.Program == "" {
			q.program = archiver.ProgramKey(q.workspace, sd.ProgramID("request:"+string(q.ask.Request)))
		}
	}
	q.pool = Pool(q.rule, draw)
	return true
}

// tierStep lets a workspace's tier go before any rule's.
const tierStep = 1000

// connection returns the caller's connection.
func (q *request) connection() *http.ResponseController { return http.NewResponseController(q.w) }

// boundWrite bounds the time in which the caller takes the answer: one that neither reads
// nor leaves holds nothing for longer.
func (q *request) boundWrite(within sd.Millis) {
	q.bound("write", q.connection().SetWriteDeadline(time.Now().Add((within + writeGrace).Duration())))
}

// bound notes that the time of a caller's connection could not be bounded, if so.
func (q *request) bound(what string, err error) {
	if err != nil {
		q.Log.Warn("caller's connection has no bound", zap.Int("event", eventUnbound), q.id(), zap.String("what", what), zap.Error(err))
	}
}

// read reads the request's body, or answers it: a caller has the request's time to send it.
func (q *request) read(within sd.Millis) bool {
	limit := q.table.Plan.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = answerBytes
	}
	if q.http.ContentLength > limit {
		q.refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
		return false
	}
	if q.http.ContentLength == 0 || q.http.Body == nil {
		return true
	}
	q.bound("read", q.connection().SetReadDeadline(time.Now().Add(within.Duration())))
	body, err := io.ReadAll(io.LimitReader(q.http.Body, limit+1))
	q.bound("read", q.connection().SetReadDeadline(time.Time{}))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		q.w.Header().Set("Connection", "close")
		q.refuse(http.StatusRequestTimeout, "body not sent in time", 0)
		return false
	}
	if err != nil {
		// The caller broke off, nobody waits for an answer.
		q.refuse(http.StatusBadRequest, "body broke off", 0)
		return false
	}
	if int64(len(body)) > limit {
		q.refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
		return false
	}
	q.body = body
	return true
}

// begins reports whether the request begins a program. Where turns do not name the one
// before, a program is under way if this host has served a turn of it.
func (q *request) begins() bool {
	if q.rule.RetainTurns {
		return q.ask.Previous == ""
	}
	return q.isTurn() && q.lately.target(q.program) == ""
}

// left returns the time until the request's deadline.
func (q *request) left() sd.Millis { return q.deadline.Since(q.Clock.Now()) }

// refuse answers with a status of the scheduler's own.
func (q *request) refuse(status int, reason string, wait sd.Millis) {
	h := q.w.Header()
	platform.MarkReply(h, q.ask.Request)
	if wait > 0 {
		h["Retry-After"] = []string{strconv.FormatFloat(float64(wait)/float64(sd.Second), 'f', 3, 64)}
	}
	h["Content-Type"] = []string{"text/plain; charset=utf-8"}
	q.w.WriteHeader(status)
	// A caller that has gone does not need the text.
	_, _ = io.WriteString(q.w, reason+"\n")
	q.note(status, reason)
}

// fail answers a request that got no answer: with a promise that it has not run
// if that is so.
func (q *request) fail(ctx context.Context, reason string, wait sd.Millis) {
	switch {
	case q.http.Context().Err() != nil:
		q.note(0, "caller left")
		panic(http.ErrAbortHandler)
	case q.stream != nil && q.stream.begun:
		q.breakOff(reason)
	case q.sent == 0 && q.isolated.Load():
		q.refuse(http.StatusServiceUnavailable, reason, leadElsewhere)
	case q.sent == 0:
		q.refuse(http.StatusServiceUnavailable, reason, max(wait, comeBack))
	case ctx.Err() != nil:
		q.refuse(http.StatusGatewayTimeout, reason, 0)
	default:
		q.refuse(http.StatusBadGateway, reason, 0)
	}
	if q.sent == 0 {
		q.Meter.Return(q.workspace)
	}
}

// ended is how a request ended at one target.
type ended int

const (
	// answered: the caller has its answer.
	answered ended = iota
	// again: it may be sent to another target.
	again
	// over: it may not.
	over
)

// serve finds targets for the request until one has answered.
func (q *request) serve(ctx context.Context) {
	var avoid []sd.TargetID
	for {
		if q.tried >= refusals+q.rule.MaxAttempts {
			q.fail(ctx, "refused by all targets tried", comeBack)
			return
		}
		ticket := &balancer.Ticket{
			Pool: q.pool, Prefer: q.prefer, Prompt: q.ask.Prompt, Avoid: avoid, Tier: q.tier, Latest: q.deadline.Add(-startReserve),
			Begins: q.begins(),
		}
		if q.ask.ProgramLeft > 0 {
			ticket.Due = q.arrived.Add(q.ask.ProgramLeft)
		}
		asked := q.Clock.Now()
		err := q.Gate.Acquire(ctx, ticket)
		q.measure(stageWait, asked)
		if err != nil || ticket.Refused != "" {
			reason := string(ticket.Refused)
			if err != nil {
				reason = "no target in time"
			}
			q.Log.Info("no target", zap.Int("event", eventTarget), q.id(), zap.String("pool", string(q.pool)), zap.String("reason", reason),
				zap.Int64("wait_ms", int64(ticket.Wait)), zap.Int("running", ticket.Running), zap.Float64("bound", ticket.Bound))
			q.fail(ctx, reason, min(max(ticket.Wait, comeBack), longestComeBack))
			return
		}
		if q.stream != nil && q.stream.grant != nil && q.stream.grant.ended() {
			if err := q.granted(ctx); err != nil {
				q.Gate.Release(ticket, balancer.Abandoned, 0)
				q.denied(ctx, err)
				return
			}
		}
		q.tried++
		q.target = ticket.Target
		end := q.send(ctx, ticket)
		if end == answered {
			return
		}
		if end == over {
			q.fail(ctx, "target failed", 0)
			return
		}
		avoid = append(avoid, ticket.Target)
	}
}

// send sends the request to the ticket's target and passes the answer on.
func (q *request) send(ctx context.Context, ticket *balancer.Ticket) ended {
	start := q.Clock.Now()
	release := func(result balancer.Result) { q.Gate.Release(ticket, result, q.Clock.Now().Since(start)) }
	call := exchanger.Call{
		Method: q.http.Method, URI: q.uri(), Host: q.http.Host,
		Header: platform.TargetHeader(q.http.Header, q.workspace, ticket.Target, max(q.left(), 1)),
		Body:   q.bodies(),
		Belongs: func(status int, header http.Header) bool {
			id := platform.DecodeReply(status, header).Request
			return id == q.ask.Request || (id == "" && status >= 300)
		},
	}
	if q.stream != nil && q.stream.last != "" {
		platform.ResumeAfter(call.Header, q.stream.last)
	}
	answer, err := q.Exchanger.Exchange(ctx, ticket.Address, call)
	q.measure(stageFirst, start)
	if err != nil {
		if errorx.IsOfType(err, sd.Unavailable) {
			q.Log.Warn("target not reached", zap.Int("event", eventAttempt), q.id(), zap.String("target", string(ticket.Target)), zap.Error(err))
			if ctx.Err() != nil {
				release(balancer.Abandoned)
				return over
			}
			release(balancer.Unreached)
			return again
		}
		q.sent++
		q.Log.Warn("exchange failed", zap.Int("event", eventAttempt), q.id(), zap.String("target", string(ticket.Target)), zap.Error(err))
		if ctx.Err() != nil {
			release(balancer.Abandoned)
			return over
		}
		release(balancer.Failed)
		return q.repeat()
	}
	reply := platform.DecodeReply(answer.Status, answer.Header)
	if reply.Loaded {
		q.Gate.Update(func(b *balancer.State, now sd.Instant) { b.Told(now, ticket.Target, reply.Running, reply.Waiting) })
	}
	if reply.NotRun {
		answer.Drop()
		q.Log.Info("target refused", zap.Int("event", eventAttempt), q.id(), zap.String("target", string(ticket.Target)), zap.Int("status", answer.Status))
		if answer.Status == http.StatusMisdirectedRequest {
			release(balancer.Unreached)
		} else {
			release(balancer.Shed)
		}
		return again
	}
	q.sent++
	if q.stream != nil && (answer.Status < 300 || q.stream.begun) {
		return q.relay(ctx, answer, release)
	}
	return q.pass(ctx, answer, release)
}

// repeat tells whether a request that may have run may be sent again.
func (q *request) repeat() ended {
	if (q.rule.Idempotent || q.rule.Resumable) && q.sent < q.rule.MaxAttempts {
		return again
	}
	return over
}

// uri returns the request's path and query as the caller sent them.
func (q *request) uri() string {
	if uri := q.http.RequestURI; len(uri) > 0 && uri[0] == '/' {
		return uri
	}
	return q.http.URL.RequestURI()
}

// bodies returns what the target gets: the chain's inputs and outputs, then the
// request's own body.
func (q *request) bodies() [][]byte {
	parts := make([][]byte, 0, 2*len(q.chain)+1)
	for _, t := range q.chain {
		parts = append(parts, t.Input, t.Output)
	}
	return append(parts, q.body)
}

func (q *request) id() zap.Field { return zap.String("request", string(q.ask.Request)) }
