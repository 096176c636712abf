package connector

import (
	"context"
	"net/http"
	"net/textproto"
	"sort"
	"strings"

	"sapphiredrum.example/sapphiredrum"
)

// Service is the client of one plain service.
type Service struct {
	Pool    *Pool
	Address sapphiredrum.Address
	// Limit bounds the bytes of an answer; zero is no bound.
	Limit sapphiredrum.Bytes
}

var _ sapphiredrum.Service = (*Service)(nil)

// Call sends a request once and returns the whole answer. Headers of the
// connection, and those that carry a caller's key, are left out.
func (s *Service) Call(ctx context.Context, call sapphiredrum.ServiceCall) (sapphiredrum.ServiceResponse, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return sapphiredrum.ServiceResponse{}, sapphiredrum.Unavailable.New("path %q does not begin with /", call.Path)
	}
	header := http.Header{}
	for _, h := range call.Headers {
		if !withheld(h.Name) {
			header.Add(h.Name, h.Value)
		}
	}
	header.Set(streamHeader, string(call.Stream))
	response, err := s.Pool.send(ctx, order{method: call.Method, address: s.Address, target: call.Path, header: header, body: call.Body})
	if err != nil {
		return sapphiredrum.ServiceResponse{}, err
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(notRunHeader) != "" {
		return sapphiredrum.ServiceResponse{}, failure(response)
	}
	defer response.Body.Close()
	return s.read(response)
}

// notRunHeader marks an answer by which a service states that it did not run
// the request.
const notRunHeader = "Sapphiredrum-Notrun"

// read returns a response as a whole answer.
func (s *Service) read(response *http.Response) (sapphiredrum.ServiceResponse, error) {
	body, err := whole(response, s.Limit)
	if err != nil {
		return sapphiredrum.ServiceResponse{}, sapphiredrum.BrokenResponse.Wrap(err, "status %d", response.StatusCode)
	}
	return sapphiredrum.ServiceResponse{Status: response.StatusCode, Headers: lines(response.Header), Body: body}, nil
}

// withheld reports whether a header is not passed on.
func withheld(name string) bool {
	switch textproto.CanonicalMIMEHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Host", "Expect", "Authorization", "Proxy-Authorization":
		return true
	}
	return false
}

// lines returns a header's lines sorted by name, without those of the connection.
func lines(header http.Header) []sapphiredrum.Header {
	var found []sapphiredrum.Header
	for name, values := range header {
		if withheld(name) {
			continue
		}
		for _, value := range values {
			found = append(found, sapphiredrum.Header{Name: name, Value: value})
		}
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	return found
}
