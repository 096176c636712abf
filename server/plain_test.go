package server_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/follower"
	"sapphiredrum.example/sapphiredrum/server"
)

// longCalls answers each call with a long text, as a service or as a model.
type longCalls struct {
	sd.CallHandler
}

const longAnswer = 16 << 20

func (longCalls) Call(_ context.Context, request sd.CallRequest, send func(sd.Frame) error) error {
	if request.Route.Kind == sd.ServiceRoute {
		body := bytes.Repeat([]byte("x"), longAnswer)
		return errors.Join(send(sd.Frame{Response: &sd.ServiceResponse{Status: http.StatusOK, Body: body}}), send(sd.Frame{End: &sd.CallEnd{}}))
	}
	chunk := &sd.Chunk{Text: strings.Repeat("x", longAnswer)}
	return errors.Join(send(sd.Frame{Chunk: chunk}), send(sd.Frame{End: &sd.CallEnd{}}))
}

// quietMeter records nothing.
type quietMeter struct{ meter }

func (quietMeter) FirstToken(sd.Tier, sd.WorkspaceID, sd.Millis) {}

// Guards against an answer that looks whole to an HTTP/1.0 caller although its host ended, or gave
// the caller up, in the middle of it: such a caller has no chunks, so it needs the length.
func TestInterruptedAnswerIsNotWholeForCallersWithoutChunks(t *testing.T) {
	config := follower.NewConfig(1, sd.Config{
		Routes: []sd.Route{
			{Name: "chat", Path: "/chat", Kind: sd.ModelRoute, Model: "m1", Public: true, Timeout: sd.Minute},
			{Name: "prices", Path: "/prices", Kind: sd.ServiceRoute, Public: true, Timeout: sd.Minute},
		},
	})
	for _, path := range []string{"/chat", "/prices"} {
		router := echo.New()
		callers := &server.Callers{
			Calls: longCalls{}, Config: func() *follower.Config { return config }, Streams: &server.Streams{},
			Meter: quietMeter{}, Clock: sd.NewClock(), Body: 1 << 16,
		}
		callers.Register(router)
		web := httptest.NewServer(router)
		conn, err := net.Dial("tcp4", web.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		body := `{"messages":[{"role":"user","content":"a"}]}`
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		// The rest is under way as the connection is closed.
		time.Sleep(50 * time.Millisecond)
		web.CloseClientConnections()
		if n, err := io.Copy(io.Discard, response.Body); err == nil || n >= longAnswer {
			t.Errorf("%s: an answer of which %d bytes came looks whole", path, n)
		}
		_ = conn.Close()
		web.Close()
	}
}
