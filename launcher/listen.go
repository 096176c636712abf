package launcher

import (
	"context"
	"net"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/granter"
	"sapphiredrum.example/sapphiredrum/server"
)

// listener is an open port and what answers on it.
type listener struct {
	name     string
	listener net.Listener
	handler  http.Handler
}

// listen opens the host's three ports, all or none.
func (h *Host) listen() ([]listener, error) {
	wanted := []struct {
		name    string
		address sd.Address
		handler http.Handler
	}{
		{"callers", h.settings.Caller, h.callerRouter()},
		{"peers", h.settings.Peer, h.peerRouter()},
		{"operators", h.settings.Operator, h.operatorRouter()},
	}
	var open []listener
	for _, w := range wanted {
		l, err := net.Listen("tcp", string(w.address))
		if err != nil {
			for _, o := range open {
				_ = o.listener.Close()
			}
			return nil, sd.Unavailable.Wrap(err, "cannot listen for %s on %s", w.name, w.address)
		}
		h.outside.Log.Info("listens", zap.Int("event", eventListens), zap.String("for", w.name), zap.Stringer("address", l.Addr()))
		open = append(open, listener{name: w.name, listener: l, handler: w.handler})
	}
	return open, nil
}

// addServer adds the server of a port. Its end lets open requests end.
func (h *Host) addServer(group *run.Group, l listener) {
	served := &http.Server{Handler: l.handler, ReadHeaderTimeout: headerTimeout.Duration()}
	group.Add(func() error {
		err := served.Serve(l.listener)
		if err == http.ErrServerClosed {
			return nil
		}
		return err
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout.Duration())
		defer cancel()
		if served.Shutdown(ctx) != nil {
			_ = served.Close()
		}
	})
}

// callerRouter returns the handler of the callers' port.
func (h *Host) callerRouter() http.Handler {
	router := newRouter()
	router.Use(h.activity.watch)
	callers := &server.Callers{
		Calls: h.forwarder, Config: h.follower.Current, Streams: &h.streams,
		Meter: h.meter, Clock: h.outside.Clock, Body: h.settings.Body,
	}
	callers.Register(router)
	return router
}

// peerRouter returns the handler of the peers' port.
func (h *Host) peerRouter() http.Handler {
	router := newRouter()
	h.admitter.Register(router)
	h.granter.Register(router)
	granter.RegisterKeeper(router, lives{host: h})
	h.forwarder.Register(router)
	h.copier.register(router)
	h.beats.register(router)
	h.meter.register(router)
	relay{table: h.outside.Table, client: h.client}.register(router)
	h.registerStatus(router)
	return router
}

// newRouter returns an echo router that prints nothing.
func newRouter() *echo.Echo {
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.Logger.SetOutput(discard{})
	return router
}

// discard drops what is written to it.
type discard struct{}

// Write drops text.
func (discard) Write(text []byte) (int, error) {
	return len(text), nil
}

const (
	headerTimeout = 10 * sd.Second
	closeTimeout  = 5 * sd.Second
)
