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
	"sapphiredrum.example/sapphiredrum/reserver"
	"sapphiredrum.example/sapphiredrum/screener"
)

// RateLimiter limits the request rate of each workspace.
type RateLimiter interface {
	// Admit charges the workspace for one request. Begins is set if the request may
	// start a program.
	Admit(workspace sd.WorkspaceID, begins bool) meterer.Decision
	// Return refunds the charge for a request that no target has run.
	Return(workspace sd.WorkspaceID)
}

// Config holds the dependencies and settings of a Receiver.
type Config struct {
	Clock       sd.Clock
	Log         *zap.Logger
	RateLimiter RateLimiter
	TargetQueue *TargetQueue
	Archive     *archiver.Archive
	// Allotter, if set, lets turns run while their reservation is pending.
	Allotter Allotter
	// Screener, if set, refuses requests that crash their targets.
	Screener  *screener.Screener
	Exchanger *exchanger.Exchanger
	Metrics   *Metrics
	// Memory is the memory size of the host; zero selects that of the smallest
	// supported host.
	Memory sd.Bytes
	// Budget limits the memory of all requests; nil selects one of the usual share of Memory.
	Budget *reserver.Budget
}

// Receiver is the http.Handler for callers' requests.
type Receiver struct {
	Config
	bufferQuota *memoryQuota
	recent      recentTargets
	choices     choiceLog
	// settling counts the goroutines that record token usage after the response was
	// sent.
	settling sync.WaitGroup
	table    atomic.Pointer[RoutingTable]
	isolated atomic.Bool
}

// New returns a Receiver that answers 503 until SetRoutingTable is called.
func New(config Config) *Receiver {
	if config.Budget == nil {
		config.Budget = reserver.New(BudgetSettings(config.Memory), config.Clock)
	}
	r := &Receiver{Config: config, bufferQuota: newMemoryQuota(config.Memory)}
	config.Metrics.Set.GetOrCreateGauge("answer_buffer_bytes", func() float64 { return float64(r.bufferQuota.reserved.Load()) })
	config.Metrics.Set.GetOrCreateGauge("unread_tokens_inflight", func() float64 { return float64(r.TargetQueue.UnreadTokens()) })
	return r
}

// SetRoutingTable replaces the routing table for subsequent requests.
func (r *Receiver) SetRoutingTable(t *RoutingTable) {
	r.Budget.SetLargest(sd.Bytes(t.FleetConfig.Limits.MaxBodyBytes))
	r.table.Store(t)
}

// SetIsolated sets whether this host is isolated from the store and its peers.
// While it is, refusals ask callers to retry after the time in which their
// connections move to another host.
func (r *Receiver) SetIsolated(isolated bool) { r.isolated.Store(isolated) }

// WaitSettled waits until the token usage of all answered turns is recorded. It
// returns false if ctx ends first.
func (r *Receiver) WaitSettled(ctx context.Context) bool {
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

// RoutingTable returns the current routing table, or nil if none is set.
func (r *Receiver) RoutingTable() *RoutingTable { return r.table.Load() }

const (
	// defaultTimeout applies if neither the rule nor the caller sets a timeout.
	defaultTimeout = 30 * sd.Second
	// minAttemptTime is the shortest remaining time in which sending a request to a
	// target is still useful.
	minAttemptTime = 20 * sd.Millisecond
	// maxRefusals is the number of targets that may refuse a request, in addition to
	// the attempts that its rule allows, before the request fails.
	maxRefusals = 4
	// retryDelay is the Retry-After when a resource is temporarily missing: a target,
	// the store, or the routing table.
	retryDelay = 300 * sd.Millisecond
	// maxRetryDelay limits the Retry-After of an overloaded pool to a third of the
	// usual request timeout.
	maxRetryDelay = sd.Second
	// isolatedRetryDelay is the Retry-After of an isolated host. Connections are routed
	// away from a host after two failed readiness checks, which takes one to two
	// seconds; the retry then reaches another host.
	isolatedRetryDelay = sd.Second
	// writeGrace is the time after the deadline in which the caller may still read the
	// response. A response that is ready is delivered even if it is late.
	writeGrace = sd.Second
	// maxTurnBytes limits a retained turn, which must fit in one 1 MB store
	// transaction when encoded in base64.
	maxTurnBytes = 512 << 10
)

// request is the state of one caller's request.
type request struct {
	*Receiver
	w         http.ResponseWriter
	http      *http.Request
	params    platform.Ask
	table     *RoutingTable
	rule      *sd.RoutingRule
	pool      sd.GroupName
	workspace sd.WorkspaceID
	tier      sd.Tier
	arrived   sd.Instant
	deadline  sd.Instant
	// body is the concatenation of its parts, of bodySize bytes in all.
	body     [][]byte
	bodySize int
	// holder accounts for the memory that the request takes.
	holder *reserver.Holder
	// sign is the request's signature if signed is set.
	sign   screener.Signature
	signed bool
	// trial names the request's trial at the Screener; empty if it has none.
	trial string
	// history holds the earlier turns, which are sent to the target before the body.
	history   []*archiver.Turn
	preferred sd.TargetID
	// stream is the state of a streamed response; nil if the rule does not stream.
	stream *stream
	// program identifies the program of a turn.
	program archiver.Key
	// possibleRuns counts the attempts in which a target may have run the request.
	possibleRuns int
	// attempts counts the targets to which the request was sent.
	attempts int
	// ticket, target and address are those of the last attempt; crashesKnown is the request's
	// count at the Screener when it was sent.
	ticket       *balancer.Request
	target       sd.TargetID
	address      sd.Address
	crashesKnown screener.Crashes
	// end is how the last target's response ended.
	end        responseEnd
	stageTimes [stageCount]sd.Millis
	// retryAfter is the Retry-After of a refusal; zero if it has none.
	retryAfter sd.Millis
}

// ServeHTTP implements http.Handler.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	q := &request{
		Receiver: r, w: w, http: req, params: platform.DecodeAsk(req.Header), table: r.table.Load(), arrived: r.Clock.Now(),
	}
	if len(req.TransferEncoding) > 0 {
		// net/http silently drops a Content-Length sent along with Transfer-Encoding.
		// The bytes that follow the body may then be a smuggled request, so the
		// connection is closed.
		w.Header().Set("Connection", "close")
	}
	if q.table == nil {
		q.refuse(http.StatusServiceUnavailable, "no plan yet", retryDelay)
		return
	}
	if !q.resolve() {
		return
	}
	holder, opened := r.Budget.Open(reserver.Group{Kind: reserver.Requests, Workspace: q.workspace})
	if !opened {
		q.closeUnread()
		q.refuse(http.StatusServiceUnavailable, "too many requests of one workspace", retryDelay)
		return
	}
	q.holder = holder
	defer holder.Close()
	limit := defaultTimeout
	if q.rule.Timeout > 0 {
		limit = q.rule.Timeout
	}
	if q.params.Deadline > 0 {
		limit = min(limit, q.params.Deadline)
	}
	q.deadline = q.arrived.Add(limit)
	ctx, cancel := context.WithTimeout(req.Context(), limit.Duration())
	defer cancel()
	q.setWriteDeadline(limit)
	if !q.readBody(limit) {
		return
	}
	if wait := q.refusedFor(); wait > 0 {
		q.refuse(http.StatusServiceUnavailable, reasonCrashes, wait)
		return
	}
	if v := r.RateLimiter.Admit(q.workspace, q.startsProgram()); !v.Admitted {
		q.Log.Info("rate used up", zap.Int("event", eventRate), q.idField(), zap.String("workspace", string(q.workspace)),
			zap.Float64("tokens", v.Tokens), zap.Float64("need", v.Required), zap.Float64("rate", float64(v.Rate)),
			zap.Float64("part", float64(v.ReachableShare)), zap.Int64("wait_ms", int64(v.RetryAfter)))
		q.refuse(http.StatusTooManyRequests, "rate used up", v.RetryAfter)
		return
	}
	switch {
	case q.isTurn():
		q.serveTurn(ctx)
	case q.rule.Streaming:
		q.stream = &stream{finish: func() bool { return true }}
		q.serve(ctx)
	default:
		q.serve(ctx)
	}
}

// isTurn reports whether the request is a turn of a program, which is accounted
// for whether or not the rule retains turns.
func (q *request) isTurn() bool {
	return q.rule.RetainTurns || (q.rule.Streaming && (q.params.Budgeted || q.params.Program != ""))
}

// resolve finds the request's rule, workspace and pool. It answers the request and
// returns false if one of them is missing.
func (q *request) resolve() bool {
	q.rule = q.table.Rule(q.http.Host, q.http.URL.Path)
	if q.rule == nil {
		q.refuse(http.StatusNotFound, "no rule", 0)
		return false
	}
	q.tier = q.rule.Tier
	if !q.rule.Public && len(q.table.FleetConfig.Workspaces) > 0 {
		w := q.table.Workspace(q.params.Key)
		if w == nil {
			q.refuse(http.StatusUnauthorized, "unknown key", 0)
			return false
		}
		q.workspace = w.ID
		q.tier += w.Tier * workspaceTierStep
	}
	hash := xxhash.Sum64String(string(q.params.Program) + string(q.params.Request))
	if q.isTurn() {
		hash = xxhash.Sum64String(string(q.params.Program))
		q.program = archiver.ProgramKey(q.workspace, q.params.Program)
		if q.params.Program == "" {
			q.program = archiver.ProgramKey(q.workspace, sd.ProgramID("request:"+string(q.params.Request)))
		}
	}
	q.pool = SelectPool(q.rule, hash)
	return true
}

// workspaceTierStep makes a workspace's tier take precedence over any rule's.
const workspaceTierStep = 1000

// controller returns the response controller of the caller's connection.
func (q *request) controller() *http.ResponseController { return http.NewResponseController(q.w) }

// setWriteDeadline limits how long the caller may take to read the response, so that
// a caller that stalls without closing the connection does not hold resources.
func (q *request) setWriteDeadline(timeout sd.Millis) {
	q.logDeadlineError("write", q.controller().SetWriteDeadline(time.Now().Add((timeout + writeGrace).Duration())))
}

// logDeadlineError logs err, if any, from setting a deadline on the caller's
// connection.
func (q *request) logDeadlineError(what string, err error) {
	if err != nil {
		q.Log.Warn("cannot set a deadline on the caller's connection", zap.Int("event", eventDeadlineNotSet), q.idField(), zap.String("what", what), zap.Error(err))
	}
}

// readBody reads the request body within the request's timeout. On failure, it
// answers the request and returns false.
func (q *request) readBody(timeout sd.Millis) bool {
	limit := q.table.FleetConfig.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = maxResponseBytes
	}
	if q.http.ContentLength > limit {
		q.refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
		return false
	}
	if q.http.ContentLength == 0 || q.http.Body == nil {
		return true
	}
	q.logDeadlineError("read", q.controller().SetReadDeadline(time.Now().Add(timeout.Duration())))
	q.holder.SetEvict(func() { _ = q.controller().SetReadDeadline(longPast) })
	body := &buffer{holder: q.holder, asReceived: true}
	whole, err := body.readRequest(q.http, limit)
	evicted := !q.holder.SetEvict(nil)
	if whole && !evicted {
		q.logDeadlineError("read", q.controller().SetReadDeadline(time.Time{}))
		q.body, q.bodySize = body.chunks, body.size
		return true
	}
	q.closeUnread()
	body.release()
	if evicted || errorx.IsOfType(err, reserver.Exhausted) {
		q.refuse(http.StatusServiceUnavailable, "no memory for the body", retryDelay)
		return false
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		q.refuse(http.StatusRequestTimeout, "body not sent in time", 0)
		return false
	}
	if err != nil {
		// The caller closed the connection and does not read the response.
		q.refuse(http.StatusBadRequest, "body broke off", 0)
		return false
	}
	q.refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
	return false
}

// longPast is a deadline that ends what waits for it.
var longPast = time.Unix(1, 0)

// closeUnread has the caller's connection closed after the response, and nothing more read from
// it. The server would wait for the rest of a body of which little is missing.
func (q *request) closeUnread() {
	if q.http.ContentLength == 0 {
		return
	}
	q.w.Header().Set("Connection", "close")
	q.logDeadlineError("read", q.controller().SetReadDeadline(longPast))
}

// startsProgram reports whether the request starts a program. Under rules that do
// not retain turns, requests do not name a previous turn; a program counts as
// started if this host has recently served a turn of it.
func (q *request) startsProgram() bool {
	if q.rule.RetainTurns {
		return q.params.Previous == ""
	}
	return q.isTurn() && q.recent.target(q.program) == ""
}

// remaining returns the time until the request's deadline.
func (q *request) remaining() sd.Millis { return q.deadline.Since(q.Clock.Now()) }

// refuse answers the request with an error status of this host's own.
func (q *request) refuse(status int, reason string, wait sd.Millis) {
	h := q.w.Header()
	platform.MarkReply(h, q.params.Request)
	if q.retryAfter = wait; wait > 0 {
		h["Retry-After"] = []string{strconv.FormatFloat(float64(wait)/float64(sd.Second), 'f', 3, 64)}
	}
	h["Content-Type"] = []string{"text/plain; charset=utf-8"}
	q.w.WriteHeader(status)
	// The write fails only if the caller has disconnected.
	_, _ = io.WriteString(q.w, reason+"\n")
	q.recordOutcome(status, reason)
}

// fail answers a request that no target has completed. It uses 503 if the request
// has certainly not run.
func (q *request) fail(ctx context.Context, reason string, wait sd.Millis) {
	switch {
	case q.http.Context().Err() != nil:
		q.recordOutcome(0, "caller left")
		panic(http.ErrAbortHandler)
	case q.stream != nil && q.stream.headSent:
		q.abort(reason)
	case q.possibleRuns == 0 && q.isolated.Load():
		q.refuse(http.StatusServiceUnavailable, reason, isolatedRetryDelay)
	case q.possibleRuns == 0:
		q.refuse(http.StatusServiceUnavailable, reason, max(wait, retryDelay))
	case ctx.Err() != nil:
		q.refuse(http.StatusGatewayTimeout, reason, 0)
	default:
		q.refuse(http.StatusBadGateway, reason, 0)
	}
	if q.possibleRuns == 0 {
		q.RateLimiter.Return(q.workspace)
	}
}

// uri returns the request target as sent by the caller.
func (q *request) uri() string {
	if uri := q.http.RequestURI; len(uri) > 0 && uri[0] == '/' {
		return uri
	}
	return q.http.URL.RequestURI()
}

// bodyParts returns the body sent to the target: the inputs and outputs of the
// earlier turns, then the request's own body.
func (q *request) bodyParts() [][]byte {
	parts := make([][]byte, 0, 2*len(q.history)+len(q.body))
	for _, t := range q.history {
		parts = append(parts, t.Input, t.Output)
	}
	return append(parts, q.body...)
}

func (q *request) idField() zap.Field { return zap.String("request", string(q.params.Request)) }
