package exchanger

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/reserver"
)

// Settings of an Exchanger; zero fields take the defaults.
type Settings struct {
	// Connect bounds the time to open a connection.
	Connect sd.Millis
	// Idle is how long an unused connection is kept if its target names no time.
	Idle sd.Millis
	// Kept bounds the idle connections per target.
	Kept  int
	Clock sd.Clock
	// Dialer opens the connections; nil connects to targets directly.
	Dialer sd.Dialer
	// Total bounds the idle connections to all targets; zero means any number.
	Total int
	// Budget, if set, bounds the memory of all heads of answers.
	Budget *reserver.Budget
	// Silence is how long a target may take to begin its answer before a new connection
	// checks the path to it; zero means for ever.
	Silence sd.Millis
}

const (
	// DefaultConnect is some hundred times a usual handshake, and leaves time for
	// another target within a caller's deadline.
	DefaultConnect = 400 * sd.Millisecond
	// DefaultIdle stays under the shortest usual idle timeout of a server, 5 s.
	DefaultIdle = 4 * sd.Second
	// DefaultKept covers the requests that one host has at one target at once.
	DefaultKept = 16
	// idleMargin is kept from an idle timeout that a target names.
	idleMargin = 700 * sd.Millisecond
	// inlineBody is the size up to which a body is sent before the answer is read;
	// larger ones could block on a target that answers early.
	inlineBody = 16 << 10
	// distrust is how long connections are kept for a shorter time after a target has
	// dropped one without notice.
	distrust = 20 * sd.Second
	// dropShows is how soon a dropped connection shows: a round trip and some.
	dropShows = 20 * sd.Millisecond
	// idleLeast is the shortest idle time that is blamed for a dropped connection.
	idleLeast = 500 * sd.Millisecond
	// strays bounds the answers that are skipped because they do not belong to the request.
	strays = 3
	// strayBytes bounds the body of a skipped answer; a new connection costs less than
	// to read more.
	strayBytes = 1 << 20
	// dropTime is how long Drop waits for a body: a round trip and some.
	dropTime = 20 * sd.Millisecond
	// dropBytes bounds what Drop reads: less than a new connection costs.
	dropBytes  = 16 << 10
	bufferSize = 4 << 10
	// headBytes bounds the head of an answer: what plans usually let callers send in
	// one, and many times what targets send.
	headBytes = 16 << 10
)

// Call is a request to a target.
type Call struct {
	Method, URI, Host string
	Header            http.Header
	// Body is sent as the concatenation of its parts.
	Body [][]byte
	// Belongs reports whether an answer's headers name this request.
	Belongs func(status int, header http.Header) bool
	// Anonymous, if set, reports whether an answer for which Belongs is false may still be the
	// answer to this request if nothing came before it on the connection. Bytes that a target sends
	// behind an answer may arrive after the next request was sent, so on a connection that was
	// used before they cannot be told apart from such an answer.
	Anonymous func(status int, header http.Header) bool
	// Received, if set, is called for each head that the target sends, also for those of
	// interim answers and of answers to other requests.
	Received func(status int, header http.Header)
	// Replaced, if set, reports whether the target's process is known to be another one by now.
	// It is called after the end of an answer without a frame.
	Replaced func() bool
	// Fresh asks for a new connection.
	Fresh bool
}

// Exchanger keeps connections to targets. It is safe for concurrent use.
type Exchanger struct {
	settings Settings
	// Opened is told of each new connection.
	Opened func(sd.Address)

	lock  sync.Mutex
	idle  map[sd.Address][]*connection
	ended bool
	// trust bounds the idle time until doubted; targets that drop idle connections
	// without notice shorten it.
	trust   sd.Millis
	doubted sd.Instant
	// checking is set while a path is checked, checkedAt is when that last began.
	checking  bool
	checkedAt sd.Instant
	checks    sync.WaitGroup
	// closing ends the checks under way.
	closing context.Context
	close   context.CancelFunc
}

type connection struct {
	net.Conn
	reader  *bufio.Reader
	address sd.Address
	// heading tells that a head is being read, of which headLeft bytes may still come.
	heading  bool
	headLeft int
	// head measures the head that is read. holder accounts for it until the connection is closed
	// or kept, and held is what it has taken.
	head   reserver.Head
	holder *reserver.Holder
	held   int
	// since is when the connection was last used, until when it may no longer be.
	since, until sd.Instant
	used         bool
	// answered tells that a target answered an earlier request on the connection.
	answered bool
}

// Read reads what the target sent. It fails at the end of a head that is too long.
func (c *connection) Read(p []byte) (int, error) {
	if c.heading && c.headLeft <= 0 {
		return 0, sd.BrokenResponse.New("head of an answer longer than %d bytes", headBytes)
	}
	n, err := c.Conn.Read(p)
	c.headLeft -= n
	if cost := c.measure(p[:n]); cost > 0 {
		if !c.holder.Reserve(cost) {
			return 0, sd.BrokenResponse.New("no memory for the head of an answer, after %d bytes of it", c.head.Bytes())
		}
		c.held += cost
	}
	return n, err
}

// measure returns the further memory that text takes if a head is being read.
func (c *connection) measure(text []byte) int {
	if !c.heading || c.holder == nil {
		return 0
	}
	return c.head.Add(text)
}

// Close closes the connection and frees its head.
func (c *connection) Close() error {
	c.holder.Close()
	return c.Conn.Close()
}

// readHead reads the head of the next answer. The error is BrokenResponse if its status is none.
func (c *connection) readHead(request *http.Request) (*http.Response, error) {
	c.heading, c.headLeft = true, headBytes-c.reader.Buffered()
	c.head = reserver.Head{}
	response, err := http.ReadResponse(c.reader, request)
	c.heading = false
	if err == nil && !sd.ValidStatus(response.Status) {
		return nil, sd.BrokenResponse.New("answer has the status %.8q", response.Status)
	}
	return response, err
}

// direct connects to targets over the network.
type direct struct{}

// Dial implements sd.Dialer.
func (direct) Dial(ctx context.Context, target sd.Address, timeout sd.Millis) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout.Duration(), KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp4", string(target))
}

// Usable implements sd.Dialer.
func (direct) Usable(net.Conn, sd.Address) bool { return true }

// Direct returns the Dialer that connects to targets over the network.
func Direct() sd.Dialer { return direct{} }

// New returns an Exchanger without connections.
func New(settings Settings) *Exchanger {
	if settings.Connect == 0 {
		settings.Connect = DefaultConnect
	}
	if settings.Idle == 0 {
		settings.Idle = DefaultIdle
	}
	if settings.Kept == 0 {
		settings.Kept = DefaultKept
	}
	if settings.Dialer == nil {
		settings.Dialer = direct{}
	}
	x := &Exchanger{settings: settings, idle: map[sd.Address][]*connection{}}
	x.closing, x.close = context.WithCancel(context.Background())
	return x
}

// Answer is a target's answer whose body has not been read yet.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Framed answers tell where they end; others end with their connection.
	Framed bool
	// Length is the length of the body, or -1 if the head does not tell it.
	Length int64

	exchanger *Exchanger
	conn      *connection
	response  *http.Response
	stop      func() bool
	sending   *sending
	skipped   bool
	// unframed is the Body if it ends with its connection.
	unframed *unframedBody
}

// Aftermath returns what the target did after the end of an answer without a frame.
func (a *Answer) Aftermath() Aftermath {
	if a.unframed == nil {
		return NotProbed
	}
	return a.unframed.found()
}

// Through returns the address of the host that copied the answer, or an empty one if the
// connection was direct.
func (a *Answer) Through() sd.Address {
	if conn, ok := a.conn.Conn.(sd.RelayedConn); ok {
		return conn.Through()
	}
	return ""
}

// Exchange sends a call to the target at address and reads the head of its
// answer. Cancelling ctx breaks the exchange off, also while the body is read.
// Errors are Unavailable (nothing was sent) and Uncertain.
func (x *Exchanger) Exchange(ctx context.Context, address sd.Address, call Call) (*Answer, error) {
	for {
		conn, err := x.connect(ctx, address, call.Fresh)
		if err != nil {
			return nil, sd.Unavailable.Wrap(err, "target not reached")
		}
		answer, stale, err := x.send(ctx, conn, call)
		if stale && ctx.Err() == nil {
			continue
		}
		return answer, err
	}
}

// send writes the call and reads the head. It reports stale if a reused
// connection turned out to be closed before any byte was sent.
func (x *Exchanger) send(ctx context.Context, conn *connection, call Call) (answer *Answer, stale bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	sentAt := x.settings.Clock.Now()
	fail := func(err error) (*Answer, bool, error) {
		stop()
		_ = conn.Close()
		return nil, false, sd.Uncertain.Wrap(err, "exchange failed")
	}
	size := 0
	for _, part := range call.Body {
		size += len(part)
	}
	head := encodeHead(call, size)
	body := &sending{ended: make(chan struct{})}
	if size <= inlineBody {
		for _, part := range call.Body {
			head = append(head, part...)
		}
		n, err := conn.Write(head)
		if err != nil {
			if n == 0 && ctx.Err() == nil {
				stop()
				_ = conn.Close()
				if conn.used {
					return nil, true, nil
				}
				return nil, false, sd.Unavailable.Wrap(err, "nothing was sent")
			}
			return fail(err)
		}
		close(body.ended)
	} else {
		go func() {
			defer close(body.ended)
			buffers := append(net.Buffers{head}, call.Body...)
			_, body.err = buffers.WriteTo(conn.Conn)
		}()
	}
	if x.settings.Silence > 0 {
		check := time.AfterFunc(x.settings.Silence.Duration(), func() { x.check(conn.address) })
		defer check.Stop()
	}
	request := &http.Request{Method: call.Method}
	skipped := false
	for range strays + 1 {
		response, err := conn.readHead(request)
		if err != nil {
			if conn.used && !skipped && ctx.Err() == nil && !errorx.IsOfType(err, sd.BrokenResponse) {
				x.doubt(conn, sentAt)
			}
			return fail(err)
		}
		if call.Received != nil {
			call.Received(response.StatusCode, response.Header)
		}
		if response.StatusCode < 200 {
			continue
		}
		belongs := call.Belongs(response.StatusCode, response.Header)
		if !belongs && !conn.answered && !skipped && call.Anonymous != nil {
			belongs = call.Anonymous(response.StatusCode, response.Header)
		}
		if !belongs {
			skipped = true
			framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
			n, err := io.Copy(io.Discard, io.LimitReader(response.Body, strayBytes+1))
			if err != nil || !framed || n > strayBytes {
				return fail(sd.BrokenResponse.New("answer belongs to another request"))
			}
			continue
		}
		length := response.ContentLength
		if call.Method == http.MethodHead {
			length = 0
		}
		answer := &Answer{
			Status: response.StatusCode, Header: response.Header, Body: response.Body, Length: length,
			Framed:    response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
			exchanger: x, conn: conn, response: response, stop: stop, sending: body, skipped: skipped,
		}
		if !answer.Framed && response.Body != http.NoBody {
			answer.unframed = x.readUnframed(ctx, call, response.Body, conn, body)
			answer.Body = answer.unframed
		}
		return answer, false, nil
	}
	return fail(sd.BrokenResponse.New("no answer belongs to the request"))
}

// Close ends the exchange. Whole tells that the body was read to its end; only
// then may the connection be kept.
func (a *Answer) Close(whole bool) {
	cancelled := !a.stop()
	if !whole || cancelled || !a.sending.succeeded() || !a.Framed || a.skipped || a.response.Close || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		if a.unframed != nil {
			a.unframed.close()
		}
		return
	}
	a.conn.answered = true
	a.exchanger.keep(a.conn, a.Header.Get("Keep-Alive"))
}

// Drop ends the exchange without the body. The connection is kept only if the rest
// of the answer is short and comes at once.
func (a *Answer) Drop() {
	if !a.Framed {
		a.Close(false)
		return
	}
	n := int64(0)
	err := a.conn.SetReadDeadline(time.Now().Add(dropTime.Duration()))
	if err == nil && a.Length <= dropBytes {
		n, err = io.Copy(io.Discard, io.LimitReader(a.Body, dropBytes+1))
	}
	if err == nil {
		err = a.conn.SetReadDeadline(time.Time{})
	}
	a.Close(err == nil && a.Length <= dropBytes && n <= dropBytes)
}

// Close drops all idle connections; later exchanges keep none.
func (x *Exchanger) Close() {
	x.lock.Lock()
	x.ended = true
	for _, list := range x.idle {
		for _, conn := range list {
			_ = conn.Close()
		}
	}
	x.idle = nil
	x.lock.Unlock()
	x.close()
	x.checks.Wait()
}

// Sweep drops the idle connections that have been so for too long, or that the Dialer no longer
// counts as usable.
func (x *Exchanger) Sweep() {
	now := x.settings.Clock.Now()
	x.lock.Lock()
	defer x.lock.Unlock()
	for address, list := range x.idle {
		list = slices.DeleteFunc(list, func(conn *connection) bool {
			usable := now < conn.until && x.settings.Dialer.Usable(conn.Conn, address)
			if !usable {
				_ = conn.Close()
			}
			return !usable
		})
		if x.idle[address] = list; len(list) == 0 {
			delete(x.idle, address)
		}
	}
}

// Forget drops the idle connections to a target that is gone.
func (x *Exchanger) Forget(address sd.Address) {
	x.lock.Lock()
	list := x.idle[address]
	delete(x.idle, address)
	x.lock.Unlock()
	for _, conn := range list {
		_ = conn.Close()
	}
}

// Idle returns the number of idle connections.
func (x *Exchanger) Idle() int {
	x.lock.Lock()
	defer x.lock.Unlock()
	count := 0
	for _, list := range x.idle {
		count += len(list)
	}
	return count
}

// HasIdle reports whether a kept connection to the target is at hand.
func (x *Exchanger) HasIdle(address sd.Address) bool {
	x.lock.Lock()
	defer x.lock.Unlock()
	return len(x.idle[address]) > 0
}

// doubt notes that a kept connection had been dropped without notice: others are
// kept for half the time after which this one was gone.
//
// A target that resets a connection long after the request came, or one that was
// hardly idle, failed for another reason.
func (x *Exchanger) doubt(conn *connection, sent sd.Instant) {
	now := x.settings.Clock.Now()
	if now.Since(sent) > dropShows || sent.Since(conn.since) < idleLeast {
		return
	}
	x.lock.Lock()
	defer x.lock.Unlock()
	half := max(sent.Since(conn.since)/2, idleLeast)
	if now < x.doubted {
		half = min(half, x.trust)
	}
	x.trust, x.doubted = half, now.Add(distrust)
	for _, list := range x.idle {
		for _, other := range list {
			other.until = min(other.until, other.since.Add(half))
		}
	}
}

func (x *Exchanger) keep(conn *connection, keepAlive string) {
	idle := x.settings.Idle
	// A time that the target names goes before the default.
	for part := range strings.SplitSeq(keepAlive, ",") {
		if text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout="); found {
			if seconds, err := strconv.Atoi(text); err == nil {
				idle = sd.Millis(seconds)*sd.Second - idleMargin
			}
		}
	}
	if idle <= 0 {
		_ = conn.Close()
		return
	}
	conn.holder.Return(conn.held)
	conn.held = 0
	conn.used = true
	conn.since = x.settings.Clock.Now()
	x.lock.Lock()
	if conn.since < x.doubted {
		idle = min(idle, x.trust)
	}
	conn.until = conn.since.Add(idle)
	list := x.idle[conn.address]
	if x.ended || len(list) >= x.settings.Kept || !x.roomForIdle() {
		x.lock.Unlock()
		_ = conn.Close()
		return
	}
	x.idle[conn.address] = append(list, conn)
	x.lock.Unlock()
}

// roomForIdle reports whether another idle connection may be kept. The lock is held.
func (x *Exchanger) roomForIdle() bool {
	if x.settings.Total <= 0 {
		return true
	}
	count := 0
	for _, list := range x.idle {
		count += len(list)
	}
	return count < x.settings.Total
}

// connect returns the most recently used idle connection that is still clean, or
// a new one.
func (x *Exchanger) connect(ctx context.Context, address sd.Address, fresh bool) (*connection, error) {
	for !fresh {
		conn := x.take(address)
		if conn == nil {
			break
		}
		if x.settings.Clock.Now() < conn.until && x.settings.Dialer.Usable(conn.Conn, address) && quiet(conn.Conn) {
			return conn, nil
		}
		_ = conn.Close()
	}
	return x.dial(ctx, address, x.settings.Connect)
}

// dial opens a connection.
func (x *Exchanger) dial(ctx context.Context, address sd.Address, timeout sd.Millis) (*connection, error) {
	raw, err := x.settings.Dialer.Dial(ctx, address, timeout)
	if err != nil {
		return nil, err
	}
	if x.Opened != nil {
		x.Opened(address)
	}
	conn := &connection{Conn: raw, address: address}
	conn.holder, _ = x.settings.Budget.Open(reserver.Group{Kind: reserver.Targets})
	conn.reader = bufio.NewReaderSize(conn, bufferSize)
	return conn, nil
}

func (x *Exchanger) take(address sd.Address) *connection {
	x.lock.Lock()
	defer x.lock.Unlock()
	list := x.idle[address]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1]
	x.idle[address] = list[:len(list)-1]
	return conn
}

// quiet reports whether an idle connection is open and has nothing to read.
func quiet(conn net.Conn) bool {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		clean = err == syscall.EAGAIN
		return true
	})
	return err == nil && clean
}

// encodeHead returns the request line and headers. Header values come from a
// parsed request and hold no line breaks.
func encodeHead(call Call, size int) []byte {
	head := make([]byte, 0, 1024+min(size, inlineBody))
	head = append(head, call.Method...)
	head = append(head, ' ')
	head = append(head, call.URI...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, call.Host...)
	head = append(head, "\r\n"...)
	for name, values := range call.Header {
		for _, value := range values {
			head = append(head, name...)
			head = append(head, ": "...)
			head = append(head, value...)
			head = append(head, "\r\n"...)
		}
	}
	if size > 0 || (call.Method != http.MethodGet && call.Method != http.MethodHead) {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(size), 10)
		head = append(head, "\r\n"...)
	}
	return append(head, "\r\n"...)
}
