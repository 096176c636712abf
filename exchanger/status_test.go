package exchanger_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
)

// Guards against a caller that is given an answer whose status is 000 or none at all (MIXED), against
// waiting for another head behind it, and against believing what its header says of the target.
func TestAnswersWithoutAStatusAreBroken(t *testing.T) {
	for _, status := range []string{"000", "001", "012", "099", "+12", "-00", "600", "700", "999"} {
		for name, rest := range map[string]string{
			"body":         "Content-Length: 4\r\n\r\nbody",
			"empty":        "Content-Length: 0\r\n\r\n",
			"chunked":      "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
			"no frame":     "\r\nbody",
			"whole behind": "Content-Length: 0\r\n\r\n" + reply("a", "four"),
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				var asked atomic.Int64
				at := target(t, func(conn net.Conn, _ int) {
					r := bufio.NewReader(conn)
					for {
						id, ok := next(r)
						if !ok {
							return
						}
						text := reply(id, "well")
						if asked.Add(1) == 2 {
							text = "HTTP/1.1 " + status + " Trouble\r\nX-Id: " + id + "\r\nServer-Leaving: 1\r\n" + rest
						}
						if _, err := io.WriteString(conn, text); err != nil {
							return
						}
					}
				})
				x, _ := newExchanger(t)
				if _, err := fetch(t, x, at, call("a")); err != nil {
					t.Fatal(err)
				}
				c := call("a")
				heads := 0
				c.Received = func(int, http.Header) { heads++ }
				began := time.Now()
				text, err := fetch(t, x, at, c)
				if !errorx.IsOfType(err, sd.Uncertain) || !strings.Contains(err.Error(), "status") || heads > 0 || time.Since(began) > patience {
					t.Errorf("got %q, %v after %v; %d heads were believed", text, err, time.Since(began), heads)
				}
				// The connection is not used again.
				if text, err := fetch(t, x, at, call("b")); err != nil || text != "well" {
					t.Errorf("next request: %q, %v", text, err)
				}
			})
		}
	}
}
