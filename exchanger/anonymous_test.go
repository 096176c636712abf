package exchanger_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
)

const anonymousRefusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"

// Guards against late bytes behind an earlier answer being taken for the answer to the next
// request because they bear no id: only the first answer on a connection may lack one.
func TestOnlyTheFirstAnswerOnAConnectionMayLackAnID(t *testing.T) {
	for _, test := range []struct {
		name string
		// before is the number of requests that are answered soundly before the one that is judged.
		before int
		// answer is sent for that one; the connection is closed behind it.
		answer, body string
		uncertain    bool
	}{
		{name: "first answer without an id", answer: "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy", body: "busy"},
		{name: "late bytes, then the answer", before: 1, answer: anonymousRefusal + reply("b", "two"), body: "two"},
		{name: "late bytes, then the end", before: 2, answer: anonymousRefusal, uncertain: true},
		{name: "late bytes without a length", before: 1, answer: "HTTP/1.1 503 Busy\r\n\r\n", uncertain: true},
		{name: "behind an answer to another request", answer: reply("z", "no") + anonymousRefusal, uncertain: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			at := target(t, func(conn net.Conn, _ int) {
				r := bufio.NewReader(conn)
				for range test.before {
					id, _ := next(r)
					_, _ = io.WriteString(conn, reply(id, "ok"))
				}
				if _, ok := next(r); ok {
					_, _ = io.WriteString(conn, test.answer)
				}
			})
			x, opened := newExchanger(t)
			for range test.before {
				if _, err := fetch(t, x, at, call("a")); err != nil {
					t.Fatal(err)
				}
			}
			c := call("b")
			c.Anonymous = func(status int, h http.Header) bool { return status >= 300 && h.Get("X-Id") == "" }
			body, err := fetch(t, x, at, c)
			if errorx.IsOfType(err, sd.Uncertain) != test.uncertain || body != test.body {
				t.Errorf("%q, %v; want %q, uncertain %v", body, err, test.body, test.uncertain)
			}
			if *opened != 1 {
				t.Errorf("%d connections, want one", *opened)
			}
		})
	}
}
