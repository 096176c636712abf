package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Settings of the small deployment that all cases use: those of the users' sheets.
const (
	heartbeat = 1200 * time.Millisecond
	drainTime = 2000 * time.Millisecond
	contact   = 3000 * time.Millisecond
	window    = 5 * time.Second
	overshoot = 0.1
	slack     = 20
	memoryMB  = 304

	frontPort = 8368
	readyPort = 8369
	storePort = 8362
	// firstRunnerPort is that of the first runner; all runners have one address.
	firstRunnerPort = 9000
)

// fleet is a small deployment.
type fleet struct {
	*record
	folder  string
	command []string
	// net is the first three numbers of all addresses.
	net     string
	store   *store
	hosts   []*host
	runners []*runner
}

// newFleet returns a deployment whose store runs.
func newFleet(r *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, folder: folder}
	if f.command, err = runCommand(); err != nil {
		return nil, err
	}
	for range 50 {
		f.net = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		if f.store, err = newStore(r, fmt.Sprintf("%s.7:%d", f.net, storePort)); err == nil {
			return f, nil
		}
	}
	return nil, err
}

// runCommand returns the command of the deploy file.
func runCommand() ([]string, error) {
	content, err := os.ReadFile(filepath.Join("deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(content)) {
		if value, found := strings.CutPrefix(strings.TrimSpace(line), "run = "); found {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, errors.New("the deploy file names no command")
}

// host is an entry host.
type host struct {
	fleet          *fleet
	name, zone, ip string
	process        *exec.Cmd
	ended          chan struct{}
	log            *os.File
}

// addHost starts an entry host and waits for its process only.
func (f *fleet) addHost(name, zone string) (*host, error) {
	h := &host{fleet: f, name: name, zone: zone, ip: fmt.Sprintf("%s.%d", f.net, 11+len(f.hosts))}
	content, err := os.ReadFile(filepath.Join("deploy", "entry.ini"))
	if err != nil {
		return nil, err
	}
	settings := strings.NewReplacer(
		"{{nodeName}}", h.name, "{{zone}}", h.zone, "{{ip}}", h.ip,
		"{{limits.memoryMb}}", fmt.Sprint(memoryMB), "{{limits.cpuShare}}", "0.4",
		"{{listen.front}}", fmt.Sprintf("%s:%d", h.ip, frontPort), "{{listen.ready}}", fmt.Sprintf("%s:%d", h.ip, readyPort),
		"{{internalPorts}}", "7780,7795", "{{platform.address}}", f.store.address,
		"{{heartbeatMs}}", fmt.Sprint(heartbeat.Milliseconds()), "{{bounds.drainMs}}", fmt.Sprint(drainTime.Milliseconds()),
		"{{bounds.graceS}}", "8", "{{bounds.coldOvershoot}}", "1.5", "{{bounds.coldSlack}}", "5",
		"{{bounds.quotaWindowS}}", fmt.Sprint(window.Seconds()), "{{bounds.quotaOvershoot}}", fmt.Sprint(overshoot),
		"{{bounds.quotaSlack}}", fmt.Sprint(slack),
	).Replace(string(content))
	if strings.Contains(settings, "{{") {
		return nil, fmt.Errorf("template has a field that this stand-in does not fill: %s", settings)
	}
	if err := os.WriteFile(h.settings(), []byte(settings), 0o600); err != nil {
		return nil, err
	}
	f.hosts = append(f.hosts, h)
	return h, h.start()
}

func (h *host) settings() string { return filepath.Join(h.fleet.folder, h.name+".ini") }

// start starts the process.
func (h *host) start() error {
	var err error
	if h.log, err = os.OpenFile(filepath.Join(h.fleet.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	words := append([]string(nil), h.fleet.command...)
	for i, word := range words {
		if strings.HasPrefix(word, "/etc/") {
			words[i] = h.settings()
		}
	}
	h.process = exec.Command(words[0], words[1:]...)
	h.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.fleet.folder, "SAPPHIREDRUM_CONFIG=" + h.settings()}
	h.process.Stdout, h.process.Stderr = h.log, h.log
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.process.Start(); err != nil {
		return err
	}
	h.fleet.write("%s starts, process %d", h.name, h.process.Process.Pid)
	ended, process, log := make(chan struct{}), h.process, h.log
	h.ended = ended
	go func() {
		err := process.Wait()
		h.fleet.write("%s has ended: %v", h.name, err)
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.fleet.write("%s gets signal %v", h.name, s)
	_ = h.process.Process.Signal(s)
}

// waitEnded waits until the process has ended, for as long as the platform would.
func (h *host) waitEnded() error {
	select {
	case <-h.ended:
		return nil
	case <-time.After(8 * time.Second):
		return fmt.Errorf("%s does not end", h.name)
	}
}

// ready asks for the host's readiness, as the platform does.
func (h *host) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readyz", h.ip, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until all hosts are ready.
func (f *fleet) waitReady() error {
	for range 150 {
		ready := 0
		for _, h := range f.hosts {
			if h.ready() {
				ready++
			}
		}
		if ready == len(f.hosts) {
			f.write("all hosts are ready")
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("hosts are not ready in time")
}

// close ends everything that was started.
func (f *fleet) close() {
	for _, h := range f.hosts {
		if h.process != nil && h.process.Process != nil {
			_ = h.process.Process.Kill()
			<-h.ended
		}
	}
	for _, g := range f.runners {
		g.close()
	}
	if f.store != nil {
		_ = f.store.server.Close()
	}
	_ = os.RemoveAll(f.folder)
}

// listen opens a port.
func listen(address string) (net.Listener, error) {
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp4", address); err == nil {
			return listener, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, err
}

// plan writes the desired state: a call that may be repeated below /look/, one that may run
// once below /pay/, kept turns below /talk/, and one tenant.
func (f *fleet) plan(rate, burst, idleMs int) {
	f.store.put("op", "config", fmt.Appendf(nil, `{"version":3,"routes":[`+
		`{"name":"look","host":"h.example","prefix":"/look/","routeKind":"idempotent","timeoutMs":1200,"targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":2},`+
		`{"name":"talk","host":"h.example","prefix":"/talk/","routeKind":"streaming","timeoutMs":3000,"targetLatencyMs":200,"priority":1,"service":"desk","maxAttempts":2,"retained":true,"retentionS":60.0,"sticky":true,"targetGapMs":150},`+
		`{"name":"pay","host":"h.example","prefix":"/pay/","routeKind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":500,"priority":2,"service":"desk","maxAttempts":2}],`+
		`"services":[{"name":"desk","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false,"coldStartS":0,"coldPerS":0}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":%d},`+
		`"tenants":[{"name":%q,"apiKeys":[%q],"priority":1,"ratePerS":%d,"burst":%d}]}`, idleMs, tenant, key, rate, burst))
}

// usualIdle is the idleTimeoutMs of the users' example.
const usualIdle = 15000

// tenant is the only tenant, key its key.
const (
	tenant = "hule930"
	key    = "3fexd9dnn2ctnfzs989a"
)
