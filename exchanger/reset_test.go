package exchanger_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
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
	at := target(t, func(conn net.Conn, _ int) {
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
