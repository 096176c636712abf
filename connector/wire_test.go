package connector_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/connector"
	"sapphiredrum.example/sapphiredrum/faker"
)

// contains reports whether text contains part.
func contains(text, part string) bool {
	return strings.Contains(text, part)
}

// behaviour is what a crude server does with one request.
type behaviour struct {
	// close drops the connection at once, before reading.
	close bool
	// answer is sent after the request was read, up to cut bytes unless negative;
	// then the connection is kept only if keep is set.
	answer string
	cut    int
	keep   bool
}

// crude is a server that speaks just enough HTTP to fail at any byte.
type crude struct {
	listener net.Listener
	mutex    sync.Mutex
	next     behaviour
	seen     map[string]int
	all      sync.WaitGroup
}

func newCrude(t interface{ Fatal(...any) }) *crude {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &crude{listener: listener, seen: map[string]int{}}
	c.all.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			c.all.Go(func() { c.serve(conn) })
		}
	})
	return c
}

func (c *crude) address() sapphiredrum.Address {
	return sapphiredrum.Address(c.listener.Addr().String())
}

// plan sets what to do with the next requests.
func (c *crude) plan(next behaviour) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.next = next
}

// planned returns what to do with the next request.
func (c *crude) planned() behaviour {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.next
}

func (c *crude) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		if c.planned().close {
			return
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		c.mutex.Lock()
		c.seen[request.Header.Get("Sapphiredrum-Stream")]++
		b := c.next
		c.mutex.Unlock()
		if b.cut >= 0 && b.cut < len(b.answer) {
			_, _ = conn.Write([]byte(b.answer[:b.cut]))
			return
		}
		_, _ = conn.Write([]byte(b.answer))
		if !b.keep {
			return
		}
	}
}

const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsteel"

// Whatever a server does to a connection: the client never sends a request
// twice, an Unavailable error is returned only for a request that the server
// never saw or declined in the typed form, and an answer is whole.
func TestServiceWire(t *testing.T) {
	answers := []string{
		wholeAnswer,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nste\r\n2\r\nel\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nsteel",
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 5\r\n\r\nsteel",
		"HTTP/1.1 307 Temporary Redirect\r\nLocation: /again\r\nContent-Length: 5\r\n\r\nsteel",
		"HTTP/1.1 100 Continue\r\n\r\n" + wholeAnswer,
		"garbage\r\n\r\n",
	}
	methods := []string{"GET", "HEAD", "OPTIONS", "TRACE", "DELETE", "PUT", "POST"}
	rapid.Check(t, func(t *rapid.T) {
		server := newCrude(t)
		pool := connector.NewPool(connector.Options{})
		client := &connector.Service{Pool: pool, Address: server.address()}
		number := 0
		t.Repeat(map[string]func(*rapid.T){"call": func(t *rapid.T) {
			number++
			method := rapid.SampledFrom(methods).Draw(t, "method")
			next := behaviour{
				close:  rapid.IntRange(0, 5).Draw(t, "close") == 0,
				answer: rapid.SampledFrom(answers).Draw(t, "answer"),
				cut:    -1,
				keep:   rapid.Bool().Draw(t, "keep"),
			}
			if rapid.Bool().Draw(t, "cuts") {
				next.cut = rapid.IntRange(0, len(next.answer)).Draw(t, "cut")
			}
			server.plan(next)
			stream := fmt.Sprint(number)
			call := sapphiredrum.ServiceCall{Stream: sapphiredrum.StreamID(stream), Method: method, Path: "/x"}
			if rapid.Bool().Draw(t, "body") {
				call.Body = []byte("body")
			}
			if rapid.Bool().Draw(t, "key") {
				call.Headers = append(call.Headers, sapphiredrum.Header{Name: "Idempotency-Key", Value: "k"})
			}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			answer, err := client.Call(ctx, call)
			server.mutex.Lock()
			seen := server.seen[stream]
			server.mutex.Unlock()
			switch {
			case seen > 1:
				t.Fatalf("%s was sent %d times", method, seen)
			case errorx.IsOfType(err, sapphiredrum.Unavailable) && seen > 0:
				t.Fatalf("%s was sent in spite of %v", method, err)
			case err == nil && method != "HEAD" && string(answer.Body) != "steel":
				t.Fatalf("%s was answered with %q", method, answer.Body)
			}
		}})
		pool.Close()
		server.listener.Close()
		server.all.Wait()
	})
}

// An engine's answer that is cut at any byte is a prefix of the whole one and
// ends as BrokenResponse unless the end mark arrived.
func TestAnswerCutAnywhere(t *testing.T) {
	state := faker.NewEngine(sapphiredrum.NewClock(), faker.EngineSettings{Words: 6})
	address := serve(t, faker.EngineHandler(state))
	messages := []sapphiredrum.Message{{Role: "user", Content: "hello"}}
	call := sapphiredrum.EngineCall{Stream: "s", Messages: messages}
	pool := newPool(t)
	answer, err := (&connector.Engine{Pool: pool, Address: address}).Start(context.Background(), call)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := readAll(answer); !errorx.IsOfType(err, sapphiredrum.EndOfStream) {
		t.Fatal(err)
	}
	chunked := record(t, address, "HTTP/1.1")
	unmarked := record(t, address, "HTTP/1.0")
	server := newCrude(t)
	client := &connector.Engine{Pool: pool, Address: server.address()}
	for _, recorded := range []string{chunked, unmarked} {
		const end = "data: [DONE]\n\n"
		mark := strings.Index(recorded, end) + len(end)
		for cut := range len(recorded) + 1 {
			server.plan(behaviour{answer: recorded, cut: cut})
			answer, err := client.Start(context.Background(), call)
			if err != nil {
				expect(t, err, sapphiredrum.Uncertain)
				continue
			}
			text, err := readAll(answer)
			if !strings.HasPrefix(faker.Text(messages, 6), text) {
				t.Fatalf("cut at %d reads %q", cut, text)
			}
			if errorx.IsOfType(err, sapphiredrum.EndOfStream) != (cut >= mark) || cut >= mark && text != faker.Text(messages, 6) {
				t.Fatalf("cut at %d of %d ends with %v", cut, len(recorded), err)
			}
		}
	}
	server.plan(behaviour{answer: chunked, cut: -1})
	crossed, err := client.Start(context.Background(), sapphiredrum.EngineCall{Stream: "other"})
	if err != nil {
		t.Fatal(err)
	}
	text, err := readAll(crossed)
	if !errorx.IsOfType(err, sapphiredrum.BrokenResponse) || text != "" {
		t.Fatalf("another stream's answer was taken: %q, %v", text, err)
	}
	server.plan(behaviour{answer: "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 5\r\n\r\nsteel", cut: -1})
	_, err = client.Start(context.Background(), call)
	expect(t, err, sapphiredrum.Uncertain)
	server.listener.Close()
	server.all.Wait()
}

// record returns the bytes of the answer that resumes stream s from its start;
// that to HTTP/1.0 ends with its connection.
func record(t *testing.T, address sapphiredrum.Address, version string) string {
	conn, err := net.Dial("tcp", string(address))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "GET /streams/s?offset=0 "+version+"\r\nHost: x\r\nConnection: close\r\n\r\n")
	data, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
