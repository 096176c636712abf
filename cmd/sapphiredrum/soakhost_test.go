package main_test

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
)

// soakHost is an entry host, a process or none.
type soakHost struct {
	t                      *testing.T
	config, callers, ready string
	// metrics is the address of the host's metrics, binary its program.
	metrics, binary string

	lock    sync.Mutex
	process *os.Process
	// ended is closed when the process has ended.
	ended chan struct{}
}

func newSoakHost(t *testing.T, i int, folder string, store sd.Address) *soakHost {
	t.Helper()
	callers, ready := free(t), free(t)
	_, port, _ := strings.Cut(string(free(t)), ":")
	metricsAddress := string(free(t))
	_, metrics, _ := strings.Cut(metricsAddress, ":")
	text := fmt.Sprintf("[host]\nname = h%d\nzone = z\nip = 127.0.0.1\nmemory = 200\ncores = 1\n[listen]\ncallers = %s\nready = %s\nports = %s\nmetrics = %s\n[store]\naddress = %s\n[times]\nbeat = 1200\ndrain = 2000\ngrace = 8\n[rate]\nwindow = 5\nover = 0.1\nslack = 20\n[cold]\nover = 1.5\nslack = 5\n[rollout]\nshare = 0.1\nslack = 50\nback = 5000\n",
		i, callers, ready, port, metrics, store)
	h := &soakHost{
		t: t, config: filepath.Join(folder, fmt.Sprintf("h%d.ini", i)), callers: "http://" + string(callers),
		ready: "http://" + string(ready) + "/v1/readyz", metrics: "http://" + metricsAddress + "/metrics", binary: os.Getenv("SOAK_OLD"),
	}
	if h.binary == "" {
		h.upgrade()
	}
	if err := os.WriteFile(h.config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { h.stop(syscall.SIGKILL) })
	h.start()
	return h
}

// upgrade has the host's next process run the version under test. It reports whether that is a
// change.
func (h *soakHost) upgrade() bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	old := h.binary
	h.binary = filepath.Join(binaries, "sapphiredrum")
	return old != h.binary
}

// peers returns the number of other hosts that the host hears, or -1 if that cannot be had.
func (h *soakHost) peers() int {
	answer, err := http.Get(h.metrics)
	if err != nil {
		return -1
	}
	defer func() { _ = answer.Body.Close() }()
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), "peers "); found {
			if n, err := strconv.Atoi(text); err == nil {
				return n
			}
		}
	}
	return -1
}

// start starts a process, unless there is one.
func (h *soakHost) start() {
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.process != nil {
		return
	}
	log, err := os.OpenFile(h.config+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		h.t.Error(err)
		return
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(h.binary, "entry", "--config", h.config)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		h.t.Error(err)
		return
	}
	ended := make(chan struct{})
	h.process, h.ended = command.Process, ended
	go func() {
		// How a process ends is judged by exited.
		_ = command.Wait()
		close(ended)
	}()
}

// running returns the process, or nil, and what is closed when it has ended.
func (h *soakHost) running() (*os.Process, <-chan struct{}) {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.process, h.ended
}

// stopTimeout is the time for a process to end: drain and grace of its settings.
const stopTimeout = 10 * time.Second

// stop sends a signal and waits for the end.
func (h *soakHost) stop(s syscall.Signal) {
	process, ended := h.running()
	if process == nil {
		return
	}
	_ = process.Signal(s)
	select {
	case <-ended:
	case <-time.After(stopTimeout):
		_ = process.Kill()
		<-ended
	}
	h.gone(process)
}

// gone takes note that a process has ended.
func (h *soakHost) gone(process *os.Process) {
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.process == process {
		h.process = nil
	}
}

func (h *soakHost) signal(s syscall.Signal) {
	if process, _ := h.running(); process != nil {
		_ = process.Signal(s)
	}
}

// powerOff ends all hosts at the same moment.
func powerOff(hosts []*soakHost) {
	for _, h := range hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range hosts {
		h.stop(syscall.SIGKILL)
	}
}

func powerOn(hosts []*soakHost) {
	for _, h := range hosts {
		h.start()
	}
}

// await waits until the host is ready, and starts a process that has ended by itself, as
// the platform does.
func (h *soakHost) await() {
	h.t.Helper()
	for range 300 {
		if answer, err := http.Get(h.ready); err == nil {
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(30 * time.Millisecond)
		if process, ended := h.running(); process != nil {
			select {
			case <-ended:
				h.exited()
				h.gone(process)
				h.start()
			default:
			}
		}
	}
	log, err := os.ReadFile(h.config + ".log")
	h.t.Errorf("a host was not ready in 9 s; its log (%v) ends\n%s", err, tail(string(log)))
}

// exited judges a process that ended by itself. The test's ports are free when
// they are chosen; a caller's connection may take one before the host does.
func (h *soakHost) exited() {
	log, err := os.ReadFile(h.config + ".log")
	if err != nil || !strings.Contains(string(log), "address already in use") {
		h.t.Errorf("a host ended by itself; its log (%v) ends\n%s", err, tail(string(log)))
	}
}
