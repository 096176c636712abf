package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/platform/emulator"
)

// verdict is what the store does with a call.
type verdict int

const (
	// serve answers the call.
	serve verdict = iota
	// refuse answers 503 and does nothing.
	refuse
	// late performs the call seconds later and never answers it.
	late
)

const (
	// storeDelay is the time of an answer.
	storeDelay = 4 * time.Millisecond
	// lateness is how much later a late call is performed; the pages say 1 to 6 s.
	lateness = 3 * time.Second
)

// storeCall is a call of a host.
type storeCall struct {
	path string
	// removes are the tables of the rows that a transaction removes.
	removes []string
}

// writes reports whether the call is a transaction.
func (c storeCall) writes() bool { return strings.HasSuffix(c.path, "/rows-tx") }

// store is the platform's store.
type store struct {
	rows    *faker.Rows
	record  *record
	address string
	server  *http.Server

	lock   sync.Mutex
	decide func(storeCall) verdict
	// calls and lost count transactions while decide is set.
	calls, lost int
}

func newStore(r *record, address string) (*store, error) {
	s := &store{rows: faker.NewRows(1), record: r, address: address}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s.handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// set sets the store's trouble; nil ends it.
func (s *store) set(decide func(storeCall) verdict) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.decide = decide
	if decide != nil {
		s.calls, s.lost = 0, 0
	}
}

// counts returns the transactions since the trouble began, and those that were lost.
func (s *store) counts() (calls, lost int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.calls, s.lost
}

func (s *store) verdict(call storeCall) verdict {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.decide == nil {
		return serve
	}
	v := s.decide(call)
	if call.writes() {
		s.calls++
		if v == late {
			s.lost++
		}
	}
	return v
}

func (s *store) handler() http.Handler {
	inner := emulator.Store(s.rows)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		time.Sleep(storeDelay)
		switch s.verdict(newStoreCall(r.URL.Path, body)) {
		case refuse:
			w.WriteHeader(http.StatusServiceUnavailable)
		case late:
			s.record.write("store: answer lost, performed %v later: %s", lateness, body)
			again := r.Clone(r.Context())
			time.AfterFunc(lateness, func() {
				again.Body = io.NopCloser(bytes.NewReader(body))
				inner.ServeHTTP(&unread{header: http.Header{}}, again)
				s.record.write("store: performed now: %s", body)
			})
			// A channel on which an answer is lost delivers nothing further.
			<-r.Context().Done()
		case serve:
			inner.ServeHTTP(w, r)
		}
	})
}

func newStoreCall(path string, body []byte) storeCall {
	call := storeCall{path: path}
	if !call.writes() {
		return call
	}
	var update struct {
		Remove []struct {
			Table string `json:"table"`
		} `json:"remove"`
	}
	if json.Unmarshal(body, &update) == nil {
		for _, row := range update.Remove {
			call.removes = append(call.removes, row.Table)
		}
	}
	return call
}

// put writes a row as the operator or a runner does.
func (s *store) put(table, key string, value []byte) {
	s.rows.Write(sd.RecordKey{Table: table, Key: key}, value)
}

// remove drops a row of the operator or of a runner.
func (s *store) remove(table, key string) { s.rows.Remove(sd.RecordKey{Table: table, Key: key}) }

// unread is a response that nobody reads.
type unread struct{ header http.Header }

// Header implements http.ResponseWriter.
func (u *unread) Header() http.Header { return u.header }

// Write implements http.ResponseWriter.
func (u *unread) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (u *unread) WriteHeader(int) {}
