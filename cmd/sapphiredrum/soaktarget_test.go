package main_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/platform/emulator"
)

// targetVariable is the environment variable that has the test's program serve a target.
const targetVariable = "SAPPHIREDRUM_TEST_TARGET"

// soakTarget is a target that is a process of its own, or none while it is down.
type soakTarget struct {
	targetSettings

	t       *testing.T
	process *exec.Cmd
	// held are connections that are kept open without a request.
	held []net.Conn
}

// targetSettings are what the process of a target is told.
type targetSettings struct {
	ID      sd.TargetID
	Address sd.Address
	Events  int
	Pause   sd.Millis
	Slots   int
	// Unframed is the number of requests in ten that are answered without a frame.
	Unframed int
	// Runs is the file of the requests that ran.
	Runs string
	// ListenerFirst has the kernel close the listener before the connections when the
	// process is killed, in place of after them.
	ListenerFirst bool
	// Held is the number of connections without a request.
	Held int
}

// targetRun is a line of the file of requests that ran.
type targetRun struct{ ID, Body string }

// descriptorsBelow is more than the number of connections of a target.
const descriptorsBelow = 1000

// serveTarget serves the target that text describes until the process is killed.
func serveTarget(text string) {
	var settings targetSettings
	if err := json.Unmarshal([]byte(text), &settings); err != nil {
		panic(err)
	}
	runs, err := os.OpenFile(settings.Runs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	listener, err := settings.listen()
	if err != nil {
		panic(err)
	}
	var lock sync.Mutex
	target := &emulator.Target{
		ID: settings.ID, Events: settings.Events, Pause: settings.Pause, Slots: settings.Slots,
		Unframed: func(id string) bool { return hash(id)%10 < settings.Unframed },
		Started: func(id, body string) {
			line, err := json.Marshal(targetRun{ID: id, Body: body})
			if err != nil {
				panic(err)
			}
			lock.Lock()
			defer lock.Unlock()
			if _, err := runs.Write(append(line, '\n')); err != nil {
				panic(err)
			}
		},
	}
	panic(http.Serve(listener, target))
}

// hash spreads the ids of requests.
func hash(id string) int {
	sum := 0
	for _, b := range []byte(id) {
		sum = (sum*31 + int(b)) % 1_000_003
	}
	return sum
}

// listen listens on a descriptor below or above those of the connections. The kernel closes the
// files of a process that was killed from the highest descriptor to the lowest.
func (s *targetSettings) listen() (net.Listener, error) {
	if s.ListenerFirst {
		for range descriptorsBelow {
			file, err := os.Open(os.DevNull)
			if err != nil {
				return nil, err
			}
			defer func() { _ = file.Close() }()
		}
	}
	return net.Listen("tcp4", string(s.Address))
}

// addKillable adds a target as a process and waits until it listens.
func (s *soak) addKillable(pool string, settings targetSettings) {
	s.t.Helper()
	settings.Address = free(s.t)
	settings.Runs = filepath.Join(s.t.TempDir(), string(settings.ID))
	if pool == "engines" {
		settings.Events = soakEvents
	}
	g := &soakTarget{targetSettings: settings, t: s.t}
	s.t.Cleanup(g.kill)
	g.start()
	s.killable = append(s.killable, g)
	s.register(&emulator.Target{ID: g.ID, Slots: g.Slots}, pool, g.Address)
}

// start starts the target's process and waits until it listens.
func (g *soakTarget) start() {
	text, err := json.Marshal(g.targetSettings)
	if err != nil {
		g.t.Error(err)
		return
	}
	program, err := os.Executable()
	if err != nil {
		g.t.Error(err)
		return
	}
	g.process = exec.Command(program)
	g.process.Env = append(os.Environ(), targetVariable+"="+string(text))
	g.process.Stderr = os.Stderr
	if err := g.process.Start(); err != nil {
		g.t.Error(err)
		g.process = nil
		return
	}
	for end := time.Now().Add(stopTimeout); len(g.held) <= g.Held && time.Now().Before(end); {
		conn, err := net.Dial("tcp4", string(g.Address))
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		g.held = append(g.held, conn)
	}
	if len(g.held) <= g.Held {
		g.t.Errorf("target %s does not listen", g.ID)
	}
}

// kill kills the target's process and waits for its end.
func (g *soakTarget) kill() {
	if g.process == nil {
		return
	}
	_ = g.process.Process.Signal(syscall.SIGKILL)
	// The process was killed, so Wait returns an error.
	_ = g.process.Wait()
	g.process = nil
	for _, conn := range g.held {
		_ = conn.Close()
	}
	g.held = nil
}

// runs returns the requests that ran, over all processes of the target.
func (g *soakTarget) runs() []targetRun {
	text, err := os.ReadFile(g.Runs)
	if err != nil && !os.IsNotExist(err) {
		g.t.Error(err)
	}
	var out []targetRun
	for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
		var run targetRun
		if err := json.Unmarshal(lines.Bytes(), &run); err != nil {
			g.t.Errorf("target %s: line %s: %v", g.ID, strconv.Quote(lines.Text()), err)
			continue
		}
		out = append(out, run)
	}
	return out
}
