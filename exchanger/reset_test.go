package exchanger_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/exchanger"
)

// resetAfter reads a request's header but not its body, sends an answer without a frame,
// and resets the connection.
func resetAfter(t *testing.T, answer string) sd.Address {
	return target(t, func(conn net.Conn, _ int) {
		r := bufio.NewReader(conn)
		for line := ""; line != "\r\n"; {
			var err error
			if line, err = r.ReadString('\n'); err != nil {
				return
			}
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			t.Error(err)
		}
		if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a reset that only the sending of a long body notices: the reading of
// an answer without a frame then takes the reset for the answer's end.
func TestResetWhileABodyIsSentIsNotTheEndOfAnAnswer(t *testing.T) {
	at := resetAfter(t, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nhalf of ")
	x, _ := newExchanger(t)
	for _, size := range []int{1, 1 << 10, 32 << 10, 8 << 20} {
		body := make([]byte, size)
		for n := range 100 {
			if text, err := fetch(t, x, at, call("a", body)); err == nil {
				t.Fatalf("body of %d bytes, try %d: %q looks complete", size, n, text)
			}
		}
	}
}

// An answer without a frame is whole once its target closes the connection in order,
// though the request has not been read to its end.
func TestAnswerBeforeTheRequestIsReadIsWhole(t *testing.T) {
	at := target(t, func(conn net.Conn, n int) {
		if n > 1 {
			// Opened after the end of the answer.
			return
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nanswer"); err != nil {
			t.Error(err)
		}
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Error(err)
		}
		// The exchange must end while its sender is blocked.
		time.Sleep(2 * patience)
	})
	x, _ := newExchanger(t)
	if text, err := fetch(t, x, at, call("a", make([]byte, 32<<20))); err != nil || text != "answer" {
		t.Fatalf("%q, %v", text, err)
	}
}

// brokenConn is a connection whose writer is told that it broke, so that its reader sees an end.
type brokenConn struct {
	net.Conn
	answer *strings.Reader
	err    error
	head   bool
	broke  chan struct{}
}

func (c *brokenConn) Write(p []byte) (int, error) {
	if !c.head {
		c.head = true
		return len(p), nil
	}
	close(c.broke)
	return 0, &net.OpError{Op: "write", Err: os.NewSyscallError("write", c.err)}
}

func (c *brokenConn) Read(p []byte) (int, error) {
	n, err := c.answer.Read(p)
	if err == io.EOF {
		<-c.broke
	}
	return n, err
}

func (*brokenConn) SetWriteDeadline(time.Time) error { return nil }
func (*brokenConn) Close() error                     { return nil }

// brokenDialer opens broken connections.
type brokenDialer struct{ err error }

func (d brokenDialer) Dial(context.Context, sd.Address, sd.Millis) (net.Conn, error) {
	return &brokenConn{answer: strings.NewReader("HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nhalf of "), err: d.err, broke: make(chan struct{})}, nil
}

func (brokenDialer) Usable(net.Conn, sd.Address) bool { return true }

// Guards against a connection that the network gives up, rather than the target, while a long
// body is sent: the reading of an answer without a frame then sees an end in order.
func TestConnectionGivenUpWhileABodyIsSentIsNotTheEndOfAnAnswer(t *testing.T) {
	for err, whole := range map[syscall.Errno]bool{
		syscall.ECONNRESET: false, syscall.ETIMEDOUT: false, syscall.EHOSTUNREACH: false, syscall.ENETUNREACH: false, syscall.EPIPE: true,
	} {
		x := exchanger.New(exchanger.Settings{Clock: sd.NewClock(), Dialer: brokenDialer{err}})
		t.Cleanup(x.Close)
		text, failure := fetch(t, x, "target", call("a", make([]byte, 32<<10)))
		if (failure == nil) != whole {
			t.Errorf("%v: %q, %v", err, text, failure)
		}
	}
}
