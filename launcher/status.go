package launcher

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/messenger"
)

// Status is what a host tells operators about itself.
type Status struct {
	Host     sd.HostID
	Zone     sd.ZoneName
	Address  sd.Address
	Ready    bool
	Reaches  bool
	Revision sd.Revision
	// Shards counts those that the host holds with their programs restored.
	Shards int
	Open   int
	Peers  []sd.HostID
}

// StatusQuestion asks a host for its status.
type StatusQuestion struct{}

// status describes the host now.
func (h *Host) status() Status {
	s := Status{
		Host: h.settings.Name, Zone: h.settings.Zone, Address: h.settings.Advertise, Ready: h.ready.Load(),
		Reaches: h.leaser.Reaches(), Revision: h.follower.Current().Revision, Open: h.streams.Count(),
	}
	for number := range sd.ShardsPerZone {
		shard := sd.ShardID{Zone: h.settings.Zone, Number: number}
		if _, held := h.leaser.Holds(shard); held && h.performer.Keeps(shard) {
			s.Shards++
		}
	}
	for _, m := range h.leaser.Members() {
		s.Peers = append(s.Peers, m.Host)
	}
	return s
}

// registerStatus adds the messages that operators' commands send.
func (h *Host) registerStatus(router messenger.Router) {
	messenger.Handle(router, "status", func(context.Context, StatusQuestion) (Status, error) {
		return h.status(), nil
	})
}

// operatorRouter returns the handler of the operators' port.
func (h *Host) operatorRouter() http.Handler {
	router := newRouter()
	router.GET("/live", func(c echo.Context) error { return c.NoContent(http.StatusNoContent) })
	router.GET("/ready", func(c echo.Context) error {
		if !h.ready.Load() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusNoContent)
	})
	router.GET("/status", func(c echo.Context) error { return c.JSON(http.StatusOK, h.status()) })
	router.GET("/metrics", func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentType, echo.MIMETextPlainCharsetUTF8)
		h.meter.write(c.Response())
		return nil
	})
	return router
}

// Keeps reports whether this host keeps a program now.
func (h *Host) Keeps(program sd.ProgramID) bool {
	shard, err := program.Shard()
	if err != nil {
		return false
	}
	_, held := h.leaser.Holds(shard)
	return held && h.performer.Keeps(shard)
}
