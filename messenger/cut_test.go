package messenger_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/messenger"
)

// say is a peer that answers each connection with the next of texts and closes it in order.
func say(t *testing.T, texts []string) sd.Address {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for _, text := range texts {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, text)
			}
			_ = conn.Close()
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	return sd.Address(listener.Addr().String())
}

// Guards against an answer of a host that was killed being taken for whole, wherever it was cut:
// the kernel ends its connection in order.
func TestAnswerOfAPeerCutAnywhereIsLost(t *testing.T) {
	const (
		head   = "HTTP/1.1 200 OK\r\n\r\n"
		answer = head + `{"body":{"Length":123}}`
		frame  = `{"body":{"Text":"abc"}}` + "\n"
		stream = head + frame + frame + `{"end":true}` + "\n"
	)
	prefixes := func(whole string) (texts []string) {
		for cut := range len(whole) + 1 {
			texts = append(texts, whole[:cut])
		}
		return texts
	}
	client := messenger.NewClient(nil)
	defer client.Close()
	at := say(t, prefixes(answer))
	for cut := range len(answer) + 1 {
		got, err := messenger.Ask[question, reply](t.Context(), client, at, "length", question{})
		whole := cut == len(answer)
		if (err == nil) != whole || (whole && got.Length != 123) || (!whole && !errorx.IsOfType(err, sd.Uncertain)) {
			t.Errorf("answer cut at %d of %d: %v, %v", cut, len(answer), got, err)
		}
	}
	at = say(t, prefixes(stream))
	for cut := range len(stream) + 1 {
		err := messenger.Follow(t.Context(), client, at, "letters", question{}, func(question) error { return nil })
		whole := cut == len(stream)
		if (err == nil) != whole || (!whole && !errorx.IsOfType(err, sd.Uncertain)) {
			t.Errorf("stream cut at %d of %d: %v", cut, len(stream), err)
		}
	}
}

// Guards against an answer whose status is none being taken for a refusal: the request may have run.
func TestAnswerOfAPeerWithoutAStatusIsLost(t *testing.T) {
	client := messenger.NewClient(nil)
	defer client.Close()
	for _, status := range []string{"000", "012", "+12", "600", "999"} {
		at := say(t, []string{"HTTP/1.1 " + status + " Trouble\r\nContent-Length: 23\r\n\r\n" + `{"body":{"Length":123}}`})
		if got, err := messenger.Ask[question, reply](t.Context(), client, at, "length", question{}); !errorx.IsOfType(err, sd.Uncertain) {
			t.Errorf("status %s: %v, %v", status, got, err)
		}
	}
}
