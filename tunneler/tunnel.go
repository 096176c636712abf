package tunneler

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"

	sd "sapphiredrum.example/sapphiredrum"
)

const (
	// path is where hosts ask one another for tunnels.
	path = "/peer/tunnel"
	// protocol is what the connection is switched to.
	protocol = "tunnel"
	// headerError names why a tunnel was not opened.
	headerError = "Tunnel-Error"
	// errorRefused is the error of a target that refuses connections.
	errorRefused = "refused"
	// connectTimeout limits the time in which another host connects to the target.
	connectTimeout = 250 * sd.Millisecond
	// maxTunnels limits the tunnels that a host keeps for others: two connections and two
	// buffers each, a twentieth of the memory of the smallest host.
	maxTunnels = 256
	// copyBytes is the size of a buffer; events of a stream are shorter.
	copyBytes = 8 << 10
	// headBytes limits the head of the answer of a host.
	headBytes = 4 << 10
)

// tunnel is a connection to a target that another host copies.
type tunnel struct {
	*net.TCPConn
	through sd.Address
}

// openThrough opens a tunnel through one host. The error is syscall.ECONNREFUSED if the
// target refuses that host's connection.
func openThrough(ctx context.Context, through, target sd.Address) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp4", string(through))
	if err != nil {
		return nil, sd.Unavailable.New("host %s is not reached: %v", through, err)
	}
	conn := raw.(*net.TCPConn)
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	err = switchProtocol(conn, target)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &tunnel{TCPConn: conn, through: through}, nil
}

// switchProtocol asks the host at the other end of conn for a tunnel.
func switchProtocol(conn *net.TCPConn, target sd.Address) error {
	request := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: path, RawQuery: url.Values{"to": {string(target)}}.Encode()}, Host: "peer",
		Header: http.Header{"Connection": {"Upgrade"}, "Upgrade": {protocol}},
	}
	if err := request.Write(conn); err != nil {
		return sd.Unavailable.Wrap(err, "host takes no request for a tunnel")
	}
	reader := bufio.NewReader(io.LimitReader(conn, headBytes))
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return sd.Unavailable.Wrap(err, "host does not answer a request for a tunnel")
	}
	switch {
	case response.StatusCode == http.StatusSwitchingProtocols && reader.Buffered() == 0:
		return nil
	case response.Header.Get(headerError) == errorRefused:
		return syscall.ECONNREFUSED
	}
	return sd.Unavailable.New("host opens no tunnel: status %d", response.StatusCode)
}

// server holds the tunnels that this host keeps for others.
type server struct {
	lock    sync.Mutex
	open    map[net.Conn]net.Conn
	closing bool
	running sync.WaitGroup
}

// RegisterHandlers registers the handler for other hosts' requests.
func (t *Tunneler) RegisterHandlers(router *echo.Echo) { router.GET(path, t.handle) }

// handle connects to the target named in the request and copies bytes until one end
// closes its connection.
func (t *Tunneler) handle(c echo.Context) error {
	target := sd.Address(c.QueryParam("to"))
	if !t.registered(target) {
		return c.NoContent(http.StatusNotFound)
	}
	if !t.server.begin() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	defer t.server.running.Done()
	conn, err := t.Direct.Dial(c.Request().Context(), target, connectTimeout)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			c.Response().Header().Set(headerError, errorRefused)
		}
		// The host that asks takes this one for attached.
		t.check(target)
		return c.NoContent(http.StatusBadGateway)
	}
	t.reach(target)
	caller, _, err := c.Response().Hijack()
	if err != nil {
		_ = conn.Close()
		return sd.Unavailable.Wrap(err, "connection of the other host not taken over")
	}
	t.server.add(caller, conn)
	defer t.server.remove(caller)
	if err := caller.SetDeadline(time.Time{}); err == nil {
		_, err = io.WriteString(caller, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n")
		if err == nil {
			join(caller, conn)
		}
	}
	_, _ = caller.Close(), conn.Close()
	return nil
}

// registered reports whether the address is that of a registered target.
func (t *Tunneler) registered(target sd.Address) bool {
	for _, known := range t.Targets() {
		if known == target {
			return true
		}
	}
	return false
}

// join copies bytes between a host and a target until both directions have ended. How one
// connection ends is passed on to the other: a close in order, or a reset. A host
// closes its connection only to cancel, so the target's is closed at once.
func join(host, target net.Conn) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.CopyBuffer(writer{target}, reader{host}, make([]byte, copyBytes))
		_ = target.Close()
	}()
	_, err := io.CopyBuffer(writer{host}, reader{target}, make([]byte, copyBytes))
	if err != nil {
		if conn, ok := host.(*net.TCPConn); ok {
			_ = conn.SetLinger(0)
		}
	}
	_ = host.Close()
	<-ended
}

// reader and writer hide the connections' own copying, which takes a pipe for each.
type (
	reader struct{ io.Reader }
	writer struct{ io.Writer }
)

// begin reports whether another tunnel may be opened; its end must be reported to running.
func (s *server) begin() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.closing || len(s.open) >= maxTunnels {
		return false
	}
	s.running.Add(1)
	return true
}

func (s *server) add(host, target net.Conn) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.open == nil {
		s.open = map[net.Conn]net.Conn{}
	}
	s.open[host] = target
}

func (s *server) remove(host net.Conn) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.open, host)
}

// Serving returns the number of tunnels that this host keeps for others.
func (t *Tunneler) Serving() int {
	t.server.lock.Lock()
	defer t.server.lock.Unlock()
	return len(t.server.open)
}

// Drain opens no more tunnels for other hosts and waits until those that are open have
// ended, or ctx ends.
func (t *Tunneler) Drain(ctx context.Context) error {
	t.server.lock.Lock()
	t.server.closing = true
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

// Close ends all tunnels that this host keeps for others, and waits for them.
func (t *Tunneler) Close() {
	t.server.lock.Lock()
	t.server.closing = true
	for host, target := range t.server.open {
		_, _ = host.Close(), target.Close()
	}
	t.server.lock.Unlock()
	t.server.running.Wait()
	t.close()
	t.running.Wait()
}
