package server

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	neturl "net/url"
	"strings"

	"github.com/labstack/echo/v4"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/follower"
)

// Callers serves the callers' HTTP API. All fields are set before Register.
type Callers struct {
	Calls   sd.CallHandler
	Config  func() *follower.Config
	Streams *Streams
	Meter   sd.Meter
	Clock   sd.Clock
	// Body bounds a request's body.
	Body sd.Bytes
}

// Register adds the API's paths to a router.
func (s *Callers) Register(router *echo.Echo) {
	router.POST("/programs", s.create)
	router.GET("/programs/:id", s.describe)
	router.DELETE("/programs/:id", s.end)
	router.Any("/*", s.call)
}

// programRequest is the body of POST /programs.
type programRequest struct {
	Budget sd.Tokens    `json:"budget"`
	Parent sd.ProgramID `json:"parent"`
}

// programAnswer describes a program.
type programAnswer struct {
	Program sd.ProgramID `json:"program"`
	Head    string       `json:"head"`
	State   string       `json:"state"`
	Budget  sd.Tokens    `json:"budget"`
	Spent   sd.Tokens    `json:"spent"`
	Turns   int          `json:"turns"`
}

// create answers POST /programs.
func (s *Callers) create(c echo.Context) error {
	caller, _, refusal := s.caller(c)
	if refusal != nil {
		return refuse(c, refusal)
	}
	body, refusal := s.body(c)
	if refusal != nil {
		return refuse(c, refusal)
	}
	var request programRequest
	if len(body) > 0 && json.Unmarshal(body, &request) != nil || request.Budget < 0 {
		return refuse(c, sd.NewRefusal(sd.BadRequest, 0, "the body is not of the form {\"budget\": N, \"parent\": \"...\"}"))
	}
	ctx, stop := context.WithTimeout(c.Request().Context(), programTimeout.Duration())
	defer stop()
	status, err := s.Calls.Create(ctx, sd.CreateRequest{
		Caller: caller, Parent: request.Parent, Budget: request.Budget, BudgetSet: request.Budget > 0,
	})
	return s.answerStatus(c, http.StatusCreated, status, err)
}

// describe answers GET /programs/ID.
func (s *Callers) describe(c echo.Context) error {
	caller, _, refusal := s.caller(c)
	if refusal != nil {
		return refuse(c, refusal)
	}
	ctx, stop := context.WithTimeout(c.Request().Context(), programTimeout.Duration())
	defer stop()
	status, err := s.Calls.Describe(ctx, caller, sd.ProgramID(c.Param("id")))
	return s.answerStatus(c, http.StatusOK, status, err)
}

// end answers DELETE /programs/ID; with ?cancel=true a running call is stopped.
func (s *Callers) end(c echo.Context) error {
	caller, _, refusal := s.caller(c)
	if refusal != nil {
		return refuse(c, refusal)
	}
	cancel := c.QueryParam("cancel") == "true"
	ctx, stop := context.WithTimeout(c.Request().Context(), programTimeout.Duration())
	defer stop()
	status, err := s.Calls.End(ctx, caller, sd.ProgramID(c.Param("id")), cancel)
	return s.answerStatus(c, http.StatusOK, status, err)
}

// answerStatus writes a program's status or a refusal.
func (s *Callers) answerStatus(c echo.Context, code int, status sd.ProgramStatus, err error) error {
	if err != nil {
		return refuse(c, refusalOf(c.Request().Context(), err))
	}
	c.Response().Header().Set(headHeader, status.Head)
	return writeJSON(c, code, programAnswer(status))
}

// call answers a request on a route.
func (s *Callers) call(c echo.Context) error {
	route, found := s.Config().Route(c.Request().URL.Path)
	if !found {
		return refuse(c, sd.NewRefusal(sd.RouteUnknown, 0, "no route serves this path"))
	}
	caller, secret, refusal := s.caller(c)
	if refusal != nil && (!route.Public || secret != "") {
		return refuse(c, refusal)
	}
	request, stream, refusal := s.request(c, route, caller, secret)
	if refusal != nil {
		return refuse(c, refusal)
	}
	ctx, done := s.Streams.Open(c.Request().Context(), caller.Key)
	defer done()
	// A key that was withdrawn before the request was registered must not slip through.
	if caller.Key != "" && !s.Config().Valid(caller.Key) {
		return refuse(c, sd.NewRefusal(sd.KeyRevoked, 0, "the key was withdrawn"))
	}
	ctx, stop := context.WithTimeout(ctx, route.Timeout.Duration())
	defer stop()
	return s.answer(ctx, c, request, stream)
}

// answer runs a call and writes its answer in the form that the caller asked for.
func (s *Callers) answer(ctx context.Context, c echo.Context, request sd.CallRequest, stream bool) error {
	tier := sd.Tier(0)
	if w, found := s.Config().Workspace(request.Caller.Workspace); found {
		tier = w.Tier
	}
	writer := &answerWriter{
		context: c, model: request.Route.Model, stream: stream,
		meter: s.Meter, clock: s.Clock, tier: tier, workspace: request.Caller.Workspace, last: s.Clock.Now(),
	}
	err := s.Calls.Call(ctx, request, writer.frame)
	if err == nil {
		s.Meter.Call(tier, request.Caller.Workspace, nil)
		return nil
	}
	refusal := refusalOf(ctx, err)
	s.Meter.Call(tier, request.Caller.Workspace, refusal)
	return writer.refuse(refusal)
}

// caller resolves the request's key, and returns the key for the check that the
// request does not repeat it.
func (s *Callers) caller(c echo.Context) (sd.Caller, string, *sd.Refusal) {
	secret, _ := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
	key, refusal := s.Config().Credential(secret)
	if refusal != nil {
		return sd.Caller{}, secret, refusal
	}
	url := c.Request().URL
	query, _ := neturl.QueryUnescape(url.RawQuery)
	if repeats(url.RequestURI(), secret) || repeats(url.Path, secret) || repeats(query, secret) {
		return sd.Caller{}, secret, sd.NewRefusal(sd.BadRequest, 0, "the key stands in the URL; send it in the Authorization header only")
	}
	return sd.Caller{Key: key.ID, Workspace: key.Workspace}, secret, nil
}

// body reads a request's body up to the bound.
func (s *Callers) body(c echo.Context) ([]byte, *sd.Refusal) {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, int64(s.Body)+1))
	if err != nil {
		return nil, sd.NewRefusal(sd.BadRequest, 0, "the body could not be read")
	}
	if sd.Bytes(len(body)) > s.Body {
		return nil, sd.NewRefusal(sd.TooLarge, 0, "the body is too large")
	}
	return body, nil
}

// request builds a call from an HTTP request; stream tells whether the answer
// goes out as server-sent events.
func (s *Callers) request(c echo.Context, route sd.Route, caller sd.Caller, secret string) (sd.CallRequest, bool, *sd.Refusal) {
	header := c.Request().Header
	request := sd.CallRequest{
		Caller: caller, Route: route,
		Program: sd.ProgramID(header.Get(programHeader)),
		Call:    sd.CallID(header.Get(callHeader)),
		Head:    header.Get(headHeader),
	}
	if repeats(string(request.Call), secret) || repeats(string(request.Program), secret) || repeats(request.Head, secret) {
		return request, false, sd.NewRefusal(sd.BadRequest, 0, "a header repeats the caller's key")
	}
	if len(request.Call) > maxCallID {
		return request, false, sd.NewRefusal(sd.BadRequest, 0, callHeader+" is too long")
	}
	if request.Call != "" && request.Program == "" {
		return request, false, sd.NewRefusal(sd.BadRequest, 0, callHeader+" needs "+programHeader)
	}
	body, refusal := s.body(c)
	if refusal != nil {
		return request, false, refusal
	}
	if route.Kind == sd.ServiceRoute {
		request.Service, refusal = serviceCall(c, body, secret)
		return request, false, refusal
	}
	if c.Request().Method != http.MethodPost {
		return request, false, sd.NewRefusal(sd.MethodNotAllowed, 0, "model routes take POST")
	}
	chat, refusal := parseChat(body, route)
	if refusal != nil {
		return request, false, refusal
	}
	request.Messages, request.Limit = chat.messages(), chat.Limit
	for _, m := range request.Messages {
		if repeats(m.Content, secret) {
			return request, false, sd.NewRefusal(sd.BadRequest, 0, "a message repeats the caller's key")
		}
	}
	return request, chat.Stream, nil
}

// serviceCall builds a service call from the allowed parts of a request.
func serviceCall(c echo.Context, body []byte, secret string) (sd.ServiceCall, *sd.Refusal) {
	call := sd.ServiceCall{Method: c.Request().Method, Path: c.Request().URL.RequestURI(), Body: body}
	for _, name := range serviceHeaders() {
		value := c.Request().Header.Get(name)
		if value == "" {
			continue
		}
		if repeats(value, secret) {
			return call, sd.NewRefusal(sd.BadRequest, 0, "a header repeats the caller's key")
		}
		call.Headers = append(call.Headers, sd.Header{Name: name, Value: value})
	}
	if secret != "" && bytes.Contains(body, []byte(secret)) {
		return call, sd.NewRefusal(sd.BadRequest, 0, "the body repeats the caller's key")
	}
	return call, nil
}

// serviceHeaders lists the headers that reach a service.
func serviceHeaders() []string {
	return []string{"Accept", "Accept-Language", "Content-Type", "Content-Language"}
}

// repeats reports whether text holds the secret.
func repeats(text, secret string) bool {
	return secret != "" && strings.Contains(text, secret)
}

const (
	maxCallID = 128
	// programTimeout bounds the requests that open, show and end programs.
	programTimeout = 10 * sd.Second
)
