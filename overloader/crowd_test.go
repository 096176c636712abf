package overloader_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// holders is a number of connections that hold little each, more than the host may have
	// descriptors.
	holders = 600
	// senders is a number of connections that send a large body each, which together take more
	// than twice the host's memory.
	senders = 60
	// askers is a number of requests that take a caller's and a target's connection each.
	askers = 300
	// endless is what a sender without end sends at most, so that the test ends if it is read.
	endless = 1 << 20
	// settling is how long connections that send nothing more are held. A host that has not
	// read by then what they sent is not under load.
	settling = 2 * time.Second
)

// pour writes pieces until the host closes the connection or most bytes are written.
func pour(conn net.Conn, most int, piece func(n int) string) {
	for n, size := 0, 0; size < most; n++ {
		text := piece(n)
		size += len(text)
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// shortFields returns the nth block of header fields that are as short as fields can be, and all
// different. They take many times their size in memory once they are parsed.
func shortFields(n int) string {
	var text strings.Builder
	for i := range 100 {
		text.WriteString("x" + strconv.FormatInt(int64(100*n+i), 36) + ":\r\n")
	}
	return text.String()
}

// Guards against request heads that are too long, or never end, filling the memory, and against
// connections that send half a head taking all descriptors.
func TestHeads(t *testing.T) {
	long := strings.Repeat("a", 1000)
	for name, act := range map[string]func(h *host, conn net.Conn){
		"over the limit, one field": func(h *host, conn net.Conn) {
			_, _ = io.WriteString(conn, h.head("GET", "/look/x", "k1", "X-Long: "+strings.Repeat("a", 100_000))+"\r\n")
		},
		"over the limit, short fields": func(h *host, conn net.Conn) {
			_, _ = io.WriteString(conn, h.head("GET", "/look/x", "k1"))
			pour(conn, 100_000, shortFields)
			_, _ = io.WriteString(conn, "\r\n")
		},
		"without end, one field": func(h *host, conn net.Conn) {
			_, _ = io.WriteString(conn, h.head("GET", "/look/x", "k1")+"X-Long: ")
			pour(conn, endless, func(int) string { return long })
		},
		"without end, short fields": func(h *host, conn net.Conn) {
			_, _ = io.WriteString(conn, h.head("GET", "/look/x", "k1"))
			pour(conn, endless, shortFields)
		},
		"that stop below the limit, short fields": func(h *host, conn net.Conn) {
			_, _ = io.WriteString(conn, h.head("GET", "/look/x", "k1"))
			pour(conn, 15_000, shortFields)
			time.Sleep(settling)
		},
		"that stop above the limit, short fields": func(h *host, conn net.Conn) {
			_, _ = io.WriteString(conn, h.head("GET", "/look/x", "k1"))
			pour(conn, 60_000, shortFields)
			time.Sleep(settling)
		},
		"of one byte": func(_ *host, conn net.Conn) {
			_, _ = io.WriteString(conn, "G")
			time.Sleep(settling)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := start(t, nil)
			h.overload(holders, func(conn net.Conn) { act(h, conn) })
		})
	}
}

// Guards against empty lines in front of a request, which a host may skip, holding connections
// without end.
func TestEmptyLines(t *testing.T) {
	lines := strings.Repeat("\r\n", 500)
	first := func(h *host, conn net.Conn) {
		if _, err := io.WriteString(conn, h.head("POST", "/look/ordinary", "k1", "Content-Length: 1")+"\r\na"); err != nil {
			return
		}
		for text := []byte(nil); !bytes.HasSuffix(text, []byte("answer")); {
			piece := make([]byte, 512)
			n, err := conn.Read(piece)
			if err != nil {
				return
			}
			text = append(text, piece[:n]...)
		}
	}
	for name, act := range map[string]func(h *host, conn net.Conn){
		"without end": func(_ *host, conn net.Conn) {
			pour(conn, endless, func(int) string { return lines })
		},
		"without end after a request": func(h *host, conn net.Conn) {
			first(h, conn)
			pour(conn, endless, func(int) string { return lines })
		},
		"one after a request": func(h *host, conn net.Conn) {
			first(h, conn)
			_, _ = io.WriteString(conn, "\r\n")
			time.Sleep(settling)
		},
		"one by one": func(_ *host, conn net.Conn) {
			for end := time.Now().Add(settling); time.Now().Before(end); time.Sleep(settling / 20) {
				if _, err := io.WriteString(conn, "\n"); err != nil {
					return
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := start(t, nil)
			h.overload(holders, func(conn net.Conn) { act(h, conn) })
		})
	}
}

// Guards against bodies of legal size, most of which stop just short of their end, filling the
// memory.
func TestBodies(t *testing.T) {
	body := bytes.Repeat([]byte("x"), maxBody)
	for name, c := range map[string]struct {
		path, key    string
		size, pieces int
	}{
		"short of the end":                {"/look/x", "k1", maxBody - 1, 1},
		"short of the end, as turns":      {"/talk/x", "k1", maxBody - 1, 1},
		"short of the end, without a key": {"/open/x", "", maxBody - 1, 1},
		"short of the end, in pieces":     {"/look/x", "k1", maxBody - 1, 1000},
		"whole":                           {"/look/x", "k1", maxBody, 1},
		"small, short of the end":         {"/look/x", "k1", 30_000, 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := start(t, func(_ http.ResponseWriter, r *http.Request) {
				// The requests run for as long as their callers wait.
				<-r.Context().Done()
			})
			connections, length := senders, maxBody
			if c.size < maxBody/2 {
				connections, length = holders, c.size+1
			}
			h.overload(connections, func(conn net.Conn) {
				if _, err := io.WriteString(conn, h.head("POST", c.path, c.key, "Content-Length: "+strconv.Itoa(length))+"\r\n"); err != nil {
					return
				}
				for rest, piece := body[:c.size], c.size/c.pieces; len(rest) > 0; {
					n, err := conn.Write(rest[:min(piece, len(rest))])
					if err != nil {
						return
					}
					rest = rest[n:]
				}
				time.Sleep(settling)
			})
		})
	}
}

// Guards against chunked bodies, whose length is not known in advance, filling the memory.
func TestChunks(t *testing.T) {
	for name, size := range map[string]int{"large": maxBody, "small": 8} {
		t.Run(name, func(t *testing.T) {
			var text []byte
			for total := 0; total < maxBody; total += size {
				text = fmt.Appendf(text, "%x\r\n", size)
				text = append(text, bytes.Repeat([]byte("x"), size)...)
				text = append(text, '\r', '\n')
			}
			// The last chunk lacks a byte and its end of line.
			text = text[:len(text)-3]
			h := start(t, nil)
			h.overload(senders, func(conn net.Conn) {
				if _, err := io.WriteString(conn, h.head("POST", "/look/x", "k1", "Transfer-Encoding: chunked")+"\r\n"); err != nil {
					return
				}
				if _, err := conn.Write(text); err != nil {
					return
				}
				time.Sleep(settling)
			})
		})
	}
}

// Guards against callers that do not read their answers holding memory and the connections to
// targets.
func TestSlowReaders(t *testing.T) {
	for name, path := range map[string]string{"answers": "/look/x", "streams": "/ask/x"} {
		t.Run(name, func(t *testing.T) {
			h := start(t, func(w http.ResponseWriter, r *http.Request) {
				if strings.HasPrefix(r.URL.Path, "/look/") {
					_, _ = io.CopyN(w, zeros{}, 8<<20)
					return
				}
				for n := 1; ; n++ {
					if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", 50_000)); err != nil {
						return
					}
				}
			})
			h.overload(askers, func(conn net.Conn) {
				_ = conn.(*net.TCPConn).SetReadBuffer(4096)
				if _, err := io.WriteString(conn, strings.ReplaceAll(h.head("GET", path, "k1"), "Token-Usage: 10,56\r\n", "")+"\r\n"); err == nil {
					time.Sleep(settling)
				}
			})
		})
	}
}

// zeros is an endless source of bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// Guards against targets that send without end filling the memory.
func TestEndlessTargets(t *testing.T) {
	raw := func(w http.ResponseWriter, begin string, piece func(n int) string) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := io.WriteString(conn, begin); err == nil {
			pour(conn, 32*endless, piece)
		}
	}
	line := strings.Repeat("data: x", 1000)
	for name, c := range map[string]struct {
		path  string
		serve http.HandlerFunc
	}{
		"head of short fields": {"/look/x", func(w http.ResponseWriter, _ *http.Request) { raw(w, "HTTP/1.1 200 OK\r\n", shortFields) }},
		"head that stops": {"/look/x", func(w http.ResponseWriter, r *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: "+r.Header.Get("Request-Id")+"\r\n")
			pour(conn, 15_000, shortFields)
			time.Sleep(settling)
		}},
		"body": {"/look/x", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.Copy(w, zeros{}) }},
		"body without a frame": {"/look/x", func(w http.ResponseWriter, r *http.Request) {
			raw(w, "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: "+r.Header.Get("Request-Id")+"\r\n\r\n", func(int) string { return line })
		}},
		"event": {"/ask/x", func(w http.ResponseWriter, _ *http.Request) { pourEvent(w, line) }},
		"event that stops": {"/ask/x", func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, line[:6000]+strings.Repeat("x", 58_000))
			if http.NewResponseController(w).Flush() == nil {
				<-r.Context().Done()
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := start(t, c.serve)
			h.overload(askers, func(conn net.Conn) {
				if _, err := io.WriteString(conn, h.head("GET", c.path, "k1")+"\r\n"); err != nil {
					return
				}
				_ = conn.SetReadDeadline(time.Now().Add(2 * settling))
				_, _ = io.Copy(io.Discard, conn)
			})
		})
	}
}

// pourEvent writes an event without end.
func pourEvent(w io.Writer, line string) {
	for {
		if _, err := io.WriteString(w, line); err != nil {
			return
		}
	}
}

// manyFields returns the first n blocks of shortFields.
func manyFields(n int) string {
	var text strings.Builder
	for i := range n {
		text.WriteString(shortFields(i))
	}
	return text.String()
}

// Guards against messages of other hosts, or of whoever reaches their port, filling the memory, and
// against connections there taking all descriptors.
func TestPeers(t *testing.T) {
	text := `{"Turn":"` + strings.Repeat("0", maxBody)
	for name, c := range map[string]struct {
		connections int
		send        string
	}{
		"messages short of the end": {senders, "POST /peer/recall HTTP/1.1\r\nHost: peer\r\nContent-Type: application/json\r\nContent-Length: 5000000\r\n\r\n" + text},
		"half heads":                {holders, "POST /peer"},
		"heads of short fields":     {holders, "POST /peer/recall HTTP/1.1\r\nHost: peer\r\n" + manyFields(100)},
	} {
		t.Run(name, func(t *testing.T) {
			h := start(t, nil)
			h.overloadAt(h.peers, c.connections, func(conn net.Conn) {
				if _, err := io.WriteString(conn, c.send); err == nil {
					time.Sleep(settling)
				}
			})
		})
	}
}

// Guards against kept turns that are loaded from the store for many requests at once filling the
// memory: the cache may have evicted them, but the requests go on using them.
func TestKeptTurns(t *testing.T) {
	const programs, turns, copies = 12, 8, 5
	input := strings.Repeat("x", 400_000)
	h := start(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if strings.HasSuffix(r.URL.Path, "/hold") {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, "id: 1\ndata: y\n\n")
	})
	ask := func(path, id, program, previous, body string) (*http.Response, error) {
		request, err := http.NewRequest(http.MethodPost, "http://"+h.callers+path, strings.NewReader(body))
		if err != nil {
			return nil, err
		}
		request.Host = "h.example"
		for name, value := range map[string]string{"Request-Id": id, "Key": "k1", "Program-Id": program, "Token-Usage": "10,56", "Previous-Turn": previous} {
			if value != "" {
				request.Header.Set(name, value)
			}
		}
		return http.DefaultClient.Do(request)
	}
	for p := range programs {
		previous := ""
		for n := range turns {
			id := fmt.Sprintf("t%d-%d", p, n)
			answer, err := ask("/talk/x", id, "p"+strconv.Itoa(p), previous, input)
			if err != nil {
				t.Fatal(err)
			}
			_, err = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
			if answer.StatusCode != http.StatusOK || err != nil {
				t.Fatalf("turn %s: status %d, %v", id, answer.StatusCode, err)
			}
			previous = id
		}
	}
	var crowd atomic.Int64
	h.overload(programs*copies, func(conn net.Conn) {
		n := int(crowd.Add(1))
		program := strconv.Itoa(n % programs)
		text := fmt.Sprintf("POST /talk/hold HTTP/1.1\r\nHost: h.example\r\nKey: k1\r\nRequest-Id: c%d\r\nProgram-Id: p%s\r\nToken-Usage: 10,56\r\nPrevious-Turn: t%s-%d\r\nContent-Length: 1\r\n\r\nx", n, program, program, turns-1)
		if _, err := io.WriteString(conn, text); err == nil {
			time.Sleep(settling)
		}
	})
}

// Guards against crowds of several kinds at once taking together what each of them may not.
func TestMixedCrowd(t *testing.T) {
	body := bytes.Repeat([]byte("x"), maxBody)
	h := start(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/look/") {
			_, _ = io.CopyN(w, zeros{}, 8<<20)
			return
		}
		<-r.Context().Done()
	})
	announced := "Content-Length: " + strconv.Itoa(maxBody)
	acts := []func(conn net.Conn) error{
		func(conn net.Conn) error {
			_, err := io.WriteString(conn, h.head("GET", "/open/x", ""))
			pour(conn, 15_000, shortFields)
			return err
		},
		func(conn net.Conn) error {
			_, err := io.WriteString(conn, h.head("POST", "/open/x", "", announced)+"\r\n"+string(body[1:]))
			return err
		},
		func(conn net.Conn) error {
			_, err := io.WriteString(conn, h.head("POST", "/talk/x", "k1", announced)+"\r\n"+string(body[1:]))
			return err
		},
		func(conn net.Conn) error {
			_, err := io.WriteString(conn, h.head("POST", "/open/x", "", announced)+"\r\n"+string(body))
			return err
		},
		func(conn net.Conn) error {
			_, err := io.WriteString(conn, h.head("GET", "/look/x", "k1")+"\r\n")
			return err
		},
		func(conn net.Conn) error {
			_, err := io.WriteString(conn, "\r\n")
			return err
		},
	}
	var number atomic.Int64
	h.overload(askers, func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4096)
		if acts[int(number.Add(1))%len(acts)](conn) == nil {
			time.Sleep(settling)
		}
	})
}
