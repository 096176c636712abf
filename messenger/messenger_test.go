package messenger_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/joomcode/errorx"
	"github.com/labstack/echo/v4"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/messenger"
)

type question struct{ Text string }

type reply struct{ Length int }

// serve starts a peer with one message of each shape.
func serve(t interface{ Cleanup(func()) }) sd.Address {
	router := echo.New()
	messenger.Handle(router, "length", func(_ context.Context, q question) (reply, error) {
		switch q.Text {
		case "refuse":
			return reply{}, &sd.Refusal{Reason: sd.Overloaded, Outcome: sd.Unknown, RetryAfter: 70, Detail: "busy"}
		case "conflict":
			return reply{}, sd.Conflict.New("changed by another")
		}
		return reply{Length: len(q.Text)}, nil
	})
	messenger.Stream(router, "letters", func(_ context.Context, q question, send func(question) error) error {
		for _, r := range q.Text {
			if err := send(question{Text: string(r)}); err != nil {
				return err
			}
		}
		if q.Text == "cut" {
			panic("the connection breaks")
		}
		return nil
	})
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	return sd.Address(strings.TrimPrefix(server.URL, "http://"))
}

type cleaner struct{ steps []func() }

func (c *cleaner) Cleanup(step func()) { c.steps = append(c.steps, step) }

func ExampleAsk() {
	var cleanup cleaner
	address := serve(&cleanup)
	client := messenger.NewClient(nil)
	answer, err := messenger.Ask[question, reply](context.Background(), client, address, "length", question{Text: "four"})
	fmt.Println(answer.Length, err)
	client.Close()
	cleanup.steps[0]()
	// Output: 4 <nil>
}

// Refusals and typed errors mean the same on both sides; an absent peer is
// told apart from a lost answer.
func TestErrorsCross(t *testing.T) {
	address := serve(t)
	client := messenger.NewClient(nil)
	defer client.Close()
	ctx := context.Background()
	_, err := messenger.Ask[question, reply](ctx, client, address, "length", question{Text: "refuse"})
	var refusal *sd.Refusal
	if !errors.As(err, &refusal) {
		t.Fatalf("got %v, want a refusal", err)
	}
	want := &sd.Refusal{Reason: sd.Overloaded, Outcome: sd.Unknown, RetryAfter: 70, Detail: "busy"}
	if diff := cmp.Diff(want, refusal); diff != "" {
		t.Fatal(diff)
	}
	_, err = messenger.Ask[question, reply](ctx, client, address, "length", question{Text: "conflict"})
	if !errorx.IsOfType(err, sd.Conflict) {
		t.Fatalf("got %v, want a conflict", err)
	}
	_, err = messenger.Ask[question, reply](ctx, client, "127.0.0.1:1", "length", question{})
	if !errorx.IsOfType(err, sd.Unavailable) {
		t.Fatalf("got %v, want unavailable", err)
	}
}

// A stream that ends without its end mark is never taken for a whole one.
func TestStreamEndsWhole(t *testing.T) {
	address := serve(t)
	client := messenger.NewClient(nil)
	defer client.Close()
	for text, whole := range map[string]bool{"abc": true, "cut": false} {
		got := ""
		err := messenger.Follow(context.Background(), client, address, "letters", question{Text: text},
			func(q question) error { got += q.Text; return nil })
		if got != text || (err == nil) != whole {
			t.Errorf("%s: got %q, %v", text, got, err)
		}
	}
}
