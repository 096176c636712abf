package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
)

// crudeHost serves the callers' protocol with one fault of its own.
type crudeHost struct {
	fault    string
	mutex    sync.Mutex
	programs map[string][]sapphiredrum.Message
	heads    map[string]int
	refusals int
	keys     map[string]int
}

func (h *crudeHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.keys[r.Header.Get("Authorization")]++
	id := r.Header.Get("Sapphiredrum-Program")
	switch {
	case r.Method == http.MethodDelete:
		delete(h.programs, strings.TrimPrefix(r.URL.Path, "/programs/"))
		fmt.Fprint(w, "{}")
	case r.URL.Path == "/programs":
		id = fmt.Sprint("p", len(h.heads))
		h.programs[id], h.heads[id] = nil, 0
		fmt.Fprintf(w, `{"program": %q, "head": "0"}`, id)
	case r.Header.Get("Sapphiredrum-Head") != fmt.Sprint(h.heads[id]):
		w.WriteHeader(http.StatusConflict)
		fmt.Fprint(w, `{"error": {"reason": "head-stale", "outcome": "not-run"}}`)
	case h.fault == "refused" && h.refusals < 3:
		h.refusals++
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"error": {"reason": "overloaded", "outcome": "not-run", "retry_after_ms": 1}}`)
	case r.URL.Path == "/tool":
		h.heads[id]++
		run := 1
		if h.fault == "repeated" {
			run = 2
		}
		w.Header().Set("Sapphiredrum-Head", fmt.Sprint(h.heads[id]))
		fmt.Fprintf(w, `{"Run": %d}`, run)
	default:
		h.heads[id]++
		h.chat(w, r, id)
	}
}

func (h *crudeHost) chat(w http.ResponseWriter, r *http.Request, id string) {
	var body chatBody
	_ = json.NewDecoder(r.Body).Decode(&body)
	message := sapphiredrum.Message{Role: body.Messages[0].Role, Content: body.Messages[0].Content}
	history := append(h.programs[id], message)
	text := faker.Text(history, body.Limit)
	if h.fault == "mixed" {
		text = faker.Text(history[1:], body.Limit)
	}
	h.programs[id] = append(history, sapphiredrum.Message{Role: faker.Role, Content: text})
	data, _ := json.Marshal(map[string]any{"choices": []any{map[string]any{"delta": messageBody{faker.Role, text}}}})
	fmt.Fprintf(w, "data: %s\n\n", data)
	if h.fault == "cut" {
		return
	}
	fmt.Fprintf(w, "data: {\"head\": \"%d\"}\n\ndata: [DONE]\n\n", h.heads[id])
}

// The report counts what hosts do wrong, and nothing when they do all right;
// refusals as not run are repeated.
func TestLoadReport(t *testing.T) {
	for _, fault := range []string{"", "refused", "mixed", "repeated", "cut"} {
		host := &crudeHost{fault: fault, programs: map[string][]sapphiredrum.Message{}, heads: map[string]int{}, keys: map[string]int{}}
		server := httptest.NewServer(host)
		plan := loadPlan{
			hosts: server.Listener.Addr().String(), keys: "a,b", route: "/chat", tool: "/tool",
			rate: 200, most: 100, duration: 200, grace: 10000, turns: 3, prompt: 3, answer: 5, agents: 0.3, seed: 1,
		}
		report := plan.run(t.Context())
		server.Close()
		if report.Started == 0 || report.Started != report.Finished+report.Failed || len(host.keys) != 2 {
			t.Fatalf("%q: %+v, keys %v", fault, report, host.keys)
		}
		counts := map[string]bool{
			"refused":  report.Retries == 3 && len(report.Refused) == 1 && report.Refused[0].Count == 3,
			"mixed":    report.Mixed > 0,
			"repeated": report.Repeated > 0,
			"cut":      report.Broken > 0 && report.Failed > 0,
		}
		for name, seen := range counts {
			if seen != (name == fault) {
				t.Errorf("%q: %s is %v in %+v", fault, name, seen, report)
			}
		}
		if fault != "cut" && (report.Failed > 0 || len(host.programs) > 0) {
			t.Errorf("%q: %d failed, %d not ended", fault, report.Failed, len(host.programs))
		}
	}
}
