package connector

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/joomcode/errorx"

	"sapphiredrum.example/sapphiredrum"
)

// Platform is the client of the platform: table, object store and list.
type Platform struct {
	Pool    *Pool
	Address sapphiredrum.Address
	// Timeout bounds each operation; zero leaves it to the context.
	Timeout sapphiredrum.Millis
}

var (
	_ sapphiredrum.Table       = (*Platform)(nil)
	_ sapphiredrum.ObjectStore = (*Platform)(nil)
	_ sapphiredrum.MemberList  = (*Platform)(nil)
)

// Bodies of the table's and the list's requests and answers.
type (
	readRequest struct {
		Keys []sapphiredrum.RowKey `json:"keys"`
	}
	changesRequest struct {
		Prefix sapphiredrum.RowKey   `json:"prefix"`
		After  sapphiredrum.Sequence `json:"after"`
	}
	commitRequest struct {
		Transaction sapphiredrum.Transaction `json:"transaction"`
	}
	rowsAnswer struct {
		Rows     []sapphiredrum.Row    `json:"rows"`
		Sequence sapphiredrum.Sequence `json:"sequence"`
	}
	membersAnswer struct {
		Members []sapphiredrum.Member `json:"members"`
	}
)

// Read returns a row for each key.
func (p *Platform) Read(ctx context.Context, keys ...sapphiredrum.RowKey) ([]sapphiredrum.Row, error) {
	var answer rowsAnswer
	if err := p.look(ctx, http.MethodPost, "/table/read", readRequest{Keys: keys}, &answer); err != nil {
		return nil, err
	}
	if len(answer.Rows) != len(keys) {
		return nil, sapphiredrum.Unavailable.New("%d rows for %d keys", len(answer.Rows), len(keys))
	}
	return answer.Rows, nil
}

// Changes returns the rows written after a sequence.
func (p *Platform) Changes(ctx context.Context, prefix sapphiredrum.RowKey, after sapphiredrum.Sequence) ([]sapphiredrum.Row, sapphiredrum.Sequence, error) {
	var answer rowsAnswer
	if err := p.look(ctx, http.MethodPost, "/table/changes", changesRequest{Prefix: prefix, After: after}, &answer); err != nil {
		return nil, 0, err
	}
	return answer.Rows, answer.Sequence, nil
}

// Commit applies a transaction.
func (p *Platform) Commit(ctx context.Context, transaction sapphiredrum.Transaction) (sapphiredrum.Sequence, error) {
	var answer rowsAnswer
	if err := p.exchange(ctx, http.MethodPost, "/table/commit", commitRequest{Transaction: transaction}, &answer); err != nil {
		return 0, err
	}
	return answer.Sequence, nil
}

// Members returns the list of live and leaving machines.
func (p *Platform) Members(ctx context.Context) ([]sapphiredrum.Member, error) {
	var answer membersAnswer
	if err := p.look(ctx, http.MethodGet, "/members", nil, &answer); err != nil {
		return nil, err
	}
	return answer.Members, nil
}

// Put stores an object.
func (p *Platform) Put(ctx context.Context, name string, value []byte) error {
	_, err := p.move(ctx, http.MethodPut, objectPath(name), value)
	return err
}

// Get returns an object.
func (p *Platform) Get(ctx context.Context, name string) ([]byte, error) {
	value, err := p.move(ctx, http.MethodGet, objectPath(name), nil)
	return value, settle(err)
}

// Delete removes an object.
func (p *Platform) Delete(ctx context.Context, name string) error {
	_, err := p.move(ctx, http.MethodDelete, objectPath(name), nil)
	return err
}

// look exchanges a request that changes nothing: a lost answer is Unavailable.
func (p *Platform) look(ctx context.Context, method, path string, body, answer any) error {
	return settle(p.exchange(ctx, method, path, body, answer))
}

// exchange sends a body as JSON and reads the answer's JSON.
func (p *Platform) exchange(ctx context.Context, method, path string, body, answer any) error {
	data, err := marshal(body)
	if err != nil {
		return err
	}
	value, err := p.move(ctx, method, path, data)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(value, answer); err != nil {
		return sapphiredrum.Uncertain.Wrap(err, "%s %s: the answer does not parse", method, path)
	}
	return nil
}

// move sends bytes and returns the bytes of the whole answer.
func (p *Platform) move(ctx context.Context, method, path string, data []byte) ([]byte, error) {
	if p.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.Timeout.Duration())
		defer cancel()
	}
	return p.Pool.exchange(ctx, order{method: method, address: p.Address, target: path, header: jsonHeader(), body: data})
}

// exchange sends an order and returns the body of its successful answer.
func (p *Pool) exchange(ctx context.Context, o order) ([]byte, error) {
	response, err := p.send(ctx, o)
	if err != nil {
		return nil, err
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, failure(response)
	}
	defer response.Body.Close()
	value, err := whole(response, 0)
	if err != nil {
		return nil, sapphiredrum.Uncertain.Wrap(err, "%s %s: the answer was cut", o.method, o.target)
	}
	return value, nil
}

// settle turns the Uncertain error of a request that changes nothing into
// Unavailable.
func settle(err error) error {
	if errorx.IsOfType(err, sapphiredrum.Uncertain) {
		return sapphiredrum.Unavailable.Wrap(err, "nothing was to change")
	}
	return err
}

// marshal returns a body as JSON; nil has none.
func marshal(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, sapphiredrum.Unavailable.Wrap(err, "the request cannot be formed")
	}
	return data, nil
}

// objectPath returns the path of an object.
func objectPath(name string) string {
	return "/objects/" + url.PathEscape(name)
}
