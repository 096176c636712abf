package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/platform"
	"sapphiredrum.example/sapphiredrum/platform/emulator"
)

const (
	// program is what the deploy file starts on each machine.
	program = "target/sapphiredrum"
	// template is the template of its settings.
	template = "deploy/entry.ini"
	// callerPort, readyPort, peerPort and metricsPort are the ports of each machine, as on the pages.
	callerPort, readyPort, peerPort, metricsPort = 8368, 8369, 7780, 7790
	// txTime and readTime are how long the store takes for a transaction and for a read.
	txTime, readTime = 5 * time.Millisecond, 4 * time.Millisecond
	// startTime is how long the machines of a deployment may take to become ready.
	startTime = 15 * time.Second
	// settleTime is how long after that a deployment has run when the case begins.
	settleTime = 2 * time.Second
	// tenantRate is the rate and the burst of each tenant, as in the example of `fleetbench wire`.
	tenantRate = 267
	// usualMachine is the memory of the machines of cip-insegne, in megabytes.
	usualMachine = 304
	// runnerCount and runnerSlots are the number of model runners and of the slots of each.
	runnerCount, runnerSlots = 9, 12
)

// errSetup marks a case that could not run.
var errSetup = errors.New("case could not be set up")

// world is a small deployment on loopback addresses: the platform's store, machines and runners.
type world struct {
	rows     *faker.Rows
	store    *http.Server
	storeAt  string
	folder   string
	network  string
	machines []*machine
	record   *os.File
	began    time.Time
	// ran counts the runs at all runners.
	ran  atomic.Int64
	lock sync.Mutex
}

// newWorld returns a deployment with runners and a desired state, and no machines.
func newWorld(record string, pause sd.Millis, events int) (*world, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{rows: faker.NewRows(1), folder: folder, record: file, began: time.Now()}
	if w.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAt = listener.Addr().String()
	w.store = &http.Server{Handler: emulator.Store(&pacedStore{Rows: w.rows})}
	go func() { _ = w.store.Serve(listener) }()
	plan := emulator.Plan(1, tenantRate, "k1", "k2", "k3", "k4")
	w.rows.Write(sd.RecordKey{Table: platform.OperatorTable, Key: "config"}, plan)
	w.say("desired state: %s", plan)
	for i := range runnerCount {
		if err := w.addRunner(fmt.Sprintf("i-%d", i), pause, events); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// freeNetwork returns the first three numbers of loopback addresses whose ports are free.
func freeNetwork() (string, error) {
	for i := range 100 {
		n := os.Getpid() + i
		network := fmt.Sprintf("127.%d.%d", 64+n%128, n/128%250)
		listener, err := net.Listen("tcp4", fmt.Sprintf("%s.1:%d", network, callerPort))
		if err == nil {
			return network, listener.Close()
		}
	}
	return "", fmt.Errorf("%w: no free addresses", errSetup)
}

// addRunner starts a model runner and registers it.
func (w *world) addRunner(id string, pause sd.Millis, events int) error {
	target := &emulator.Target{ID: sd.TargetID(id), Pause: pause, Events: events, Started: func(_, _ string) { w.ran.Add(1) }}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, target) }()
	w.rows.Write(sd.RecordKey{Table: platform.TargetTable, Key: id},
		target.Registration("engines", "z", sd.Address(listener.Addr().String()), runnerSlots, "ready"))
	return nil
}

// say writes a line to the record.
func (w *world) say(format string, args ...any) {
	w.lock.Lock()
	defer w.lock.Unlock()
	fmt.Fprintf(w.record, "%7.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all that was started.
func (w *world) close() {
	for _, m := range w.machines {
		m.kill()
		_ = m.log.Close()
	}
	_ = w.store.Close()
	_ = os.RemoveAll(w.folder)
	_ = w.record.Close()
}

// pacedStore takes the time that the pages name for each call. The transactions of a part come one
// after another.
type pacedStore struct {
	*faker.Rows
	parts sync.Map
}

// Commit implements sd.Store.
func (s *pacedStore) Commit(ctx context.Context, update sd.Update) (sd.Page, error) {
	part := ""
	if len(update.Expect) > 0 {
		part = update.Expect[0].Part
	}
	value, _ := s.parts.LoadOrStore(part, &sync.Mutex{})
	if lock, ok := value.(*sync.Mutex); ok {
		lock.Lock()
		time.Sleep(txTime)
		lock.Unlock()
	}
	return s.Rows.Commit(ctx, update)
}

// List implements sd.Store.
func (s *pacedStore) List(ctx context.Context, table, part, from, to string) (sd.Page, error) {
	time.Sleep(readTime)
	return s.Rows.List(ctx, table, part, from, to)
}

// machine is a machine that runs one process of the system.
type machine struct {
	name, zone, ip string
	// memory is the machine's memory in megabytes.
	memory   int
	settings string
	log      *os.File

	lock    sync.Mutex
	process *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
	// most is the most memory that the process had, exceeded counts the processes that were killed
	// for it.
	most, exceeded int
}

// addMachines adds machines and starts them.
func (w *world) addMachines(zone string, memory, count int) error {
	for range count {
		n := len(w.machines) + 1
		m := &machine{name: fmt.Sprintf("frontend-%s-%d", zone, n), zone: zone, ip: fmt.Sprintf("%s.%d", w.network, n), memory: memory}
		if err := m.writeSettings(w.folder, w.storeAt); err != nil {
			return err
		}
		var err error
		if m.log, err = os.Create(filepath.Join(w.folder, m.name+".log")); err != nil {
			return err
		}
		w.machines = append(w.machines, m)
		if err := m.start(); err != nil {
			return err
		}
		w.say("%s starts with %d MB", m.name, memory)
	}
	return nil
}

// writeSettings fills the template of the settings in as the platform does.
func (m *machine) writeSettings(folder, store string) error {
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	filled := strings.NewReplacer(
		"{{nodeName}}", m.name, "{{zone}}", m.zone, "{{ip}}", m.ip, "{{limits.memoryMb}}", strconv.Itoa(m.memory), "{{limits.cpuShare}}", "0.8",
		"{{listen.front}}", m.address(callerPort), "{{listen.ready}}", m.address(readyPort), "{{internalPorts}}", fmt.Sprintf("%d,%d", peerPort, peerPort+15),
		"{{platform.address}}", store, "{{heartbeatMs}}", "1200", "{{bounds.drainMs}}", "2000", "{{bounds.graceS}}", "8",
		"{{bounds.coldOvershoot}}", "1.5", "{{bounds.coldSlack}}", "5", "{{bounds.quotaWindowS}}", "5",
		"{{bounds.quotaOvershoot}}", "0.1", "{{bounds.quotaSlack}}", "20",
	).Replace(string(text))
	if strings.Contains(filled, "{{") {
		return fmt.Errorf("%w: template has an unknown placeholder", errSetup)
	}
	m.settings = filepath.Join(folder, m.name+".ini")
	return os.WriteFile(m.settings, []byte(filled), 0o600)
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

// start starts the process of a machine as the deploy file says.
func (m *machine) start() error {
	process, ended := exec.Command(program, "entry", "--config", m.settings), make(chan struct{})
	process.Env = append(os.Environ(), "SAPPHIREDRUM_HOST_DESCRIPTORS=8200")
	process.Stdout, process.Stderr = m.log, m.log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	m.lock.Lock()
	defer m.lock.Unlock()
	m.process, m.ended = process, ended
	return nil
}

// current returns the process of a machine, or nil if it has ended.
func (m *machine) current() (*os.Process, <-chan struct{}) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.process == nil {
		return nil, nil
	}
	select {
	case <-m.ended:
		return nil, nil
	default:
		return m.process.Process, m.ended
	}
}

// kill kills the process of a machine and waits for its end.
func (m *machine) kill() {
	if process, ended := m.current(); process != nil {
		_ = process.Kill()
		<-ended
	}
}

// ready asks whether a machine may get connections, as the platform does.
func (m *machine) ready() bool {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	client := http.Client{Timeout: time.Second, Transport: transport}
	answer, err := client.Get("http://" + m.address(readyPort) + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func (w *world) awaitReady() error {
	until := time.Now().Add(startTime)
	for _, m := range w.machines {
		for !m.ready() {
			if time.Now().After(until) {
				return fmt.Errorf("%w: %s is not ready", errSetup, m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
