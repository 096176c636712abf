package starter

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/messenger"
	"sapphiredrum.example/sapphiredrum/platform"
	"sapphiredrum.example/sapphiredrum/relayer"
)

const (
	// headerBytes bounds a request's head; plans allow less.
	headerBytes = 64 << 10
	// headTimeout bounds the time to send a head, unless the plan says less.
	headTimeout = 10 * sd.Second
	// lookTwice is how long a draining host still takes connections: the platform
	// looks once a second and takes a host out after two misses.
	lookTwice = 2600 * sd.Millisecond
	// drainReserve is what is left of the grace when the last requests are cut.
	drainReserve = 1200 * sd.Millisecond
	// flushReserve is what is left of the grace when open writes are given up.
	flushReserve = 500 * sd.Millisecond
	// filePoll is how often the settings file is looked at.
	filePoll = sd.Second
	// handlerPoll is how often a host that drains looks whether requests run.
	handlerPoll = 10 * sd.Millisecond
	// idlePoll is how often idle connections of callers are looked at.
	idlePoll = 500 * sd.Millisecond
	// metricsPath is where deploy/system.toml says that the metrics are.
	metricsPath = "/metrics"
	// defaultIdle is how long idle connections are kept before there is a plan.
	defaultIdle = 60 * sd.Second
)

// serve opens the ports and serves until stop ends, then drains.
func (h *Host) serve(ctx, stop context.Context) error {
	server := func(handler http.Handler, c *connections) *http.Server {
		return &http.Server{
			Handler: c.serving(handler), MaxHeaderBytes: headerBytes, ReadHeaderTimeout: headTimeout.Duration(),
			ConnState: c.changed, ConnContext: connContext, ErrorLog: zap.NewStdLog(h.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
		}
	}
	callers, peers := server(h.callerHandler(), h.callers), server(h.peerHandler(), h.peerConns)
	ready, measures := server(h.platformHandler(), h.readyConns), server(h.platformHandler(), h.readyConns)
	ends := make(chan error, 4)
	open := []struct {
		server  *http.Server
		address sd.Address
		conns   *connections
	}{
		{peers, h.settings.Peers, h.peerConns},
		{measures, h.settings.Metrics, h.readyConns},
		{callers, h.settings.Callers, h.callers},
		{ready, h.settings.Ready, h.readyConns},
	}
	if h.settings.Metrics == "" {
		open = slices.Delete(open, 1, 2)
	}
	for i, o := range open {
		listener, err := net.Listen("tcp4", string(o.address))
		if err != nil {
			for _, earlier := range open[:i] {
				earlier.conns.end()
				_ = earlier.server.Close()
				<-ends
			}
			return sd.Unavailable.Wrap(err, "port %s", o.address)
		}
		go func() { ends <- o.server.Serve(o.conns.listen(listener)) }()
	}
	var err error
	select {
	case <-ctx.Done():
	case <-stop.Done():
		h.drain(ctx, callers)
	case err = <-ends:
		ends <- err
	}
	for _, o := range open {
		o.conns.end()
		_ = o.server.Close()
	}
	for range open {
		<-ends
	}
	return err
}

// drain finishes what runs: see the package's page.
func (h *Host) drain(ctx context.Context, callers *http.Server) {
	began := h.clock.Now()
	h.draining.Store(true)
	h.log.Info("host drains", zap.Int("event", eventDrains), zap.Int64("grace_ms", int64(h.settings.Grace)))
	left := func(reserve sd.Millis) time.Duration {
		return max(h.settings.Grace-reserve-h.clock.Now().Since(began), 0).Duration()
	}
	limited, cancel := context.WithTimeout(ctx, left(drainReserve))
	tunnels := make(chan error, 1)
	go func() { tunnels <- h.tunneler.Drain(limited) }()
	pause(ctx, lookTwice)
	err := callers.Shutdown(limited)
	if err == nil {
		err = h.callers.awaitHandlers(limited)
	}
	used := <-tunnels
	cancel()
	limited, cancel = context.WithTimeout(ctx, left(flushReserve))
	flushed := h.receiver.WaitSettled(limited) && h.archive.Flush(limited)
	h.allotter.Leave(limited)
	gone := h.publisher.remove(limited)
	cancel()
	h.log.Info("host has drained", zap.Int("event", eventDrains), zap.Bool("flushed", flushed),
		zap.NamedError("cut", err), zap.NamedError("tunnels", used), zap.NamedError("row", gone))
}

// callerHandler serves callers; while the host drains or is cut off they are asked
// to close their connections.
func (h *Host) callerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		isolated := h.isolated()
		if h.draining.Load() || isolated {
			w.Header().Set("Connection", "close")
		}
		h.receiver.SetIsolated(isolated)
		h.receiver.ServeHTTP(w, req)
	})
}

// platformHandler serves the readiness check and the metrics.
func (h *Host) platformHandler() http.Handler {
	e := echo.New()
	e.GET(platform.ReadyPath, func(c echo.Context) error {
		h.readyHandler(c.Response())
		return nil
	})
	e.GET(metricsPath, func(c echo.Context) error {
		h.measures.Set.WritePrometheus(c.Response())
		return nil
	})
	return e
}

// peerHandler serves other hosts.
func (h *Host) peerHandler() http.Handler {
	e := echo.New()
	messenger.Handle(e, relayer.Message, h.relay.Answer)
	h.archive.RegisterHandlers(e)
	h.allotter.RegisterHandlers(e)
	h.tunneler.RegisterHandlers(e)
	return limitMessages(h.budget, e)
}

// reload reads the settings again on SIGHUP and when the file has changed.
func (h *Host) reload(ctx context.Context) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	last, err := os.ReadFile(h.path)
	if err != nil {
		h.log.Warn("settings cannot be read", zap.Int("event", eventReload), zap.Error(err))
	}
	ticker := time.NewTicker(filePoll.Duration())
	defer ticker.Stop()
	for {
		asked := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hangups:
			asked = true
		case <-ticker.C:
		}
		content, err := os.ReadFile(h.path)
		if err != nil {
			h.log.Warn("settings cannot be read", zap.Int("event", eventReload), zap.Error(err))
			continue
		}
		if !asked && bytes.Equal(content, last) {
			continue
		}
		last = content
		settings, err := platform.ParseSettings(content)
		if err != nil {
			h.log.Error("settings are kept as they were", zap.Int("event", eventReload), zap.Error(err))
			continue
		}
		h.log.Info("settings read again", zap.Int("event", eventReload), zap.Bool("signal", asked),
			zap.Bool("changed", settings != h.settings))
	}
}

// pause waits, and reports false if ctx ended first.
func pause(ctx context.Context, length sd.Millis) bool {
	timer := time.NewTimer(length.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
