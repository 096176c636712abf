package forwarder_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/follower"
	"sapphiredrum.example/sapphiredrum/forwarder"
	"sapphiredrum.example/sapphiredrum/messenger"
)

// elsewhere is a locator of a host that holds nothing.
type elsewhere struct{ owner sd.Address }

func (e elsewhere) Owns(sd.ShardID) (sd.Epoch, bool)     { return 0, false }
func (e elsewhere) Locate(sd.ShardID) (sd.Address, bool) { return e.owner, e.owner != "" }

// forward sends a call of the given kind to a keeper and returns its refusal.
func forward(t *testing.T, keeper sd.Address, route sd.Route) *sd.Refusal {
	t.Helper()
	client := messenger.NewClient(nil)
	defer client.Close()
	config := follower.NewConfig(1, sd.Config{Zones: []sd.Zone{{Name: "z"}}})
	f := &forwarder.Forwarder{
		Parts: forwarder.Parts{
			Zone: "z", Locator: elsewhere{owner: keeper}, Client: client, Clock: sd.NewClock(),
			Config: func() *follower.Config { return config }, Refresh: func() {},
		},
		Settings: forwarder.Settings{Patience: 100},
	}
	request := sd.CallRequest{Program: sd.NewProgramID(sd.ShardID{Zone: "z", Number: 1}), Route: route}
	err := f.Call(context.Background(), request, func(sd.Frame) error { return nil })
	var refusal *sd.Refusal
	if !errors.As(err, &refusal) {
		t.Fatalf("got %v, want a refusal", err)
	}
	return refusal
}

// A call whose keeper got the message and never answered is not said to be not
// run, whichever kind it is; one that no keeper can have got is.
func TestOutcomeOfLostKeeper(t *testing.T) {
	var sent atomic.Int64
	deaf := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		sent.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer deaf.Close()
	address := sd.Address(strings.TrimPrefix(deaf.URL, "http://"))
	model := sd.Route{Kind: sd.ModelRoute}
	if refusal := forward(t, address, model); refusal.Outcome != sd.Unknown || refusal.RetryAfter == 0 {
		t.Errorf("a lost model call: %+v", refusal)
	}
	if sent.Load() < 2 {
		t.Errorf("a model call was tried %d times", sent.Load())
	}
	sent.Store(0)
	if refusal := forward(t, address, sd.Route{Kind: sd.ServiceRoute}); refusal.Outcome != sd.Unknown || sent.Load() != 1 {
		t.Errorf("a lost call that must run once: %+v after %d tries", refusal, sent.Load())
	}
	if refusal := forward(t, "127.0.0.1:1", model); refusal.Outcome != sd.NotRun {
		t.Errorf("a call that no keeper got: %+v", refusal)
	}
	if refusal := forward(t, "", model); refusal.Outcome != sd.NotRun {
		t.Errorf("a call without a keeper: %+v", refusal)
	}
}
