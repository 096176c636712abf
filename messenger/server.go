package messenger

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"

	sd "sapphiredrum.example/sapphiredrum"
)

// Router is where messages are registered.
type Router interface {
	POST(path string, handler echo.HandlerFunc, middleware ...echo.MiddlewareFunc) *echo.Route
}

// Handle registers the function that answers the named message.
func Handle[Q, A any](router Router, name string, answer func(ctx context.Context, request Q) (A, error)) {
	router.POST(pathPrefix+name, func(c echo.Context) error {
		request, err := receive[Q](c)
		if err != nil {
			return c.JSON(http.StatusOK, seal(nil, err))
		}
		body, err := answer(c.Request().Context(), request)
		return send(c, seal(body, err))
	})
}

// send writes an answer. Its body is written as it is, as encoding it again would take its size in
// memory once more.
func send(c echo.Context, sealed envelope) error {
	if len(sealed.Body) == 0 {
		return c.JSON(http.StatusOK, sealed)
	}
	response := c.Response()
	response.Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	response.WriteHeader(http.StatusOK)
	for _, part := range [][]byte{[]byte(`{"body":`), sealed.Body, []byte("}\n")} {
		if _, err := response.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// Stream registers the function that answers the named message with frames. An
// error of the function ends the stream and reaches the asking peer.
func Stream[Q, F any](router Router, name string, answer func(ctx context.Context, request Q, send func(F) error) error) {
	router.POST(pathPrefix+name, func(c echo.Context) error {
		request, err := receive[Q](c)
		if err != nil {
			return c.JSON(http.StatusOK, seal(nil, err))
		}
		response := c.Response()
		response.Header().Set(echo.HeaderContentType, contentType)
		response.WriteHeader(http.StatusOK)
		lines := json.NewEncoder(response)
		write := func(line envelope) error {
			if err := lines.Encode(line); err != nil {
				return sd.Uncertain.Wrap(err, "the peer no longer reads")
			}
			response.Flush()
			return nil
		}
		err = answer(c.Request().Context(), request, func(frame F) error { return write(seal(frame, nil)) })
		if err != nil {
			return write(seal(nil, err))
		}
		return write(envelope{End: true})
	})
}

// receive reads a message's request.
func receive[Q any](c echo.Context) (Q, error) {
	var request Q
	body := http.MaxBytesReader(c.Response(), c.Request().Body, int64(maxRequest))
	if err := json.NewDecoder(body).Decode(&request); err != nil {
		return request, sd.NewRefusal(sd.BadRequest, 0, "a peer's message does not parse")
	}
	return request, nil
}
