package relayer

import (
	"context"
	"math/rand/v2"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/gossiper"
	"sapphiredrum.example/sapphiredrum/messenger"
	"sapphiredrum.example/sapphiredrum/reserver"
)

// Order is a call in the form in which peers pass it on.
type Order struct {
	Update *sd.Update `json:"update,omitempty"`
	List   *listOrder `json:"list,omitempty"`
	Watch  *watch     `json:"watch,omitempty"`
}

type listOrder struct {
	Table, Part, From, To string
}

type watch struct {
	Table string
	After uint64
	Wait  sd.Millis
}

// part returns the part that a call concerns; tables that are watched lie in the unnamed one.
func (o Order) part() string {
	switch {
	case o.List != nil:
		return o.List.Part
	case o.Update == nil:
		return ""
	}
	for _, list := range [][]sd.Record{o.Update.Expect, o.Update.Put} {
		if len(list) > 0 {
			return list[0].Part
		}
	}
	if len(o.Update.Remove) > 0 {
		return o.Update.Remove[0].Part
	}
	return ""
}

// perform makes a call at a store.
func perform(ctx context.Context, store sd.Store, o Order) (sd.Page, error) {
	switch {
	case o.Update != nil:
		return store.Commit(ctx, *o.Update)
	case o.List != nil:
		return store.List(ctx, o.List.Table, o.List.Part, o.List.From, o.List.To)
	case o.Watch != nil:
		return store.Watch(ctx, o.Watch.Table, o.Watch.After, o.Watch.Wait)
	}
	return sd.Page{}, sd.Unavailable.New("empty order")
}

// definite reports whether an error is the store's own word, or this host's of an answer for which it
// had no room.
func definite(err error) bool {
	return err == nil || errorx.IsOfType(err, sd.Conflict) || errorx.IsOfType(err, sd.NotFound) || errorx.IsOfType(err, reserver.Exhausted)
}

// Result is what a peer returns. A conflict comes with its page, so errors are
// told by their kind.
type Result struct {
	Page    sd.Page
	Kind    string
	Message string
}

// The kinds of errors on the wire between hosts.
const (
	kindUnavailable = "unavailable"
	kindCrowded     = "crowded"
	kindUncertain   = "uncertain"
	kindConflict    = "conflict"
	kindAbsent      = "absent"
)

// ask has a peer make the call, one of the own zone if there is one.
func (r *Relay) ask(ctx context.Context, o Order) (sd.Page, error) {
	peers := r.peers(true)
	if len(peers) == 0 {
		return sd.Page{}, sd.Unavailable.New("no peer reaches the store")
	}
	var near []gossiper.Peer
	for _, p := range peers {
		if p.Zone == r.zone {
			near = append(near, p)
		}
	}
	if len(near) > 0 {
		peers = near
	}
	peer := peers[rand.IntN(len(peers))]
	if r.Relayed != nil {
		r.Relayed()
	}
	got, err := messenger.Ask[Order, Result](ctx, r.client, peer.Address, Message, o)
	if err != nil {
		return sd.Page{}, sd.Uncertain.Wrap(err, "peer %s did not answer", peer.Host)
	}
	switch got.Kind {
	case "":
		return got.Page, nil
	case kindConflict:
		return got.Page, sd.Conflict.New("%s", got.Message)
	case kindAbsent:
		return got.Page, sd.NotFound.New("%s", got.Message)
	case kindCrowded:
		return got.Page, sd.Busy.New("%s", got.Message)
	case kindUnavailable:
		return got.Page, sd.Unavailable.New("%s", got.Message)
	}
	return got.Page, sd.Uncertain.New("%s", got.Message)
}

// Message is the name under which hosts send orders to one another.
const Message = "store"

// Answer makes another host's call, directly only.
func (r *Relay) Answer(ctx context.Context, o Order) (Result, error) {
	page, err := r.do(ctx, o, false)
	got := Result{Page: page}
	if err != nil {
		got.Message, got.Kind = err.Error(), kindUncertain
		switch {
		case errorx.IsOfType(err, sd.Conflict):
			got.Kind = kindConflict
		case errorx.IsOfType(err, sd.NotFound):
			got.Kind = kindAbsent
		case errorx.IsOfType(err, sd.Busy):
			got.Kind = kindCrowded
		case errorx.IsOfType(err, sd.Unavailable):
			got.Kind = kindUnavailable
		}
	}
	return got, nil
}
