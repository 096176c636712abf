package connector

import (
	"io"
	"net/http"

	"sapphiredrum.example/sapphiredrum"
)

// whole reads an answer's body up to limit bytes, zero being no limit. It
// returns a BrokenResponse error for a body that was cut, is too long or has no
// mark of its end: one that ends with its connection could have been cut.
func whole(response *http.Response, limit sapphiredrum.Bytes) ([]byte, error) {
	if !marked(response) {
		return nil, sapphiredrum.BrokenResponse.New("the answer has no mark of its end")
	}
	var reader io.Reader = response.Body
	if limit > 0 {
		reader = io.LimitReader(reader, int64(limit)+1)
	}
	body, err := io.ReadAll(reader)
	if err != nil {
		return nil, sapphiredrum.BrokenResponse.Wrap(err, "the answer was cut after %d bytes", len(body))
	}
	if limit > 0 && len(body) > int(limit) {
		return nil, sapphiredrum.BrokenResponse.New("the answer is longer than %d bytes", limit)
	}
	return body, nil
}

// marked reports whether the end of an answer's body can be told from a cut.
func marked(response *http.Response) bool {
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return true
	}
	return response.Request.Method == http.MethodHead ||
		response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
}
