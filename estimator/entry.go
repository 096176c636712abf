package estimator

import (
	"encoding/json"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/follower"
	"sapphiredrum.example/sapphiredrum/picker"
)

// callMessage is the forwarder's.
type callMessage struct {
	Request sapphiredrum.CallRequest
	Left    sapphiredrum.Millis
}

// frameLine is a frame as the messenger writes it.
type frameLine struct {
	Body json.RawMessage `json:"body,omitempty"`
}

// entry measures the entry and the forwarder.
func entry(t Size) Role {
	r := Role{
		Name:       "entry and forwarder",
		State:      "the open answers",
		Mechanism:  "a program's identifier names its shard, so a request goes to its keeper in one message; the answer comes back frame by frame",
		Unmeasured: "the caller's side of an open answer and the engine's stream (reading an engine's events, writing the caller's), TLS, the server package's own handlers",
	}
	look := r.measure("resolve the key and the route, choose a cell", "us", "workspaces", []int{50, 200, 430}, func(n int) float64 {
		config := follower.NewConfig(1, newSheet(n, t.Runners, 8))
		choose := picker.PrefixAffinity{Costs: picker.DefaultCosts()}
		candidates := []sapphiredrum.Candidate{{Target: "a", Limit: 100}, {Target: "b", Limit: 100, Cached: 9000}, {Target: "c", Limit: 100}}
		return cost(func(i int) {
			_, _ = config.Credential(string(workspaceName(i%n)) + "-1")
			_, _ = config.Route("/model-03")
			_, _ = config.Workspace(workspaceName(i % n))
			_ = choose.Choose(MeanHistory, candidates, func(n int) int { return i % n })
		})
	})
	sizes := []int{400, 1600, 6400}
	request := func(n int) callMessage {
		return callMessage{Left: 600_000, Request: sapphiredrum.CallRequest{
			Caller: sapphiredrum.Caller{Key: "workspace-0001-1", Workspace: workspaceName(1)}, Program: programName(keptShard, 1), Call: "call-12",
			Route:    sapphiredrum.Route{Name: "model-03", Path: "/model-03", Kind: sapphiredrum.ModelRoute, Group: "model-03", Model: "model-03", Timeout: 600_000},
			Messages: []sapphiredrum.Message{{Role: "user", Content: text(n, 1)}}, Limit: 1024,
		}}
	}
	bytes := r.measure("request between hosts", "bytes", "bytes of text", sizes, func(n int) float64 { return size(request(n)) })
	time := r.measure("encode and decode a request", "us", "bytes of text", sizes, func(n int) float64 {
		message := request(n)
		return cost(func(int) { pass(message) })
	})
	frame := r.measure("encode and decode a frame of an answer", "us", "tokens in the frame", []int{1, 4, 16}, func(n int) float64 {
		return cost(func(int) { passFrame(n) })
	})
	weight := r.measure("frame between hosts", "bytes", "tokens in the frame", []int{1, 4, 16}, func(n int) float64 { return size(line(n)) + 1 })
	open := r.measure("memory of open answers between hosts, both sides, stacks included", "bytes", "answers", []int{20, 80, 200}, streamMemory)
	streams := t.Streams() / float64(t.Hosts)
	r.add(Memory, Payload, open.Slope*streams, "%.0f answers under way a host x %.0f bytes", streams, open.Slope)
	r.add(Processor, PerCall, t.PerHost()*look.At(float64(t.Workspaces)), "%.1f requests/s x %.1f us", t.PerHost(), look.At(float64(t.Workspaces)))
	r.add(Processor, Payload, t.PerHost()*time.At(questionBytes), "%.1f requests/s x %.0f us", t.PerHost(), time.At(questionBytes))
	tokens := t.Tokens / float64(t.Hosts)
	r.add(Processor, Payload, tokens*frame.At(1), "%.0f tokens/s x %.1f us, a token a frame", tokens, frame.At(1))
	r.add(Traffic, Payload, t.PerHost()*(bytes.At(questionBytes)+HeaderBytes+ReplyBytes)+tokens*weight.At(1), "%.1f requests/s x (%.0f + %d bytes) + %.0f tokens/s x %.0f bytes", t.PerHost(), bytes.At(questionBytes), HeaderBytes+ReplyBytes, tokens, weight.At(1))
	r.add(Exchanges, Payload, t.PerHost(), "one forwarded request a call")
	return r
}

// line returns a frame of so many tokens as it is sent.
func line(tokens int) frameLine {
	piece := sapphiredrum.Chunk{Offset: 120, Count: sapphiredrum.Tokens(tokens), Text: text(tokens*int(TokenBytes), 1)}
	body, _ := json.Marshal(sapphiredrum.Frame{Chunk: &piece})
	return frameLine{Body: body}
}

// passFrame encodes and decodes a frame as the messenger does.
func passFrame(tokens int) {
	encoded, _ := json.Marshal(line(tokens))
	var read frameLine
	var frame sapphiredrum.Frame
	_ = json.Unmarshal(encoded, &read)
	_ = json.Unmarshal(read.Body, &frame)
}
