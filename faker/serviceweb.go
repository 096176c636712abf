package faker

import (
	"io"
	"net/http"
	"sort"

	"github.com/labstack/echo/v4"

	"sapphiredrum.example/sapphiredrum"
)

// serviceWeb serves a service.
type serviceWeb struct {
	service *Service
	watch   watch
}

// Bodies of the control requests and answers.
type (
	serviceFaultsBody struct {
		Faults  ServiceFaults `json:"faults"`
		Secrets []string      `json:"secrets"`
	}
	serviceCountersBody struct {
		Service  ServiceCounters `json:"service"`
		Requests RequestCounters `json:"requests"`
	}
)

// ServiceHandler serves a service over HTTP: any method and path is a call, the
// header Sapphiredrum-Stream names its stream. POST /faults sets the faults; GET
// /counters tells what ran, GET /load what runs now.
func ServiceHandler(service *Service) http.Handler {
	w := &serviceWeb{service: service}
	web := newWeb(&w.watch)
	web.POST("/faults", w.setFaults)
	web.GET("/counters", w.counters)
	web.GET("/load", w.load)
	web.Any("/*", w.call)
	return web
}

// call serves every other request.
func (w *serviceWeb) call(c echo.Context) error {
	request := c.Request()
	body, err := readBytes(c)
	if err != nil {
		return err
	}
	call := sapphiredrum.ServiceCall{
		Stream:  sapphiredrum.StreamID(request.Header.Get(streamHeader)),
		Method:  request.Method,
		Path:    request.URL.RequestURI(),
		Headers: headers(request.Header),
		Body:    body,
	}
	answer, err := w.service.Call(request.Context(), call)
	if err != nil {
		return err
	}
	for _, h := range answer.Headers {
		c.Response().Header().Add(h.Name, h.Value)
	}
	c.Response().WriteHeader(answer.Status)
	_, err = c.Response().Write(answer.Body)
	return err
}

// setFaults serves POST /faults.
func (w *serviceWeb) setFaults(c echo.Context) error {
	var body serviceFaultsBody
	if err := c.Bind(&body); err != nil {
		return err
	}
	w.service.SetFaults(body.Faults)
	w.watch.watchFor(body.Secrets)
	return c.NoContent(http.StatusNoContent)
}

// counters serves GET /counters.
func (w *serviceWeb) counters(c echo.Context) error {
	return c.JSON(http.StatusOK, serviceCountersBody{Service: w.service.Counters(), Requests: w.watch.seen()})
}

// headers returns a header's lines sorted by name.
func headers(header http.Header) []sapphiredrum.Header {
	var lines []sapphiredrum.Header
	for name, values := range header {
		for _, value := range values {
			lines = append(lines, sapphiredrum.Header{Name: name, Value: value})
		}
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Name < lines[j].Name })
	return lines
}

// readBytes returns a request's body.
func readBytes(c echo.Context) ([]byte, error) {
	return io.ReadAll(c.Request().Body)
}
