package receiver

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/reserver"
)

// FuzzBody guards against bodies that are read otherwise than net/http reads them, that go beyond
// the limit, or whose memory is not accounted for, whatever their chunks are.
func FuzzBody(f *testing.F) {
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	for _, seed := range []string{
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nhello",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n" + strings.Repeat("x", 50000),
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk("a"), 3000) + "0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(strings.Repeat("b", 70000)) + "0\r\nTrailer: x\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;ext=1\r\nhello\r\n0",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
	} {
		f.Add([]byte(seed), uint32(60000))
		f.Add([]byte(seed), uint32(4))
	}
	f.Fuzz(func(t *testing.T, text []byte, most uint32) {
		request := func() *http.Request {
			r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
			if err != nil || r.ContentLength == 0 {
				t.Skip()
			}
			return r
		}
		limit := int64(most%(1<<20)) + 1
		want, wantErr := io.ReadAll(io.LimitReader(request().Body, limit+maxChunkBytes+1))
		budget := reserver.New(reserver.Settings{Capacity: 2 << 20}, sd.Clock{})
		holder, _ := budget.Open(reserver.Group{})
		body := &buffer{holder: holder, asReceived: true}
		whole, err := body.readRequest(request(), limit)
		counts := budget.Counts()
		if held := counts.Small + counts.Large; held != int64(body.capacity) || held > counts.Most {
			t.Fatalf("%d bytes of memory count as %d", body.capacity, held)
		}
		if int64(body.size) > limit+maxChunkBytes {
			t.Fatalf("%d bytes were read of a body of at most %d", body.size, limit)
		}
		if whole != (wantErr == nil && int64(len(want)) <= limit) && counts.Refused == 0 {
			t.Fatalf("whole %v (%v) of %d bytes (%v), limit %d", whole, err, len(want), wantErr, limit)
		}
		if whole && !bytes.Equal(body.contents(), want) {
			t.Fatalf("read %d bytes otherwise than %d", body.size, len(want))
		}
		body.release()
		if counts := budget.Counts(); counts.Small+counts.Large != 0 {
			t.Fatalf("%d bytes are left", counts.Small+counts.Large)
		}
	})
}

// Guards against a body of which little has come taking the memory that was announced for it.
func TestAnnouncedBodyTakesMemoryAsItComes(t *testing.T) {
	text := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n" + strings.Repeat("x", 10_000)
	request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		t.Fatal(err)
	}
	body := &buffer{asReceived: true}
	if whole, err := body.readRequest(request, 4<<20); whole || err == nil {
		t.Errorf("whole %v, error %v", whole, err)
	}
	if body.size != 10_000 || body.capacity > 2*body.size {
		t.Errorf("%d bytes take %d", body.size, body.capacity)
	}
}
