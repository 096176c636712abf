package tunneler

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/gossiper"
)

// attempt is the result of one way to a target.
type attempt struct {
	conn   net.Conn
	err    error
	tunnel bool
}

// race opens a connection directly and through a tunnel.
type race struct {
	*Tunneler
	target            sd.Address
	timeout           sd.Millis
	routes            []gossiper.Peer
	ctx               context.Context
	stop              context.CancelFunc
	results           chan attempt
	open              int
	direct, tunnelled bool
	// down is set if another host says that the target's process is down.
	down bool
}

// startDirect begins a direct connection, unless that was done.
func (r *race) startDirect() {
	if r.direct || r.ctx.Err() != nil {
		return
	}
	r.direct = true
	r.open++
	go func() {
		conn, err := r.Direct.Dial(r.ctx, r.target, r.timeout)
		r.results <- attempt{conn: conn, err: err}
	}()
}

// startTunnel begins a tunnel, unless that was done.
func (r *race) startTunnel() {
	if r.tunnelled || r.ctx.Err() != nil {
		return
	}
	r.tunnelled = true
	r.open++
	go func() {
		conn, err := r.openTunnel(r.ctx, r.routes, r.target)
		r.results <- attempt{conn: conn, err: err, tunnel: true}
	}()
}

// finish waits for the slower way, closes its connection, and records what both ways tell
// of the path to the target. winner is zero if neither way had succeeded.
func (r *race) finish(winner attempt) {
	defer r.running.Done()
	defer r.stop()
	reached, tunnelled := winner.conn != nil && !winner.tunnel, winner.conn != nil && winner.tunnel
	if reached {
		r.stop()
	}
	for ; r.open > 0; r.open-- {
		a := <-r.results
		if a.err != nil {
			continue
		}
		_ = a.conn.Close()
		reached, tunnelled = reached || !a.tunnel, tunnelled || a.tunnel
	}
	switch {
	case reached:
		r.reach(r.target)
	case tunnelled:
		r.miss(r.target)
		r.survey()
	case !r.down:
		r.survey()
	}
}

// routes returns the hosts through which a tunnel may be opened, in the order in which
// they are asked: by turns one of the own zone and one of another, as the whole zone
// may be partitioned.
func (t *Tunneler) routes() []gossiper.Peer {
	var near, far []gossiper.Peer
	for _, p := range t.Peers() {
		switch {
		case p.Leaving || p.Detached:
		case p.Zone == t.Zone:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	var routes []gossiper.Peer
	for i := range max(len(near), len(far)) {
		routes = append(routes, near[min(i, len(near)):min(i+1, len(near))]...)
		routes = append(routes, far[min(i, len(far)):min(i+1, len(far))]...)
	}
	return routes[:min(len(routes), maxRoutes)]
}

// openTunnel opens a tunnel through the first host that connects to the target. The error
// is syscall.ECONNREFUSED if a host that reaches other targets says that this one refuses
// connections, or if it is the only target and refuses those of all hosts asked.
func (t *Tunneler) openTunnel(ctx context.Context, routes []gossiper.Peer, target sd.Address) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan attempt, len(routes))
	next, open := 0, 0
	start := func() {
		through := routes[next]
		next++
		open++
		go func() {
			conn, err := openThrough(ctx, t.Clock, through, target)
			results <- attempt{conn: conn, err: err}
		}()
	}
	// The caller counts in running until all ways have ended.
	finish := func() {
		defer t.running.Done()
		cancel()
		for range open {
			if a := <-results; a.err == nil {
				_ = a.conn.Close()
			}
		}
	}
	start()
	timer := time.NewTimer(routeDelay.Duration())
	defer timer.Stop()
	alone := 0
	var failure error
	for open > 0 {
		select {
		case <-timer.C:
		case a := <-results:
			open--
			if errorx.IsOfType(a.err, refusedAlone) {
				alone++
			}
			if a.err == nil || errors.Is(a.err, syscall.ECONNREFUSED) {
				t.running.Add(1)
				go finish()
				if a.err == nil && t.Opened != nil {
					t.Opened()
				}
				return a.conn, a.err
			}
			failure = a.err
		}
		if next < len(routes) && ctx.Err() == nil {
			start()
			timer.Reset(routeDelay.Duration())
		}
	}
	cancel()
	if alone == next {
		return nil, syscall.ECONNREFUSED
	}
	return nil, failure
}
