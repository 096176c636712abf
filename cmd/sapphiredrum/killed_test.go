package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	sd "sapphiredrum.example/sapphiredrum"
)

// Guards against a stream to an HTTP/1.0 caller that looks complete as the host's process is
// killed: the kernel closed the caller's connection in order, which marks the stream's end.
func TestStreamOfAKilledHostIsNotWhole(t *testing.T) {
	s := newSoak(t, 1, 1)
	for _, target := range s.targets {
		target.Pause = 100 * sd.Millisecond
	}
	h := s.hosts[0]
	for n := range 5 {
		conn, err := net.Dial("tcp4", strings.TrimPrefix(h.callers, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		_, err = fmt.Fprintf(conn, "POST /ask/x HTTP/1.0\r\nHost: h.example\r\nRequest-Id: k%d\r\nKey: k1\r\nContent-Length: 1\r\n\r\nx", n)
		if err != nil {
			t.Fatal(err)
		}
		r := bufio.NewReader(conn)
		for line := ""; line != "id: 1\n"; {
			if line, err = r.ReadString('\n'); err != nil {
				t.Fatal(err)
			}
		}
		h.stop(syscall.SIGKILL)
		if rest, err := io.ReadAll(r); err == nil {
			t.Errorf("try %d: interrupted stream looks complete, its end is %q", n, rest)
		}
		_ = conn.Close()
		h.start()
		h.await()
	}
}
