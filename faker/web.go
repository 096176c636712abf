package faker

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"

	"github.com/joomcode/errorx"
	"github.com/labstack/echo/v4"

	"sapphiredrum.example/sapphiredrum"
)

// Headers by which a call names its stream, program and fencing number.
const (
	streamHeader  = "Sapphiredrum-Stream"
	programHeader = "Sapphiredrum-Program"
	fenceHeader   = "Sapphiredrum-Fence"
	// notRunHeader marks an answer by which a service states that it did not run
	// the request.
	notRunHeader = "Sapphiredrum-Notrun"
)

// RequestCounters tell what a handler received, whatever came of it.
type RequestCounters struct {
	Requests uint64
	Bytes    sapphiredrum.Bytes
	// Authorizations counts requests with a header named Authorization.
	Authorizations uint64
	// Secrets counts requests that held a watched value in their address, headers
	// or body.
	Secrets uint64
}

// watch counts requests and looks for secrets in them.
type watch struct {
	mutex    sync.Mutex
	counters RequestCounters
	secrets  []string
}

// errorBody is the body of an error's answer.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail names the type of an error.
type errorDetail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}

// newWeb returns an echo server that counts what it receives.
func newWeb(w *watch) *echo.Echo {
	web := echo.New()
	web.HideBanner, web.HidePort = true, true
	web.Use(w.count)
	web.HTTPErrorHandler = answerError
	return web
}

// count reads each request whole, counts it and looks for watched values.
func (w *watch) count(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		request := c.Request()
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return err
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		if request.URL.Path != "/faults" {
			w.inspect(request, body)
		}
		return next(c)
	}
}

// inspect counts one request.
func (w *watch) inspect(request *http.Request, body []byte) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.counters.Requests++
	w.counters.Bytes += sapphiredrum.Bytes(len(body))
	if len(request.Header.Values("Authorization")) > 0 {
		w.counters.Authorizations++
	}
	var lines strings.Builder
	lines.WriteString(request.RequestURI + "\n")
	_ = request.Header.Write(&lines)
	lines.Write(body)
	for _, secret := range w.secrets {
		if secret != "" && strings.Contains(lines.String(), secret) {
			w.counters.Secrets++
			return
		}
	}
}

// watchFor replaces the watched values; nil leaves them as they are.
func (w *watch) watchFor(secrets []string) {
	if secrets == nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.secrets = secrets
}

// seen returns what was received so far.
func (w *watch) seen() RequestCounters {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.counters
}

// answerError writes an error in its typed form. An Uncertain error or a broken
// answer aborts the connection, as the lost answer that it stands for would.
func answerError(err error, c echo.Context) {
	if errorx.IsOfType(err, sapphiredrum.Uncertain) || errorx.IsOfType(err, sapphiredrum.BrokenResponse) || c.Response().Committed {
		panic(http.ErrAbortHandler)
	}
	status, kind := http.StatusInternalServerError, "internal"
	switch {
	case errorx.IsOfType(err, sapphiredrum.Unavailable):
		status, kind = http.StatusServiceUnavailable, "unavailable"
		c.Response().Header().Set(notRunHeader, "1")
	case errorx.IsOfType(err, sapphiredrum.Conflict):
		status, kind = http.StatusConflict, "conflict"
	case errorx.IsOfType(err, sapphiredrum.Fenced):
		status, kind = http.StatusPreconditionFailed, "fenced"
	case errorx.IsOfType(err, sapphiredrum.NotFound):
		status, kind = http.StatusNotFound, "absent"
	}
	if e, ok := err.(*echo.HTTPError); ok {
		status, kind = e.Code, "request"
	}
	_ = c.JSON(status, errorBody{Error: errorDetail{Type: kind, Message: err.Error()}})
}

// parameter returns an unescaped part of the request's path.
func parameter(c echo.Context, name string) (string, error) {
	if c.Request().URL.RawPath == "" {
		return c.Param(name), nil
	}
	text, err := url.PathUnescape(c.Param(name))
	if err != nil {
		return "", echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return text, nil
}

// detached returns the request's context without its end: what was received
// takes effect even if the client gives up.
func detached(c echo.Context) context.Context {
	return context.WithoutCancel(c.Request().Context())
}
