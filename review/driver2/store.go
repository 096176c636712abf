package main

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store, as calls and answers carry it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func (r row) cell() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// page is an answer about rows.
type page struct {
	Rows      []row  `json:"rows"`
	MorePages bool   `json:"morePages"`
	Ver       uint64 `json:"ver"`
	NowMs     int64  `json:"nowMs"`
}

// The store's limits and times, those of the platform's pages.
const (
	rowBytes   = 65536
	txBytes    = 1 << 20
	txEntries  = 100
	pageRows   = 500
	pageBytes  = 1 << 20
	readTime   = 4 * time.Millisecond
	writeTime  = 5 * time.Millisecond
	waitLimit  = 30 * time.Second
	historyMax = 20000
)

// store is a stand-in of the platform's store: linearizable, with transactions of one part
// one after another.
type store struct {
	lock    sync.Mutex
	rows    map[string]row
	history []row
	ver     uint64
	began   time.Time
	changed chan struct{}
	parts   map[string]*sync.Mutex
	// down has every call but the operator's answered with 503.
	down bool
	// lost is the share of the transactions that are done and not answered.
	lost float64
	// refusals counts the calls that were refused as malformed or too large.
	refusals int
}

func newStore() *store {
	return &store{rows: map[string]row{}, began: time.Now(), changed: make(chan struct{}), parts: map[string]*sync.Mutex{}}
}

// setDown sets whether the store refuses all calls.
func (s *store) setDown(down bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.down = down
}

// lose sets the share of the transactions that are done and not answered.
func (s *store) lose(share float64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.lost = share
}

// values returns the values of a table's rows.
func (s *store) values(table string) (list [][]byte) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, r := range s.rows {
		if r.Table == table {
			list = append(list, r.Value)
		}
	}
	return list
}

func (s *store) isDown() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.down
}

// put writes a row as the operator or a runner does.
func (s *store) put(table, key string, value []byte) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: value}}, nil)
}

func (s *store) apply(puts, removes []row) {
	s.ver++
	for _, r := range puts {
		r.Ver = s.ver
		s.rows[r.cell()] = r
		s.history = append(s.history, r)
	}
	for _, r := range removes {
		delete(s.rows, r.cell())
		s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Removed: true})
	}
	// Of turns, nothing is watched.
	s.history = slices.DeleteFunc(s.history, func(r row) bool { return r.Part != "" })
	if len(s.history) > historyMax {
		s.history = s.history[len(s.history)/2:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) part(name string) *sync.Mutex {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.parts[name] == nil {
		s.parts[name] = &sync.Mutex{}
	}
	return s.parts[name]
}

func (s *store) answer(w http.ResponseWriter, status int, p page) {
	if p.Rows == nil {
		p.Rows = []row{}
	}
	p.NowMs = time.Since(s.began).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has gone does not read the answer.
	_ = json.NewEncoder(w).Encode(p)
}

// ServeHTTP serves the store's calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/v1/rows-tx":
		s.transact(w, r)
	case "/v1/rows-get":
		time.Sleep(readTime)
		s.list(w, q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"))
	case "/v1/rows-feed":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
		s.feed(w, r, q.Get("table"), after, min(time.Duration(wait)*time.Millisecond, waitLimit))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// silence ends a call without an answer, and its channel. With HOW=silent the channel stays open
// until the caller ends it.
func silence(r *http.Request) {
	if os.Getenv("HOW") == "silent" {
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

// refused returns the number of calls that were refused as malformed or too large.
func (s *store) refused() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.refusals
}

func (s *store) refuse(w http.ResponseWriter, status int) {
	s.lock.Lock()
	s.refusals++
	s.lock.Unlock()
	w.WriteHeader(status)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, txBytes+1))
	if err != nil {
		return
	}
	var tx struct{ ExpectedRev, Puts, Remove []row }
	if len(body) > txBytes || json.Unmarshal(body, &tx) != nil || len(tx.ExpectedRev)+len(tx.Puts)+len(tx.Remove) > txEntries {
		s.refuse(w, http.StatusBadRequest)
		return
	}
	part := ""
	for _, each := range slices.Concat(tx.ExpectedRev, tx.Puts, tx.Remove) {
		part = each.Part
		if len(each.Value)*4/3 > rowBytes || len(each.Key) > 200 {
			s.refuse(w, http.StatusBadRequest)
			return
		}
		if each.Table == "op" || each.Table == "servers" {
			s.refuse(w, http.StatusForbidden)
			return
		}
	}
	turn := s.part(part)
	turn.Lock()
	time.Sleep(writeTime)
	s.lock.Lock()
	current, holds := []row{}, true
	for _, e := range tx.ExpectedRev {
		have, there := s.rows[e.cell()]
		holds = holds && have.Ver == e.Ver
		if there {
			current = append(current, have)
		}
	}
	if holds {
		s.apply(tx.Puts, tx.Remove)
		current = nil
	}
	ver := s.ver
	isLost := rand.Float64() < s.lost
	s.lock.Unlock()
	turn.Unlock()
	if isLost {
		silence(r)
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, page{Rows: current, Ver: ver})
		return
	}
	s.answer(w, http.StatusOK, page{Ver: ver})
}

func (s *store) list(w http.ResponseWriter, table, part, from, to string) {
	s.lock.Lock()
	p := page{Ver: s.ver}
	for _, r := range s.rows {
		if r.Table == table && r.Part == part && r.Key >= from && (to == "" || r.Key < to) {
			p.Rows = append(p.Rows, r)
		}
	}
	s.lock.Unlock()
	slices.SortFunc(p.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	size := 0
	for i, r := range p.Rows {
		if size += len(r.Value)*4/3 + len(r.Key) + 100; i == pageRows || (i > 0 && size > pageBytes) {
			p.Rows, p.MorePages = p.Rows[:i], true
			break
		}
	}
	s.answer(w, http.StatusOK, p)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, table string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.lock.Lock()
		p := page{Ver: s.ver}
		for _, each := range s.history {
			if each.Table == table && each.Ver > after {
				p.Rows = append(p.Rows, each)
			}
		}
		changed := s.changed
		s.lock.Unlock()
		if len(p.Rows) > 0 {
			s.answer(w, http.StatusOK, p)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			s.answer(w, http.StatusOK, p)
			return
		case <-changed:
		}
	}
}
