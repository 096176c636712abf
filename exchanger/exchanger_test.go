package exchanger_test

import (
	"bufio"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/exchanger"
)

// target is a server whose answers the test writes byte by byte. Each connection
// is handed to serve with the number of the connection.
func target(t *testing.T, serve func(conn net.Conn, number int)) sd.Address {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for n := 1; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn, n)
			}()
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	return sd.Address(listener.Addr().String())
}

// next reads one request and returns its id.
func next(r *bufio.Reader) (string, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req.Header.Get("X-Id"), err == nil
}

func reply(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + string(rune('0'+n%10))
}

func call(id string, body ...[]byte) exchanger.Call {
	return exchanger.Call{
		Method: "POST", URI: "/x", Host: "h", Header: http.Header{"X-Id": {id}}, Body: body,
		Belongs: func(_ int, h http.Header) bool { return h.Get("X-Id") == id },
	}
}

func fetch(t *testing.T, x *exchanger.Exchanger, at sd.Address, c exchanger.Call) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	answer, err := x.Exchange(ctx, at, c)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(answer.Body)
	answer.Close(err == nil)
	return string(body), err
}

func newExchanger(t *testing.T) (*exchanger.Exchanger, *int) {
	opened := new(int)
	x := exchanger.New(exchanger.Settings{Clock: sd.NewClock()})
	x.Opened = func(sd.Address) { *opened++ }
	t.Cleanup(x.Close)
	return x, opened
}

func TestConnectionsAreKept(t *testing.T) {
	at := target(t, func(conn net.Conn, _ int) {
		r := bufio.NewReader(conn)
		for {
			id, ok := next(r)
			if !ok {
				return
			}
			_, _ = io.WriteString(conn, reply(id, "body "+id))
		}
	})
	x, opened := newExchanger(t)
	for _, id := range []string{"a", "b", "c"} {
		if body, err := fetch(t, x, at, call(id)); err != nil || body != "body "+id {
			t.Fatalf("%q, %v", body, err)
		}
	}
	if *opened != 1 {
		t.Fatalf("%d connections for three requests", *opened)
	}
}

// A second answer to an earlier request, at the place of the next one's, is not
// taken for it.
func TestLateAnswerToAnEarlierRequestIsSkipped(t *testing.T) {
	at := target(t, func(conn net.Conn, _ int) {
		r := bufio.NewReader(conn)
		first, _ := next(r)
		_, _ = io.WriteString(conn, reply(first, "one"))
		second, ok := next(r)
		if ok {
			_, _ = io.WriteString(conn, reply(first, "one again")+reply(second, "two"))
		}
	})
	x, _ := newExchanger(t)
	for id, want := range map[string]string{"a": "one"} {
		if body, err := fetch(t, x, at, call(id)); err != nil || body != want {
			t.Fatalf("%q, %v", body, err)
		}
	}
	if body, err := fetch(t, x, at, call("b")); err != nil || body != "two" {
		t.Fatalf("%q, %v", body, err)
	}
}

// Bytes behind a complete answer make the connection unfit for another request.
func TestConnectionWithStrayBytesIsNotReused(t *testing.T) {
	at := target(t, func(conn net.Conn, n int) {
		r := bufio.NewReader(conn)
		for {
			id, ok := next(r)
			if !ok {
				return
			}
			_, _ = io.WriteString(conn, reply(id, "ok"))
			if n == 1 {
				_, _ = io.WriteString(conn, "garbage that belongs to nobody")
			}
		}
	})
	x, opened := newExchanger(t)
	for _, id := range []string{"a", "b"} {
		if _, err := fetch(t, x, at, call(id)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if *opened != 2 {
		t.Fatalf("%d connections", *opened)
	}
}

// What certainly was not sent is Unavailable, everything else Uncertain.
func TestErrorsTellWhetherTheRequestMayHaveRun(t *testing.T) {
	x, _ := newExchanger(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := sd.Address(listener.Addr().String())
	_ = listener.Close()
	if _, err := fetch(t, x, closed, call("a")); !errorx.IsOfType(err, sd.Unavailable) {
		t.Fatalf("no listener: %v", err)
	}
	for name, answer := range map[string]string{
		"closed": "", "garbage": "this is no answer\r\n\r\n", "another's": reply("z", "no"), "no id": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		at := target(t, func(conn net.Conn, _ int) {
			_, _ = next(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, answer)
		})
		if _, err := fetch(t, x, at, call("a")); !errorx.IsOfType(err, sd.Uncertain) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// An answer that ends early is an error, one without a length ends with its
// connection and is not kept.
func TestBodiesEndWhereTheyShould(t *testing.T) {
	x, opened := newExchanger(t)
	short := target(t, func(conn net.Conn, _ int) {
		id, _ := next(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, strings.Replace(reply(id, "12345"), "12345", "12", 1))
	})
	if _, err := fetch(t, x, short, call("a")); err == nil {
		t.Fatal("a short body was taken for whole")
	}
	var lock sync.Mutex
	carried := map[int]string{}
	open := target(t, func(conn net.Conn, n int) {
		id, ok := next(bufio.NewReader(conn))
		if !ok {
			return
		}
		lock.Lock()
		carried[n] += id
		lock.Unlock()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\n\r\nuntil the end")
	})
	*opened = 0
	for _, id := range []string{"a", "b"} {
		if body, err := fetch(t, x, open, call(id)); err != nil || body != "until the end" {
			t.Fatalf("%q, %v", body, err)
		}
	}
	// Two connections are opened after each answer; the second of them carries the next request.
	if want := map[int]string{1: "a", 3: "b"}; *opened != 5 || !maps.Equal(carried, want) {
		t.Fatalf("%d connections, which carried %v, want 5 with %v", *opened, carried, want)
	}
}

// A target that answers before it has read a long body must not get the next
// request in the place of the rest.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	release := make(chan struct{})
	at := target(t, func(conn net.Conn, n int) {
		r := bufio.NewReader(conn)
		if n > 1 {
			if id, ok := next(r); ok {
				_, _ = io.WriteString(conn, reply(id, "second"))
			}
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, reply(req.Header.Get("X-Id"), "early"))
		<-release
	})
	x, opened := newExchanger(t)
	if body, err := fetch(t, x, at, call("a", make([]byte, 16<<20))); err != nil || body != "early" {
		t.Fatalf("%q, %v", body, err)
	}
	if body, err := fetch(t, x, at, call("b")); err != nil || body != "second" {
		t.Fatalf("%q, %v", body, err)
	}
	close(release)
	if *opened != 2 {
		t.Fatalf("%d connections", *opened)
	}
}

// A caller that leaves breaks the exchange off at the target.
func TestCancelClosesTheConnection(t *testing.T) {
	left := make(chan struct{})
	at := target(t, func(conn net.Conn, _ int) {
		r := bufio.NewReader(conn)
		_, _ = next(r)
		_, _ = r.ReadByte()
		close(left)
	})
	x, _ := newExchanger(t)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	if _, err := x.Exchange(ctx, at, call("a")); err == nil {
		t.Fatal("no error")
	}
	select {
	case <-left:
	case <-time.After(time.Second):
		t.Fatal("target was not told")
	}
}

// A connection that the target closed while idle is not used.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	at := target(t, func(conn net.Conn, _ int) {
		if id, ok := next(bufio.NewReader(conn)); ok {
			_, _ = io.WriteString(conn, reply(id, "ok"))
		}
	})
	x, opened := newExchanger(t)
	for _, id := range []string{"a", "b"} {
		if _, err := fetch(t, x, at, call(id)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if *opened != 2 {
		t.Fatalf("%d connections", *opened)
	}
}

// Refuses tells a target whose process is down from one that runs, and keeps the
// connection that it opened to find out.
func TestRefusesTellsWhetherATargetIsDown(t *testing.T) {
	at := target(t, func(conn net.Conn, _ int) {
		r := bufio.NewReader(conn)
		for id, ok := next(r); ok; id, ok = next(r) {
			_, _ = io.WriteString(conn, reply(id, "body"))
		}
	})
	x, opened := newExchanger(t)
	down := make(chan struct{}, 3)
	later := func() { down <- struct{}{} }
	if x.Refuses(t.Context(), at, later) {
		t.Error("a target that runs counts as down")
	}
	for end := time.Now().Add(patience); x.Idle() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if body, err := fetch(t, x, at, call("a")); err != nil || body != "body" || *opened != 1 {
		t.Errorf("%q, %v, %d connections, want the one that was kept", body, err, *opened)
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if !x.Refuses(t.Context(), sd.Address(listener.Addr().String()), later) {
		t.Error("a target that is down counts as running")
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if x.Refuses(ended, at, later) {
		t.Error("a check that was given up says that the target is down")
	}
	x.Close()
	if len(down) > 0 {
		t.Error("later was called though nothing changed")
	}
}
