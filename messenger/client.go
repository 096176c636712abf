package messenger

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/reserver"
)

// Client sends messages to peers. NewClient makes one.
type Client struct {
	// Budget, if set, bounds the memory of all answers to Ask.
	Budget *reserver.Budget
	http   *http.Client
}

// NewClient returns a client with its own connections. A nil transport means
// the usual one; tests pass one that drops or delays messages.
func NewClient(transport http.RoundTripper) *Client {
	if transport == nil {
		transport = newTransport()
	}
	return &Client{http: &http.Client{Transport: transport}}
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Ask sends the named message to a peer and returns its answer.
func Ask[Q, A any](ctx context.Context, c *Client, to sd.Address, name string, request Q) (A, error) {
	var answer A
	response, err := c.send(ctx, to, name, request)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	var sealed envelope
	holder, _ := c.Budget.Open(reserver.Group{Kind: reserver.Peers})
	defer holder.Close()
	body := holder.Reader(io.LimitReader(response.Body, maxMessage), reserver.FreeMessageBytes, reserver.MessageFactor)
	if err := json.NewDecoder(body).Decode(&sealed); err != nil {
		return answer, sd.Uncertain.Wrap(err, "the answer of %s to %s was lost", to, name)
	}
	return answer, sealed.open(&answer)
}

// Follow sends the named message and calls each with every frame of the answer,
// in order. It returns nil only after the peer marked the end of the stream.
func Follow[Q, F any](ctx context.Context, c *Client, to sd.Address, name string, request Q, each func(F) error) error {
	response, err := c.send(ctx, to, name, request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return sd.Uncertain.Wrap(err, "the stream of %s ended early", to)
		}
		var sealed envelope
		if err := json.Unmarshal(line, &sealed); err != nil {
			return sd.BrokenResponse.Wrap(err, "a frame of %s does not parse", to)
		}
		if sealed.End {
			return nil
		}
		var frame F
		if err := sealed.open(&frame); err != nil {
			return err
		}
		if err := each(frame); err != nil {
			return err
		}
	}
}

// send posts a message and returns the open response.
func (c *Client) send(ctx context.Context, to sd.Address, name string, message any) (*http.Response, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, sd.BrokenResponse.Wrap(err, "encode %s", name)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(to)+pathPrefix+name, &payload{rest: body})
	if err != nil {
		return nil, sd.Unavailable.Wrap(err, "address %s", to)
	}
	// The transport knows neither the length of a payload nor how to send one a second time.
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, lost(err, to, name)
	}
	if !sd.ValidStatus(response.Status) {
		_ = response.Body.Close()
		return nil, sd.Uncertain.New("the answer of %s to %s has the status %.8q", to, name, response.Status)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, sd.Unavailable.New("%s does not answer %s: status %d", to, name, response.StatusCode)
	}
	return response, nil
}

// payload reads a message, and drops it at its end: the request that refers to it lasts until
// the answer has ended.
type payload struct{ rest []byte }

// Read implements io.Reader.
func (p *payload) Read(to []byte) (int, error) {
	if len(p.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(to, p.rest)
	if p.rest = p.rest[n:]; len(p.rest) == 0 {
		p.rest = nil
	}
	return n, nil
}

// lost types the error of a request that got no answer.
func lost(err error, to sd.Address, name string) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return sd.Unavailable.Wrap(err, "%s cannot be reached", to)
	}
	return sd.Uncertain.Wrap(err, "the answer of %s to %s was lost", to, name)
}

// newTransport returns a transport for many short messages to few peers.
func newTransport() *http.Transport {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    idleConnections,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHead,
	}
}

const (
	pathPrefix               = "/peer/"
	maxMessage               = 64 << 20
	maxHead                  = 16 << 10 // many times a peer's own
	dialTimeout              = 500 * time.Millisecond
	idleTimeout              = 90 * time.Second
	idleConnections          = 64
	contentType              = "application/json"
	maxRequest      sd.Bytes = 64 << 20
)
