package sapphiredrum

import (
	"context"
	"net"
)

// Dialer opens connections to targets. Implementations are safe for concurrent use.
type Dialer interface {
	// Dial opens a connection to a target within the timeout. The error is
	// syscall.ECONNREFUSED, possibly wrapped, only if the target's process is down.
	Dial(ctx context.Context, target Address, timeout Millis) (net.Conn, error)
	// Usable reports whether a connection returned by Dial that is idle may carry another
	// request to the target.
	Usable(conn net.Conn, target Address) bool
}

// RelayedConn is implemented by connections to targets that another host copies.
type RelayedConn interface {
	net.Conn
	// Through returns the address of that host.
	Through() Address
}
