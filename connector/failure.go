package connector

import (
	"encoding/json"
	"io"
	"net/http"

	"sapphiredrum.example/sapphiredrum"
)

// failureBody is the typed body of an answer that is not a success.
type failureBody struct {
	Error struct {
		Type    string `json:"type"`
		Message string `json:"message"`
	} `json:"error"`
}

// maxFailure bounds the bytes read of a failure's body.
const maxFailure = 64 << 10

// failure returns the error that an unsuccessful answer stands for and closes
// it. Only a typed body tells that nothing ran: any other is Uncertain.
func failure(response *http.Response) error {
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxFailure))
	if err != nil {
		return sapphiredrum.Uncertain.Wrap(err, "status %d without a whole body", response.StatusCode)
	}
	var body failureBody
	if err := json.Unmarshal(data, &body); err != nil {
		return sapphiredrum.Uncertain.Wrap(err, "status %d without a typed body", response.StatusCode)
	}
	message := body.Error.Message
	switch {
	case response.StatusCode == http.StatusServiceUnavailable && body.Error.Type == "unavailable":
		return sapphiredrum.Unavailable.New("%s", message)
	case response.StatusCode == http.StatusConflict && body.Error.Type == "conflict":
		return sapphiredrum.Conflict.New("%s", message)
	case response.StatusCode == http.StatusPreconditionFailed && body.Error.Type == "fenced":
		return sapphiredrum.Fenced.New("%s", message)
	case response.StatusCode == http.StatusNotFound && body.Error.Type == "absent":
		return sapphiredrum.NotFound.New("%s", message)
	case response.StatusCode == http.StatusBadRequest && body.Error.Type == "request":
		return sapphiredrum.Unavailable.New("the request was declined: %s", message)
	}
	return sapphiredrum.Uncertain.New("status %d: %s", response.StatusCode, message)
}
