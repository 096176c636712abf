package starter_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/exchanger"
)

// partitionKind is what a partition does to a host's connections to targets.
type partitionKind string

const (
	// silent partitions let nothing through, old connections and new ones alike.
	silent partitionKind = "silent"
	// resetting ones reset old connections and refuse new ones.
	resetting partitionKind = "resetting"
	// refusing ones refuse new connections, and old ones live on.
	refusing partitionKind = "refusing"
)

// partition is a dialer that a test cuts off from all targets.
type partition struct {
	sd.Dialer
	lock  sync.Mutex
	kind  partitionKind
	conns []*partitionedConn
}

type partitionedConn struct {
	*net.TCPConn
	partition *partition
	closed    chan struct{}
	once      sync.Once
}

func newPartition() *partition { return &partition{Dialer: exchanger.Direct()} }

// cut begins the partition.
func (p *partition) cut(kind partitionKind) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.kind = kind
	if kind == resetting {
		for _, c := range p.conns {
			_ = c.SetLinger(0)
			_ = c.TCPConn.Close()
		}
	}
}

func (p *partition) silent() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.kind == silent
}

func (p *partition) Dial(ctx context.Context, target sd.Address, timeout sd.Millis) (net.Conn, error) {
	p.lock.Lock()
	kind := p.kind
	p.lock.Unlock()
	switch kind {
	case silent:
		select {
		case <-ctx.Done():
		case <-time.After(timeout.Duration()):
		}
		return nil, fmt.Errorf("dial: %w", context.DeadlineExceeded)
	case resetting, refusing:
		return nil, fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	}
	raw, err := p.Dialer.Dial(ctx, target, timeout)
	if err != nil {
		return nil, err
	}
	c := &partitionedConn{TCPConn: raw.(*net.TCPConn), partition: p, closed: make(chan struct{})}
	p.lock.Lock()
	p.conns = append(p.conns, c)
	p.lock.Unlock()
	return c, nil
}

func (c *partitionedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		if !c.partition.silent() {
			return n, err
		}
		<-c.closed
		return 0, net.ErrClosed
	}
}

func (c *partitionedConn) Write(b []byte) (int, error) {
	if c.partition.silent() {
		return len(b), nil
	}
	return c.TCPConn.Write(b)
}

func (c *partitionedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}

// ask sends one request and reports whether it was served whole.
func ask(client *http.Client, callers, path, id string) bool {
	req, err := http.NewRequest(http.MethodPost, callers+path, strings.NewReader("in"))
	if err != nil {
		return false
	}
	req.Host = "h.example"
	for name, value := range map[string]string{
		"Request-Id": id, "Key": "k1", "Deadline-Ms": "2000", "Program-Id": "p-" + id, "Token-Budget": "100000", "Token-Usage": "10,56",
	} {
		req.Header.Set(name, value)
	}
	answer, err := client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	_, err = io.Copy(io.Discard, answer.Body)
	return err == nil && answer.StatusCode == http.StatusOK
}

// askMany sends requests of each kind at a steady pace and returns how many of them were served.
func askMany(callers, prefix string, each int) (served, sent int) {
	var lock sync.Mutex
	var running sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := range each {
		for _, path := range []string{"/talk/x", "/look/x", "/pay/x"} {
			sent++
			running.Go(func() {
				if ask(client, callers, path, fmt.Sprintf("%s%s%d", prefix, path[1:4], i)) {
					lock.Lock()
					served++
					lock.Unlock()
				}
			})
		}
		time.Sleep(40 * time.Millisecond)
	}
	running.Wait()
	return served, sent
}

// Guards against callers of a host that is partitioned from all targets being refused while
// other hosts reach them: of their first tries, at least two thirds as many must be served.
func TestHostPartitionedFromTargetsServesItsCallers(t *testing.T) {
	// detection is well below the 3 s after which the platform asks for service.
	const detection = 1500 * time.Millisecond
	for _, kind := range []partitionKind{silent, resetting, refusing} {
		t.Run(string(kind), func(t *testing.T) {
			s := newSite(t)
			p := newPartition()
			cut, _, _ := s.hostOver("h1", p)
			sound, _, _ := s.host("h2")
			if served, sent := askMany(cut, "before", 10); served < sent {
				t.Fatalf("%d of %d requests served before the partition", served, sent)
			}
			p.cut(kind)
			for start := time.Now(); time.Since(start) < detection; {
				askMany(cut, fmt.Sprint("during", time.Since(start)), 3)
			}
			servedCut, sentCut := askMany(cut, "after", 25)
			servedSound, sentSound := askMany(sound, "sound", 25)
			if 3*servedCut*sentSound < 2*servedSound*sentCut {
				t.Errorf("%d of %d requests served at the partitioned host, %d of %d at the other", servedCut, sentCut, servedSound, sentSound)
			}
		})
	}
}
