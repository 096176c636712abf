package exchanger_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/exchanger"
)

// lastingDialer opens one connection; what becomes of further ones is set.
type lastingDialer struct {
	sd.Dialer
	dials atomic.Int32
	// err is that of further connections, hang has them wait for their end.
	err  error
	hang bool
}

func (d *lastingDialer) Dial(ctx context.Context, to sd.Address, timeout sd.Millis) (net.Conn, error) {
	if d.dials.Add(1) == 1 {
		return d.Dialer.Dial(ctx, to, timeout)
	}
	if d.hang {
		ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if d.err != nil {
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", d.err)}
	}
	return d.Dialer.Dial(ctx, to, timeout)
}

// Guards against an answer without a frame that is taken for whole although nothing shows that its
// target is still up: the kernel of a target that died has closed the connection in order.
func TestEndOfAConnectionIsNotTheEndOfAnAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		dialer    *lastingDialer
		aftermath exchanger.Aftermath
	}{
		"up":       {&lastingDialer{}, exchanger.Accepts},
		"down":     {&lastingDialer{err: syscall.ECONNREFUSED}, exchanger.Refuses},
		"silent":   {&lastingDialer{hang: true}, exchanger.Unreached},
		"no route": {&lastingDialer{err: syscall.EHOSTUNREACH}, exchanger.Unreached},
	} {
		t.Run(name, func(t *testing.T) {
			at := target(t, func(conn net.Conn, _ int) {
				if id, ok := next(bufio.NewReader(conn)); ok {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\n\r\nhalf or whole")
				}
			})
			c.dialer.Dialer = exchanger.Direct()
			x := exchanger.New(exchanger.Settings{Clock: sd.NewClock(), Dialer: c.dialer, Connect: 50 * sd.Millisecond})
			defer x.Close()
			answer, err := x.Exchange(t.Context(), at, call("a"))
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(answer.Body)
			answer.Close(err == nil)
			if string(body) != "half or whole" || answer.Aftermath() != c.aftermath {
				t.Errorf("%q, target %v, want %v", body, answer.Aftermath(), c.aftermath)
			}
			if broken := errorx.IsOfType(err, sd.BrokenResponse); broken != (c.aftermath != exchanger.Accepts) || (err != nil) != broken {
				t.Errorf("error %v", err)
			}
		})
	}
}

// An answer that never has a body ends with its head, whatever its target does next.
func TestAnswerWithoutABodyIsWhole(t *testing.T) {
	at := target(t, func(conn net.Conn, _ int) {
		if id, ok := next(bufio.NewReader(conn)); ok {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\n\r\n")
		}
	})
	dialer := &lastingDialer{Dialer: exchanger.Direct(), err: syscall.ECONNREFUSED}
	x := exchanger.New(exchanger.Settings{Clock: sd.NewClock(), Dialer: dialer})
	defer x.Close()
	head := call("a")
	head.Method = http.MethodHead
	if body, err := fetch(t, x, at, head); err != nil || body != "" {
		t.Errorf("%q, %v", body, err)
	}
	if n := dialer.dials.Load(); n != 1 {
		t.Errorf("%d connections opened, want 1", n)
	}
}

// Guards against an answer of a target that died being taken for whole, as its listener outlasts the
// answer's connection by some milliseconds: the kernel releases the descriptors of a process one
// after the other. A target that lives and ends new connections at once is up.
func TestListenerThatOutlastsAConnectionConfirmsNothing(t *testing.T) {
	for name, dies := range map[string]bool{"dies": true, "lives": false} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				for n := 0; ; n++ {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					if n == 0 {
						id, _ := next(bufio.NewReader(conn))
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\n\r\nhalf or whole")
						if dies {
							time.AfterFunc(5*time.Millisecond, func() { _ = listener.Close() })
						}
					} else {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
					_ = conn.Close()
				}
			}()
			x, _ := newExchanger(t)
			if body, err := fetch(t, x, sd.Address(listener.Addr().String()), call("a")); (err != nil) != dies {
				t.Errorf("%q, %v", body, err)
			}
			_ = listener.Close()
			<-ended
		})
	}
}

// Guards against an answer whose target died and is up again by the time at which its end is read,
// as its reader had to wait: the next process accepts connections.
func TestEndThatIsReadLateIsNotTheEndOfAnAnswer(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := listener.Addr().String()
	ended := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			ended <- err
			return
		}
		id, _ := next(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\n\r\nhalf")
		ended <- errors.Join(listener.Close(), conn.Close())
	}()
	x, _ := newExchanger(t)
	answer, err := x.Exchange(t.Context(), sd.Address(at), call("a"))
	if err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	// The process is down for some seconds as a rule; the probe takes a round trip.
	time.Sleep(50 * time.Millisecond)
	again, err := net.Listen("tcp4", at)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = again.Close() }()
	body, err := io.ReadAll(answer.Body)
	answer.Close(err == nil)
	if string(body) != "half" || !errorx.IsOfType(err, sd.BrokenResponse) {
		t.Errorf("%q, %v, want half and a broken answer", body, err)
	}
}

// Guards against the memory of a host being filled by answers without a frame that are not read.
func TestAnswerIsReadAheadOfItsReaderInBounds(t *testing.T) {
	const (
		answers = 30
		// most is what is read ahead of an answer, four buffers of both ends, and both heads.
		most = answers * (16 + 4*4 + 2*4) << 10
	)
	at := pour(t, "HTTP/1.1 200 OK\r\nX-Id: ID\r\n\r\n", same(strings.Repeat("body", 1<<10)))
	x, _ := newExchanger(t)
	base := heap()
	var open []*exchanger.Answer
	for range answers {
		answer, err := x.Exchange(t.Context(), at, call("a"))
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, answer)
	}
	// A reader that falls behind must not make the buffers grow either.
	for _, answer := range open {
		time.Sleep(5 * time.Millisecond)
		if _, err := io.CopyN(io.Discard, answer.Body, 25<<10); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(100 * time.Millisecond)
	grown := int64(heap()) - int64(base)
	t.Logf("%d answers hold %d KB", answers, grown>>10)
	if grown > most {
		t.Errorf("over %d KB", most>>10)
	}
	for _, answer := range open {
		answer.Close(false)
	}
}

// Guards against a host that stops waiting for targets that do not answer: the end of the
// Exchanger, or of an answer, ends the search for what its target does.
func TestSearchForASilentTargetEnds(t *testing.T) {
	for name, end := range map[string]func(x *exchanger.Exchanger, answer *exchanger.Answer){
		"exchanger closed": func(x *exchanger.Exchanger, _ *exchanger.Answer) { x.Close() },
		"answer closed":    func(_ *exchanger.Exchanger, answer *exchanger.Answer) { answer.Close(false) },
	} {
		t.Run(name, func(t *testing.T) {
			at := target(t, func(conn net.Conn, _ int) {
				if id, ok := next(bufio.NewReader(conn)); ok {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\n\r\nhalf")
				}
			})
			dialer := &lastingDialer{Dialer: exchanger.Direct(), hang: true}
			x := exchanger.New(exchanger.Settings{Clock: sd.NewClock(), Dialer: dialer, Connect: sd.Minute})
			defer x.Close()
			answer, err := x.Exchange(t.Context(), at, call("a"))
			if err != nil {
				t.Fatal(err)
			}
			ended := make(chan error, 1)
			go func() {
				_, err := io.ReadAll(answer.Body)
				ended <- err
			}()
			for stop := time.Now().Add(patience); dialer.dials.Load() < 2 && time.Now().Before(stop); {
				time.Sleep(time.Millisecond)
			}
			end(x, answer)
			select {
			case err := <-ended:
				if err == nil {
					t.Error("answer taken for whole")
				}
			case <-time.After(patience):
				t.Error("the search goes on")
			}
			answer.Close(false)
		})
	}
}
