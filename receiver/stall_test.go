package receiver_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/balancer"
)

// dial opens a connection to the receiver and sends text.
func (b *bench) dial(text string) net.Conn {
	b.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.server.URL, "http://"))
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		b.t.Fatal(err)
	}
	return conn
}

// A caller that stops reading must not hold memory and a target beyond the request's
// timeout.
func TestCallerThatDoesNotReadHoldsNothing(t *testing.T) {
	b := newBench(t)
	const chunk, chunks = 64 << 10, 200
	left := make(chan struct{}, 1)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Server-Stamp", "stamp")
		w.Header().Set("Content-Length", fmt.Sprint(chunk*chunks))
		piece := []byte(strings.Repeat("x", chunk))
		for range chunks {
			if _, err := w.Write(piece); err != nil {
				break
			}
		}
		left <- struct{}{}
	}))
	t.Cleanup(target.Close)
	b.queue.Update(func(s *balancer.State, _ sd.Instant) {
		s.Remove("d1")
		s.Remove("d2")
		s.Register(sd.TargetRegistration{ID: "long", Pool: "desk", Address: sd.Address(strings.TrimPrefix(target.URL, "http://")), Zone: "z", Slots: 1})
	})
	conn := b.dial("GET /look/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nKey: k1\r\nDeadline-Ms: 300\r\n\r\n")
	if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	// The caller does not read; the limit is the request's timeout plus the write grace
	// time.
	select {
	case <-left:
	case <-time.After(300*time.Millisecond + 2*time.Second):
		t.Fatal("target is still sending after the request's timeout")
	}
	for range 100 {
		var page strings.Builder
		b.metrics.Set.WritePrometheus(&page)
		if strings.Contains(page.String(), "answer_buffer_bytes 0\n") {
			return
		}
		time.Sleep(30 * time.Millisecond)
	}
	t.Fatal("receiver still buffers the response")
}

// A caller that stops sending in the middle of its request gets 408 at the timeout, and
// the request does not run. A slow caller that finishes in time is served.
func TestCallerThatDoesNotSend(t *testing.T) {
	b := newBench(t)
	head := "POST /pay/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nKey: k1\r\nDeadline-Ms: %d\r\nContent-Length: 4\r\n\r\nab"
	stalled := b.dial(fmt.Sprintf(head, "stalled", 300))
	if err := stalled.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(stalled), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	_ = answer.Body.Close()
	if n, _ := b.ran("stalled"); answer.StatusCode != 408 || n != 0 {
		t.Fatalf("status %d, ran %d times", answer.StatusCode, n)
	}
	slow := b.dial(fmt.Sprintf(head, "slow", 2000))
	time.Sleep(400 * time.Millisecond)
	if _, err := io.WriteString(slow, "cd"); err != nil {
		t.Fatal(err)
	}
	answer, err = http.ReadResponse(bufio.NewReader(slow), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = answer.Body.Close()
	if n, body := b.ran("slow"); answer.StatusCode != 200 || n != 1 || body != "abcd" {
		t.Fatalf("status %d, ran %d times with %q", answer.StatusCode, n, body)
	}
}

// The deadline of a request must not apply to later requests on the same connection,
// whether they are served or refused.
func TestConnectionOutlivesTheTimeOfARequest(t *testing.T) {
	b := newBench(t)
	text := "POST %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nKey: k1\r\nDeadline-Ms: 200\r\nContent-Length: 1\r\n\r\na"
	conn := b.dial(fmt.Sprintf(text, "/pay/x", "one"))
	reader := bufio.NewReader(conn)
	for i, next := range []struct {
		path   string
		status int
	}{{"/pay/x", 200}, {"/unknown/x", 404}, {"/pay/x", 200}} {
		if i > 0 {
			time.Sleep(1500 * time.Millisecond)
			if _, err := fmt.Fprintf(conn, text, next.path, fmt.Sprint("later", i)); err != nil {
				t.Fatal(err)
			}
		}
		answer, err := http.ReadResponse(reader, nil)
		if err != nil || answer.StatusCode != next.status {
			t.Fatal(next.path, answer, err)
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			t.Fatal(err)
		}
	}
}
