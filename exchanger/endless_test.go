package exchanger_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/exchanger"
)

// patience is far above the time in which a bound is reached on loopback, and far
// below the deadlines in these tests.
const patience = 2 * time.Second

// pour answers each request with start and then with piece until the caller closes.
func pour(t *testing.T, start string, piece func(n int) string) sd.Address {
	return target(t, func(conn net.Conn, _ int) {
		id, ok := next(bufio.NewReader(conn))
		if !ok {
			return
		}
		if _, err := io.WriteString(conn, strings.ReplaceAll(start, "ID", id)); err != nil {
			return
		}
		w := bufio.NewWriter(conn)
		for n := 0; ; n++ {
			if _, err := w.WriteString(piece(n)); err != nil {
				return
			}
		}
	})
}

func same(piece string) func(int) string { return func(int) string { return piece } }

// endlessHeads are answers whose head never ends.
func endlessHeads(t *testing.T) map[string]sd.Address {
	return map[string]sd.Address{
		"status line":  pour(t, "HTTP/1.1 200 ", same("OK OK OK ")),
		"no answer":    pour(t, "", same("these bytes are no answer ")),
		"line":         pour(t, "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Long: ", same("and on ")),
		"continuation": pour(t, "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Long: a\r\n", same(" b\r\n")),
		"same header":  pour(t, "HTTP/1.1 200 OK\r\nX-Id: ID\r\n", same("a:\r\n")),
		"headers": pour(t, "HTTP/1.1 200 OK\r\nX-Id: ID\r\n", func(n int) string {
			return "h" + strconv.Itoa(n) + ":\r\n"
		}),
		"informational": pour(t, "", same("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")),
		"informational head": pour(t, "HTTP/1.1 103 Early Hints\r\n", func(n int) string {
			return "h" + strconv.Itoa(n) + ": x\r\n"
		}),
	}
}

// Guards against a target whose head never ends: the host's memory filled until
// the caller's deadline.
func TestEndlessHeadEndsTheExchange(t *testing.T) {
	for name, at := range endlessHeads(t) {
		x, opened := newExchanger(t)
		ctx, cancel := context.WithTimeout(t.Context(), 2*patience)
		start := time.Now()
		_, err := x.Exchange(ctx, at, call("a"))
		took := time.Since(start)
		late := ctx.Err() != nil
		cancel()
		if !errorx.IsOfType(err, sd.Uncertain) {
			t.Errorf("%s: %v, want an uncertain end", name, err)
		}
		if late || took > patience {
			t.Errorf("%s: ended after %v", name, took)
		}
		if x.Idle() != 0 || *opened != 1 {
			t.Errorf("%s: %d connections kept of %d", name, x.Idle(), *opened)
		}
	}
}

// Guards against many endless heads at once: together they took more memory than
// the smallest host has.
func TestEndlessHeadsFitTheSmallestHost(t *testing.T) {
	const (
		exchanges = 60
		// most is a quarter of the smallest host's memory of 112 MB.
		most = 28 << 20
	)
	for name, at := range endlessHeads(t) {
		x := exchanger.New(exchanger.Settings{Clock: sd.NewClock()})
		base := heap()
		var peak uint64
		stop, watched := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(watched)
			for {
				peak = max(peak, heap())
				select {
				case <-stop:
					return
				case <-time.After(time.Millisecond):
				}
			}
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 2*patience)
		var all sync.WaitGroup
		for range exchanges {
			all.Go(func() {
				if _, err := x.Exchange(ctx, at, call("a")); err == nil {
					t.Errorf("%s: an endless head was taken for an answer", name)
				}
			})
		}
		all.Wait()
		cancel()
		close(stop)
		<-watched
		grown := int64(peak) - int64(base)
		t.Logf("%s: %d exchanges took %d KB", name, exchanges, grown>>10)
		if grown > most {
			t.Errorf("%s: over %d KB", name, most>>10)
		}
	}
}

// heap returns the bytes of live objects.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// The longest head that passes is as long as what plans usually let callers send.
func TestLongHeadPasses(t *testing.T) {
	at := target(t, func(conn net.Conn, _ int) {
		r := bufio.NewReader(conn)
		for {
			id, ok := next(r)
			if !ok {
				return
			}
			long := "X-Long: " + strings.Repeat("x", 15<<10) + "\r\n"
			_, _ = io.WriteString(conn, strings.Replace(reply(id, strings.Repeat("body ", 1<<20)), "X-Id", long+"X-Id", 1))
		}
	})
	x, opened := newExchanger(t)
	for _, id := range []string{"a", "b"} {
		if body, err := fetch(t, x, at, call(id)); err != nil || len(body) != 5<<20 {
			t.Fatalf("%d bytes, %v", len(body), err)
		}
	}
	if *opened != 1 {
		t.Fatalf("%d connections", *opened)
	}
}

// Bodies in chunks are bounded in all that is no data: extensions and trailers.
func TestEndlessFramingEndsTheBody(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, at := range map[string]sd.Address{
		"extension":    pour(t, head+"1;", same("and=on;")),
		"extensions":   pour(t, head, same("1;"+strings.Repeat("x", 1000)+"\r\na\r\n")),
		"size":         pour(t, head, same("0")),
		"trailer":      pour(t, head+"0\r\n", same("X-Trailer: more\r\n")),
		"trailer line": pour(t, head+"0\r\nX-Trailer: ", same("more ")),
	} {
		x, _ := newExchanger(t)
		start := time.Now()
		if _, err := fetch(t, x, at, call("a")); err == nil {
			t.Errorf("%s: taken for whole", name)
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("%s: ended after %v", name, took)
		}
		if x.Idle() != 0 {
			t.Errorf("%s: the connection was kept", name)
		}
	}
}

// Guards against a late answer longer than what is skipped of it: the rest was
// read as the answer to the next request.
func TestLongLateAnswerEndsTheExchange(t *testing.T) {
	forged := reply("b", "forged")
	for name, length := range map[string]int{"just longer": 1<<20 + len(forged), "huge": 1 << 40} {
		at := target(t, func(conn net.Conn, _ int) {
			r := bufio.NewReader(conn)
			if id, ok := next(r); !ok || id != "b" {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: "+strconv.Itoa(length)+"\r\n\r\n"+
				strings.Repeat("x", 1<<20)+forged)
			_, _ = r.ReadByte()
		})
		x, _ := newExchanger(t)
		start := time.Now()
		body, err := fetch(t, x, at, call("b"))
		if !errorx.IsOfType(err, sd.Uncertain) {
			t.Errorf("%s: %q, %v", name, body, err)
		}
		if took := time.Since(start); took > patience {
			t.Errorf("%s: ended after %v", name, took)
		}
		if x.Idle() != 0 {
			t.Errorf("%s: the connection was kept", name)
		}
	}
}
