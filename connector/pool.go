package connector

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"sapphiredrum.example/sapphiredrum"
)

// Options are the bounds of a pool's connections; zero values get defaults.
type Options struct {
	// Dial bounds the opening of a connection.
	Dial sapphiredrum.Millis
	// Header bounds the wait for the beginning of an answer; zero is no bound.
	Header sapphiredrum.Millis
	// Idle is how long an unused connection is kept.
	Idle sapphiredrum.Millis
	// Spare is the number of unused connections kept to each address.
	Spare int
}

// Defaults of Options.
const (
	defaultDial  = sapphiredrum.Second
	defaultIdle  = 30 * sapphiredrum.Second
	defaultSpare = 64
)

// Pool sends requests over kept-alive connections. It is safe for concurrent
// use. Use NewPool.
type Pool struct {
	transport *http.Transport
}

// NewPool returns a pool.
func NewPool(options Options) *Pool {
	if options.Dial <= 0 {
		options.Dial = defaultDial
	}
	if options.Idle <= 0 {
		options.Idle = defaultIdle
	}
	if options.Spare <= 0 {
		options.Spare = defaultSpare
	}
	dialer := &net.Dialer{Timeout: options.Dial.Duration()}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &sealable{Conn: conn}, nil
		},
		MaxIdleConns:          0,
		MaxIdleConnsPerHost:   options.Spare,
		IdleConnTimeout:       options.Idle.Duration(),
		ResponseHeaderTimeout: options.Header.Duration(),
		DisableCompression:    true,
	}
	return &Pool{transport: transport}
}

// Close ends the connections that no request uses.
func (p *Pool) Close() {
	p.transport.CloseIdleConnections()
}

// order is a request to be sent at most once.
type order struct {
	method  string
	address sapphiredrum.Address
	target  string
	header  http.Header
	body    []byte
}

// send sends an order once. It returns an Unavailable error when no byte of it
// was handed to a connection and an Uncertain error when some may have been. The
// context bounds the whole exchange, the answer's body too.
func (p *Pool) send(ctx context.Context, o order) (*http.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	attempt := &attempt{cancel: cancel}
	request, err := o.request(httptrace.WithClientTrace(ctx, attempt.trace()))
	if err != nil {
		cancel()
		return nil, sapphiredrum.Unavailable.Wrap(err, "the request cannot be formed")
	}
	response, err := p.transport.RoundTrip(request)
	if err != nil {
		cancel()
		if attempt.sent() {
			return nil, sapphiredrum.Uncertain.Wrap(err, "%s %s: the answer was lost", o.method, o.address)
		}
		return nil, sapphiredrum.Unavailable.Wrap(err, "%s %s: nothing was sent", o.method, o.address)
	}
	if !sapphiredrum.ValidStatus(response.Status) {
		cancel()
		_ = response.Body.Close()
		return nil, sapphiredrum.Uncertain.New("%s %s: the answer has the status %.8q", o.method, o.address, response.Status)
	}
	response.Body = &ending{ReadCloser: response.Body, cancel: cancel}
	return response, nil
}

// request forms an order's request with a body that cannot be rewound.
func (o order) request(ctx context.Context) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, o.method, "http://"+string(o.address)+o.target, nil)
	if err != nil {
		return nil, err
	}
	for name, values := range o.header {
		request.Header[name] = values
	}
	request.Body = io.NopCloser(bytes.NewReader(o.body))
	request.ContentLength = int64(len(o.body))
	// A body that a faulty server sends after HEAD must not be read as the answer
	// to another request.
	request.Close = o.method == http.MethodHead
	return request, nil
}

// attempt watches the one connection that a request may use.
type attempt struct {
	cancel context.CancelFunc
	mutex  sync.Mutex
	asked  int
	conn   *sealable
	before uint64
}

// trace returns the hooks that watch the request.
func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GetConn: a.ask, GotConn: a.got}
}

// ask ends a request that wants a second connection.
func (a *attempt) ask(string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.asked++
	if a.asked > 1 {
		a.cancel()
	}
}

// got notes the connection and what it carried before.
func (a *attempt) got(info httptrace.GotConnInfo) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if conn, ok := info.Conn.(*sealable); ok && a.conn == nil {
		a.conn, a.before = conn, conn.total()
	}
}

// sent closes the request's connection for writing and reports whether a byte
// of the request was handed to it.
func (a *attempt) sent() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.conn == nil {
		return false
	}
	return a.conn.seal() > a.before
}

// ending is an answer's body that ends its request when it is closed.
type ending struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and ends the request.
func (e *ending) Close() error {
	err := e.ReadCloser.Close()
	e.cancel()
	return err
}
