package launcher

import (
	"sync"

	"github.com/labstack/echo/v4"

	sd "sapphiredrum.example/sapphiredrum"
)

// activity follows the callers' requests, so that a host that leaves knows when
// callers have stopped coming.
type activity struct {
	clock sd.Clock

	// mu guards what follows.
	mu      sync.Mutex
	open    int
	latest  sd.Instant
	leaving bool
}

// watch is the middleware that counts requests. While the host leaves it asks
// callers not to use their connection again.
func (a *activity) watch(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if a.begin() {
			c.Response().Header().Set("Connection", "close")
		}
		defer a.end()
		return next(c)
	}
}

// leave tells that the host leaves.
func (a *activity) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	a.latest = a.clock.Now()
}

// quiet returns for how long there was no request, zero while one is open.
func (a *activity) quiet() sd.Millis {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open > 0 {
		return 0
	}
	return a.clock.Now().Since(a.latest)
}

// begin counts a request and reports whether the host leaves.
func (a *activity) begin() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open++
	return a.leaving
}

// end counts the end of a request.
func (a *activity) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open--
	a.latest = a.clock.Now()
}
