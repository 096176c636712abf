package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// hostProgram is the program of an entry host, as the deploy file builds it.
const hostProgram = "target/sapphiredrum"

// host is an entry host, a process of its own.
type host struct {
	name, zone, front, ready, config string
	memoryMb                         int

	lock    sync.Mutex
	process *os.Process
	ended   chan struct{}
	// peakMb is the most memory that the process was seen to use; ends counts the processes
	// that ended by themselves or were killed for their memory.
	peakMb int
	ends   int
}

// Ports are taken from below those that the kernel gives to connections.
const firstPort, lastPort = 20000, 32000

// taken holds the ports that were given out.
var taken = map[int]bool{}

// freePort returns an address on which nothing listens.
func freePort() string {
	for range 1000 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := "127.0.0.1:" + strconv.Itoa(port)
		if taken[port] {
			continue
		}
		taken[port] = true
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		packets, err := net.ListenPacket("udp4", address)
		if err != nil {
			continue
		}
		_ = packets.Close()
		return address
	}
	fail("no free port")
	return ""
}

// newHost writes the settings of a host, those of the template deploy/entry.ini.
func newHost(folder, name, zone, storeAddress string, memoryMb int) *host {
	h := &host{name: name, zone: zone, front: freePort(), ready: freePort(), memoryMb: memoryMb}
	_, internal, _ := strings.Cut(freePort(), ":")
	_, metrics, _ := strings.Cut(freePort(), ":")
	h.config = filepath.Join(folder, name+".ini")
	text := fmt.Sprintf(`[host]
name = %s
zone = %s
ip = 127.0.0.1
memory = %d
cores = 0.8
[listen]
callers = %s
ready = %s
ports = %s
metrics = %s
[store]
address = %s
[times]
beat = 1200
drain = 2000
grace = 8
[cold]
over = 1.5
slack = 5
[rate]
window = 5
over = 0.1
slack = 20
`, name, zone, memoryMb, h.front, h.ready, internal, metrics, storeAddress)
	if err := os.WriteFile(h.config, []byte(text), 0o600); err != nil {
		fail("settings: %v", err)
	}
	return h
}

// start starts a process.
func (h *host) start() {
	log, err := os.OpenFile(h.config+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(hostProgram, "entry", "--config", h.config)
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), "SAPPHIREDRUM_HOST_DESCRIPTORS=8200")
	// The process ends with the driver.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		fail("host: %v", err)
	}
	ended := make(chan struct{})
	h.lock.Lock()
	h.process, h.ended = command.Process, ended
	h.lock.Unlock()
	go func() {
		_ = command.Wait()
		close(ended)
	}()
}

// signal sends a signal and, if it ends the process, waits for that.
func (h *host) signal(s syscall.Signal, ends bool) {
	h.lock.Lock()
	process, ended := h.process, h.ended
	h.lock.Unlock()
	_ = process.Signal(s)
	if !ends {
		return
	}
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		_ = process.Kill()
		<-ended
	}
}

// memory returns what the process uses beside its program's text, in MB.
func (h *host) memory() int {
	h.lock.Lock()
	process := h.process
	h.lock.Unlock()
	text, err := os.ReadFile("/proc/" + strconv.Itoa(process.Pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// figures returns how many processes have ended and the most memory that one used.
func (h *host) figures() (ends, peakMb int) {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.ends, h.peakMb
}

// watch does what the platform does: it kills a process that uses more memory than its machine
// has, and starts one again that has ended, until done is closed.
func (h *host) watch(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(2 * time.Millisecond):
		}
		used := h.memory()
		h.lock.Lock()
		h.peakMb = max(h.peakMb, used)
		ended := h.ended
		h.lock.Unlock()
		if used > h.memoryMb {
			note("platform: host %s uses %d MB of %d MB and is killed", h.name, used, h.memoryMb)
			h.signal(syscall.SIGKILL, true)
		}
		select {
		case <-ended:
			h.lock.Lock()
			h.ends++
			h.lock.Unlock()
			note("platform: host %s has ended and is started again", h.name)
			time.Sleep(500 * time.Millisecond)
			h.start()
		default:
		}
	}
}
