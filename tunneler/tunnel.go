package tunneler

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/gossiper"
	"sapphiredrum.example/sapphiredrum/reserver"
)

const (
	// path is where hosts ask one another for tunnels.
	path = "/peer/tunnel"
	// protocol is what the connection is switched to.
	protocol = "tunnel"
	// headerError names why a tunnel was not opened.
	headerError = "Tunnel-Error"
	// errorRefused is the error of a target that refuses connections, errorAlone that of one
	// beside which there is no other, so that the host that was refused may be partitioned.
	errorRefused, errorAlone = "refused", "alone"
	// connectTimeout limits the time in which another host connects to the target.
	connectTimeout = 250 * sd.Millisecond
	// maxTunnels limits the tunnels that a host keeps for others: two connections and two
	// buffers each, a twentieth of the memory of the smallest host.
	maxTunnels = 256
	// copyBytes is the size of a buffer; events of a stream are shorter.
	copyBytes = 8 << 10
	// copyTimeout is how long one end may take to accept a buffer; callers wait for less.
	copyTimeout = 10 * sd.Second
	// headBytes limits the head of the answer of a host.
	headBytes = 4 << 10
)

// refusedAlone is the type of errors for a host that the only target refuses.
var refusedAlone = sd.Errors.NewSubNamespace("tunneler").NewType("refused_alone")

// tunnel is a connection to a target that another host copies.
type tunnel struct {
	*net.TCPConn
	through     sd.Address
	incarnation sd.Incarnation
	// early is what the target sent before the switch of protocols was read.
	early []byte
	clock sd.Clock
	// readAt is the instant of the last read, or of the opening.
	readAt atomic.Int64
}

// Through implements sd.RelayedConn.
func (t *tunnel) Through() sd.Address { return t.through }

// idle returns the time since the target last sent something.
func (t *tunnel) idle() sd.Millis { return t.clock.Now().Since(sd.Instant(t.readAt.Load())) }

// Read implements net.Conn.
func (t *tunnel) Read(p []byte) (int, error) {
	defer func() { t.readAt.Store(int64(t.clock.Now())) }()
	if len(t.early) > 0 {
		n := copy(p, t.early)
		t.early = t.early[n:]
		return n, nil
	}
	return t.TCPConn.Read(p)
}

// openThrough opens a tunnel through one host. The error is syscall.ECONNREFUSED if the
// target refuses that host's connection and that host reaches other targets.
func openThrough(ctx context.Context, clock sd.Clock, through gossiper.Peer, target sd.Address) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp4", string(through.Address))
	if err != nil {
		return nil, sd.Unavailable.New("host %s is not reached: %v", through.Host, err)
	}
	conn := raw.(*net.TCPConn)
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	early, err := switchProtocol(conn, target)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	t := &tunnel{TCPConn: conn, through: through.Address, incarnation: through.Incarnation, early: early, clock: clock}
	t.readAt.Store(int64(clock.Now()))
	return t, nil
}

// switchProtocol asks the host at the other end of conn for a tunnel. It returns what the
// target has sent already.
func switchProtocol(conn *net.TCPConn, target sd.Address) ([]byte, error) {
	request := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: path, RawQuery: url.Values{"to": {string(target)}}.Encode()}, Host: "peer",
		Header: http.Header{"Connection": {"Upgrade"}, "Upgrade": {protocol}},
	}
	if err := request.Write(conn); err != nil {
		return nil, sd.Unavailable.Wrap(err, "host takes no request for a tunnel")
	}
	reader := bufio.NewReader(io.LimitReader(conn, headBytes))
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, sd.Unavailable.Wrap(err, "host does not answer a request for a tunnel")
	}
	switch {
	case response.StatusCode == http.StatusSwitchingProtocols:
		early := make([]byte, reader.Buffered())
		_, err := io.ReadFull(reader, early)
		return early, err
	case response.Header.Get(headerError) == errorRefused:
		return nil, syscall.ECONNREFUSED
	case response.Header.Get(headerError) == errorAlone:
		return nil, refusedAlone.New("connection refused by the only target")
	}
	return nil, sd.Unavailable.New("host opens no tunnel: status %d", response.StatusCode)
}

// server holds the tunnels that this host carries for others.
type server struct {
	lock sync.Mutex
	// count includes the tunnels that are being opened.
	count int
	open  map[net.Conn]net.Conn
	// draining refuses further tunnels, ended closes also those that are being opened.
	draining, ended bool
	running         sync.WaitGroup
}

// RegisterHandlers registers the handler for other hosts' requests.
func (t *Tunneler) RegisterHandlers(router *echo.Echo) { router.GET(path, t.handle) }

// handle connects to the target named in the request and copies bytes until one end
// closes its connection.
func (t *Tunneler) handle(c echo.Context) error {
	target := sd.Address(c.QueryParam("to"))
	if !slices.Contains(t.Targets(), target) {
		return c.NoContent(http.StatusNotFound)
	}
	if !t.server.begin() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	defer t.server.done()
	holder, _ := t.Budget.Open(reserver.Group{Kind: reserver.Peers})
	defer holder.Close()
	if !holder.Reserve(2 * copyBytes) {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	ctx := c.Request().Context()
	conn, err := t.Direct.Dial(ctx, target, connectTimeout)
	if err != nil {
		word := ""
		if errors.Is(err, syscall.ECONNREFUSED) {
			word = t.judge(ctx, target)
			c.Response().Header().Set(headerError, word)
		}
		if word == "" {
			// The host that asks takes this one for attached.
			t.survey()
		}
		return c.NoContent(http.StatusBadGateway)
	}
	t.reach(target)
	host, _, err := c.Response().Hijack()
	if err != nil {
		_ = conn.Close()
		return sd.Unavailable.Wrap(err, "connection of the other host not taken over")
	}
	if t.server.add(host, conn) {
		err = host.SetDeadline(time.Time{})
		if err == nil {
			// If this process ends, so does the tunnel, and not as if the target had closed it.
			err = linger(host, 0)
		}
		if err == nil {
			_, err = io.WriteString(host, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n")
		}
		if err == nil {
			join(host, conn)
		} else {
			t.Log.Info("tunnel not opened", zap.Int("event", eventTunnel), zap.String("target", string(target)), zap.Error(err))
		}
	}
	_, _ = host.Close(), conn.Close()
	t.server.remove(host)
	return nil
}

// join copies bytes between a host and a target until either direction has ended. How the
// target's connection ends is passed on: a close in order, or a reset. A host closes
// its connection only to cancel, so the target's is closed at once.
func join(host, target net.Conn) {
	ended := make(chan struct{})
	toTarget := &writer{Conn: target}
	go func() {
		defer close(ended)
		_, _ = io.CopyBuffer(toTarget, reader{host}, make([]byte, copyBytes))
		_ = target.Close()
	}()
	_, err := io.CopyBuffer(&writer{Conn: host}, reader{target}, make([]byte, copyBytes))
	_ = target.Close()
	// What is left of the request is not sent.
	stopped := host.SetReadDeadline(time.Now())
	<-ended
	if err == nil && stopped == nil && !toTarget.broken() {
		// The host's connection is reset if this fails.
		_ = linger(host, -1)
	}
	_ = host.Close()
}

// linger sets whether closing a connection resets it (0) or ends it in order (-1).
func linger(conn net.Conn, seconds int) error {
	if tcp, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return sd.Unavailable.New("connection of type %T cannot be reset", conn)
}

// reader hides the connection's own copying, which takes a pipe for each.
type reader struct{ io.Reader }

// writer limits the time in which the other end accepts the bytes. It hides the connection's
// own copying as well.
type writer struct {
	net.Conn
	failure error
}

// Write implements io.Writer.
func (w *writer) Write(p []byte) (int, error) {
	w.failure = w.SetWriteDeadline(time.Now().Add(copyTimeout.Duration()))
	if w.failure != nil {
		return 0, w.failure
	}
	n, err := w.Conn.Write(p)
	w.failure = err
	return n, err
}

// broken reports whether the connection broke while bytes were written to it. It reports that
// once, to its reader or its writer; after that, the reader sees an end in order.
func (w *writer) broken() bool {
	return w.failure != nil && !errors.Is(w.failure, net.ErrClosed) && !errors.Is(w.failure, syscall.EPIPE)
}

// begin reports whether another tunnel may be opened; done must be called at its end.
func (s *server) begin() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.draining || s.count >= maxTunnels {
		return false
	}
	s.count++
	s.running.Add(1)
	return true
}

func (s *server) done() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.count--
	s.running.Done()
}

// add records the connections of a tunnel, unless all are to end. The tunnel must be
// removed at its end.
func (s *server) add(host, target net.Conn) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.ended {
		return false
	}
	if s.open == nil {
		s.open = map[net.Conn]net.Conn{}
	}
	s.open[host] = target
	return true
}

func (s *server) remove(host net.Conn) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.open, host)
}

// end closes all tunnels and waits for them.
func (s *server) end() {
	s.lock.Lock()
	s.draining, s.ended = true, true
	for host, target := range s.open {
		_, _ = host.Close(), target.Close()
	}
	s.lock.Unlock()
	s.running.Wait()
}

// Serving returns the number of tunnels that this host carries for others.
func (t *Tunneler) Serving() int {
	t.server.lock.Lock()
	defer t.server.lock.Unlock()
	return t.server.count
}

// Drain opens no more tunnels for other hosts and waits until those that are open have
// ended, or ctx ends.
func (t *Tunneler) Drain(ctx context.Context) error {
	t.server.lock.Lock()
	t.server.draining = true
	t.server.lock.Unlock()
	done := make(chan struct{})
	go func() {
		t.server.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
