package server

import (
	"encoding/json"

	sd "sapphiredrum.example/sapphiredrum"
)

// chatRequest is a model call in the chat-completions shape.
type chatRequest struct {
	Model    string        `json:"model"`
	Messages []chatMessage `json:"messages"`
	Limit    sd.Tokens     `json:"max_tokens"`
	Stream   bool          `json:"stream"`
}

// chatMessage is one message of a request or an answer.
type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// chatAnswer is a whole answer, or one chunk of a streamed one.
type chatAnswer struct {
	Object  string       `json:"object"`
	Model   sd.ModelName `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
	Head    string       `json:"head,omitempty"`
}

// chatChoice is the only choice of an answer.
type chatChoice struct {
	Index   int          `json:"index"`
	Message *chatMessage `json:"message,omitempty"`
	Delta   *chatMessage `json:"delta,omitempty"`
	Finish  string       `json:"finish_reason,omitempty"`
}

// chatUsage counts an answer's tokens.
type chatUsage struct {
	Prompt sd.Tokens `json:"prompt_tokens"`
	Cached sd.Tokens `json:"cached_tokens"`
	Answer sd.Tokens `json:"completion_tokens"`
}

// parseChat reads a model call and checks it against its route.
func parseChat(body []byte, route sd.Route) (chatRequest, *sd.Refusal) {
	var request chatRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return request, sd.NewRefusal(sd.BadRequest, 0, "the body is not a chat-completions request in JSON")
	}
	if request.Model != "" && request.Model != string(route.Model) {
		return request, sd.NewRefusal(sd.BadRequest, 0, "the route serves model "+string(route.Model))
	}
	if len(request.Messages) == 0 {
		return request, sd.NewRefusal(sd.BadRequest, 0, "messages is empty")
	}
	for _, m := range request.Messages {
		if !validRole(m.Role) {
			return request, sd.NewRefusal(sd.BadRequest, 0, "a message's role is none of system, user, assistant, tool")
		}
	}
	if request.Limit < 0 || request.Limit > maxAnswer {
		return request, sd.NewRefusal(sd.BadRequest, 0, "max_tokens is out of range")
	}
	if request.Limit == 0 {
		request.Limit = defaultAnswer
	}
	return request, nil
}

// messages converts a request's messages.
func (r chatRequest) messages() []sd.Message {
	messages := make([]sd.Message, len(r.Messages))
	for i, m := range r.Messages {
		messages[i] = sd.Message{Role: m.Role, Content: m.Content}
	}
	return messages
}

// chunkOf returns the streamed form of a piece.
func chunkOf(model sd.ModelName, piece *sd.Chunk) chatAnswer {
	return chatAnswer{
		Object: "chat.completion.chunk", Model: model,
		Choices: []chatChoice{{Delta: &chatMessage{Content: piece.Text}}},
	}
}

// lastChunk returns the streamed form of the end of an answer.
func lastChunk(model sd.ModelName, end *sd.CallEnd) chatAnswer {
	return chatAnswer{
		Object: "chat.completion.chunk", Model: model,
		Choices: []chatChoice{{Delta: &chatMessage{}, Finish: "stop"}},
		Usage:   usageOf(end), Head: end.Head,
	}
}

// wholeAnswer returns the unstreamed form of an answer.
func wholeAnswer(model sd.ModelName, text string, end *sd.CallEnd) chatAnswer {
	return chatAnswer{
		Object: "chat.completion", Model: model,
		Choices: []chatChoice{{Message: &chatMessage{Role: "assistant", Content: text}, Finish: "stop"}},
		Usage:   usageOf(end), Head: end.Head,
	}
}

// usageOf returns the token counts of an answer.
func usageOf(end *sd.CallEnd) *chatUsage {
	return &chatUsage{Prompt: end.Prompt, Cached: end.Cached, Answer: end.Used}
}

// validRole reports whether a message's role is one of the four known ones.
func validRole(role string) bool {
	switch role {
	case "system", "user", "assistant", "tool":
		return true
	}
	return false
}

const (
	maxAnswer     sd.Tokens = 160_000
	defaultAnswer sd.Tokens = 512
)
