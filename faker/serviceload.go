package faker

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"sapphiredrum.example/sapphiredrum"
)

// Load returns the service's report of its own load; it does not lag.
func (s *Service) Load() sapphiredrum.Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return sapphiredrum.Load{Incarnation: 1, Running: sapphiredrum.Slots(s.counters.Running)}
}

// load serves GET /load.
func (w *serviceWeb) load(c echo.Context) error {
	return c.JSON(http.StatusOK, w.service.Load())
}
