package server_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"
	"pgregory.net/rapid"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/follower"
	"sapphiredrum.example/sapphiredrum/server"
)

const secret = "sd-0123456789abcdef0123456789abcdef"

// calls keeps the last call that came through the server.
type calls struct {
	sd.CallHandler
	last *sd.CallRequest
}

func (c *calls) Call(_ context.Context, request sd.CallRequest, _ func(sd.Frame) error) error {
	c.last = &request
	return sd.NewRefusal(sd.NoTarget, 0, "none")
}

// meter records nothing.
type meter struct{ sd.Meter }

func (meter) Call(sd.Tier, sd.WorkspaceID, *sd.Refusal) {}

// newCallers returns the API over a sheet with one key, an open route and a
// route of each kind.
func newCallers(seen *calls, withdrawn bool) *echo.Echo {
	sheet := sd.Config{
		Workspaces: []sd.Workspace{{ID: "desk"}},
		Keys:       []sd.APIKey{{ID: "desk-1", Workspace: "desk", Digest: follower.Digest(secret), Revoked: withdrawn}},
		Routes: []sd.Route{
			{Name: "chat", Path: "/chat", Kind: sd.ModelRoute, Model: "m1", Timeout: sd.Minute},
			{Name: "courier", Path: "/courier", Kind: sd.ServiceRoute, Timeout: sd.Minute},
			{Name: "prices", Path: "/prices", Kind: sd.ServiceRoute, Public: true, Timeout: sd.Minute},
		},
	}
	config := follower.NewConfig(1, sheet)
	router := echo.New()
	callers := &server.Callers{
		Calls: seen, Config: func() *follower.Config { return config },
		Streams: &server.Streams{}, Meter: meter{}, Body: 1 << 16,
	}
	callers.Register(router)
	return router
}

// Wherever a caller repeats its key, no target sees it: the call is refused, or
// goes on without it.
func TestKeyGoesNoFurther(t *testing.T) {
	places := []string{"none", "path", "query", "escaped", "body", "role", "model", "call", "head", "program", "Accept", "Content-Type", "Cookie", "X-Api-Key", "Referer"}
	rapid.Check(t, func(t *rapid.T) {
		seen := &calls{}
		router := newCallers(seen, false)
		place := rapid.SampledFrom(places).Draw(t, "place")
		path := rapid.SampledFrom([]string{"/chat", "/courier/a", "/prices"}).Draw(t, "path")
		text := map[string]string{"role": "user", "body": "hello", "model": "m1"}
		text[place] = secret
		body := `{"model":"` + text["model"] + `","messages":[{"role":"` + text["role"] + `","content":"` + text["body"] + `"}]}`
		target := path
		switch place {
		case "path":
			target += "/" + secret
		case "query":
			target += "?key=" + secret
		case "escaped":
			target += "?key=" + strings.ReplaceAll(url.QueryEscape(secret), "0", "%30")
		}
		request := httptest.NewRequest(http.MethodPost, target, strings.NewReader(body))
		request.Header.Set("Authorization", "Bearer "+secret)
		for name, at := range map[string]string{
			"Sapphiredrum-Call": "call", "Sapphiredrum-Head": "head", "Sapphiredrum-Program": "program",
			"Accept": "Accept", "Content-Type": "Content-Type", "Cookie": "Cookie", "X-Api-Key": "X-Api-Key", "Referer": "Referer",
		} {
			if at == place {
				request.Header.Set(name, secret)
			}
		}
		if place == "call" {
			request.Header.Set("Sapphiredrum-Program", "zone-1.1.a")
		}
		answer := httptest.NewRecorder()
		router.ServeHTTP(answer, request)
		if place == "none" && (seen.last == nil || seen.last.Caller.Workspace != "desk") {
			t.Fatalf("a plain call was answered %d %s", answer.Code, answer.Body)
		}
		if seen.last != nil {
			plain, _ := url.QueryUnescape(seen.last.Service.Path)
			if passed, _ := json.Marshal(seen.last); strings.Contains(plain, secret) || strings.Contains(string(passed), secret) || strings.Contains(string(seen.last.Service.Body), secret) {
				t.Fatalf("the key in %s of %s went on: %s", place, path, passed)
			}
		}
	})
}

// A withdrawn, unknown or absent key serves nobody but on open routes without one.
func TestKeyDecides(t *testing.T) {
	for key, want := range map[string]int{"": 401, secret: 401, "sd-unknown": 401} {
		for path, open := range map[string]bool{"/chat": false, "/courier": false, "/prices": true} {
			seen := &calls{}
			request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(`{"messages":[{"role":"user","content":"a"}]}`))
			if key != "" {
				request.Header.Set("Authorization", "Bearer "+key)
			}
			answer := httptest.NewRecorder()
			newCallers(seen, true).ServeHTTP(answer, request)
			served := open && key == ""
			if (seen.last != nil) != served || !served && answer.Code != want {
				t.Errorf("key %q on %s: %d, served %v", key, path, answer.Code, seen.last != nil)
			}
		}
	}
}
