package main_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/connector"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/leaser"
)

// binaries is the folder of the programs under test.
var binaries string

func TestMain(m *testing.M) {
	if text := os.Getenv(targetVariable); text != "" {
		serveTarget(text)
	}
	folder, err := os.MkdirTemp("", "sapphiredrum")
	if err != nil {
		panic(err)
	}
	binaries = folder
	// Tests of other processes take other ports.
	ports.Store(int64(os.Getpid()) * portsOfProcess)
	build := exec.Command("go", "build", "-o", folder, "sapphiredrum.example/sapphiredrum/cmd/...")
	if text, err := build.CombinedOutput(); err != nil {
		panic(string(text))
	}
	status := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(status)
}

// fleet is a platform, targets and hosts as processes.
type fleet struct {
	t        *testing.T
	platform sd.Address
	engine   sd.Address
	service  sd.Address
	folder   string
	hosts    map[sd.HostID]*process
	key      string
}

// process is a host's process.
type process struct {
	command  *exec.Cmd
	caller   sd.Address
	operator sd.Address
	ended    chan error
}

const sheetText = `[workspace desk]
tier = 0
rate = 1000
burst = 1000
budget = 100000
[zone zone-1]
region = r
[zone zone-2]
region = r
[route chat]
path = /v1/chat/completions
kind = model
group = runners
model = m1
timeout = 20000
[route courier]
path = /courier
kind = service
group = desks
timeout = 8000
cost = 5
[target runner-1]
address = %s
zone = zone-1
group = runners
fenced = true
slots = 8
cold = 4
ramp = 1000
memory = 400000
[target desk-1]
address = %s
zone = zone-1
group = desks
slots = 4
cold = 4
`

func newFleet(t *testing.T, engine ...string) *fleet {
	f := &fleet{t: t, folder: t.TempDir(), hosts: make(map[sd.HostID]*process)}
	f.platform = f.standin("platform")
	f.engine = f.standin("engine", append([]string{"--target", "runner-1", "--model", "m1", "--slots", "8", "--cold", "4", "--ramp", "1000", "--fenced"}, engine...)...)
	f.service = f.standin("service")
	f.apply(fmt.Sprintf(sheetText, f.engine, f.service))
	issued := f.run(0, "key", "issue", "desk", "desk-1", "--platform", string(f.platform))
	line, _, _ := strings.Cut(issued, "\n")
	f.key = line[strings.LastIndex(line, " ")+1:]
	return f
}

// standin starts a stand-in and returns its address.
func (f *fleet) standin(kind string, flags ...string) sd.Address {
	f.t.Helper()
	command := exec.Command(filepath.Join(binaries, "sapphiredrum-standin"), append([]string{kind}, flags...)...)
	output, err := command.StdoutPipe()
	if err != nil {
		f.t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = command.Process.Kill(); _ = command.Wait() })
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		f.t.Fatal(err)
	}
	return sd.Address(strings.TrimSpace(line[strings.LastIndex(line, " ")+1:]))
}

// run runs an operator's command that has to end with the given status.
func (f *fleet) run(status int, arguments ...string) string {
	f.t.Helper()
	text, err := exec.Command(filepath.Join(binaries, "sapphiredrum"), arguments...).CombinedOutput()
	found := 0
	if exit, failed := err.(*exec.ExitError); failed {
		found = exit.ExitCode()
	}
	if found != status {
		f.t.Fatalf("%v: exit status %d, want %d: %s", arguments, found, status, text)
	}
	return string(text)
}

func (f *fleet) apply(text string) {
	f.t.Helper()
	path := filepath.Join(f.folder, "sheet.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.run(0, "apply", path, "--platform", string(f.platform), "--note", "test")
}

// start starts a host and waits until it is ready.
func (f *fleet) start(name sd.HostID, zone sd.ZoneName) *process {
	f.t.Helper()
	p := &process{caller: free(f.t), operator: free(f.t), ended: make(chan error, 1)}
	settings := fmt.Sprintf("[host]\nname = %s\nzone = %s\ncaller = %s\npeer = %s\noperator = %s\nplatform = %s\nttl = 1500\ndrift = 100\npoll = 200\nlinger = 500\ndrain = 10000\nlog = warn\n",
		name, zone, p.caller, free(f.t), p.operator, f.platform)
	path := filepath.Join(f.folder, string(name)+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		f.t.Fatal(err)
	}
	p.command = exec.Command(filepath.Join(binaries, "sapphiredrum"), "host", "--config", path)
	log := &strings.Builder{}
	p.command.Stderr = log
	if err := p.command.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() { p.ended <- p.command.Wait() }()
	f.hosts[name] = p
	f.t.Cleanup(func() {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.ended
		if f.t.Failed() {
			f.t.Logf("%s: %s", name, tail(log.String()))
		}
	})
	f.eventually("the host is ready", func() bool { return status(p.operator, "/ready") == http.StatusNoContent })
	return p
}

func tail(text string) string {
	return text[max(0, len(text)-3000):]
}

func (f *fleet) eventually(what string, done func() bool) {
	f.t.Helper()
	for range 1500 {
		if done() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatalf("never happened: %s", what)
}

// ports counts the ports given to hosts.
var ports atomic.Int64

const (
	// portsFirst and portsMost bound the ports below the range of outgoing connections,
	// which begins at 32768 on Linux.
	portsFirst, portsMost = 15000, 17000
	// portsOfProcess is about the number of ports of all tests here.
	portsOfProcess = 200
)

func free(t *testing.T) sd.Address {
	t.Helper()
	// Ports below the range from which outgoing connections get theirs: none of
	// these takes the port between this check and its use.
	for range portsMost {
		port := portsFirst + ports.Add(1)%portsMost
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			_ = listener.Close()
			return sd.Address(listener.Addr().String())
		}
	}
	t.Fatal("no port is free")
	return ""
}

func status(address sd.Address, path string) int {
	response, err := http.Get("http://" + string(address) + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// keeper returns the host that owns a program's shard in the platform's table.
func (f *fleet) keeper(program sd.ProgramID) sd.HostID {
	f.t.Helper()
	shard, err := program.Shard()
	if err != nil {
		f.t.Fatal(err)
	}
	pool := connector.NewPool(connector.Options{})
	defer pool.Close()
	platform := &connector.Platform{Pool: pool, Address: f.platform}
	rows, err := platform.Read(context.Background(), sd.RowKey(fmt.Sprintf("shard/%s/%d", shard.Zone, shard.Number)))
	if err != nil {
		f.t.Fatal(err)
	}
	var row leaser.ShardRow
	_ = json.Unmarshal(rows[0].Value, &row)
	return row.Host
}

// post sets a stand-in's faults.
func (f *fleet) post(address sd.Address, path, body string) {
	f.t.Helper()
	response, err := http.Post("http://"+string(address)+path, "application/json", strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode >= 300 {
		f.t.Fatalf("%s: status %d", path, response.StatusCode)
	}
}

// runs returns how often the service ran a call.
func (f *fleet) runs() uint64 {
	response, err := http.Get("http://" + string(f.service) + "/counters")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	var counters struct{ Service faker.ServiceCounters }
	_ = json.NewDecoder(response.Body).Decode(&counters)
	return counters.Service.Runs
}

// reply is an answer as a caller sees it.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends a caller's request to a host.
func (f *fleet) send(p *process, method, path, body string, headers ...string) reply {
	request, _ := http.NewRequest(method, "http://"+string(p.caller)+path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+f.key)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}

// open opens a program at a host.
func (f *fleet) open(p *process) (sd.ProgramID, string) {
	f.t.Helper()
	answer := f.send(p, "POST", "/programs", "{}")
	var created struct {
		Program sd.ProgramID
		Head    string
	}
	if json.Unmarshal([]byte(answer.body), &created) != nil || answer.status != http.StatusCreated {
		f.t.Fatalf("create: %+v", answer)
	}
	return created.Program, created.Head
}

// other returns a host that is not the given one.
func (f *fleet) other(name sd.HostID) *process {
	for other, p := range f.hosts {
		if other != name {
			return p
		}
	}
	return nil
}

const ask = `{"messages":[{"role":"user","content":"hello"}],"max_tokens":64,"stream":true}`

// The README's path: processes, the operator's commands, a program at two hosts.
func TestPathOfProcesses(t *testing.T) {
	f := newFleet(t)
	one, two := f.start("h1", "zone-1"), f.start("h2", "zone-2")
	f.post(f.engine, "/faults", fmt.Sprintf(`{"secrets":[%q]}`, f.key))
	program, head := f.open(one)
	chat := f.send(two, "POST", "/v1/chat/completions", ask, "Sapphiredrum-Program", string(program), "Sapphiredrum-Head", head)
	if chat.status != 200 || !strings.Contains(chat.body, "data: [DONE]") {
		t.Fatalf("chat: %+v", chat)
	}
	if booked := f.send(two, "POST", "/courier", "{}", "Sapphiredrum-Program", string(program)); booked.status != 200 || f.runs() != 1 {
		t.Fatalf("courier: %+v, %d runs", booked, f.runs())
	}
	if ended := f.send(one, "DELETE", "/programs/"+string(program), ""); ended.status != 200 {
		t.Fatalf("end: %+v", ended)
	}
	if text := f.run(0, "status", "--platform", string(f.platform)); !strings.Contains(text, "h1") || !strings.Contains(text, "ready") {
		t.Fatalf("status: %s", text)
	}
	if text := f.run(0, "diff", filepath.Join(f.folder, "sheet.ini"), "--platform", string(f.platform)); !strings.Contains(text, "key desk-1") {
		t.Fatalf("diff does not show the issued key: %s", text)
	}
}

// A keeper that is killed in mid-stream costs its caller the answer, never the
// program: another host goes on from the same head.
func TestKeeperKilledInStream(t *testing.T) {
	f := newFleet(t, "--token", "40")
	f.start("h1", "zone-1")
	f.start("h2", "zone-1")
	program, head := f.open(f.hosts["h1"])
	first := f.send(f.hosts["h1"], "POST", "/v1/chat/completions", ask, "Sapphiredrum-Program", string(program), "Sapphiredrum-Head", head)
	if first.status != 200 {
		t.Fatalf("first call: %+v", first)
	}
	keeper := f.keeper(program)
	entry := f.other(keeper)
	answers := make(chan reply, 1)
	go func() {
		answers <- f.send(entry, "POST", "/v1/chat/completions", ask, "Sapphiredrum-Program", string(program), "Sapphiredrum-Call", "cut")
	}()
	time.Sleep(700 * time.Millisecond)
	_ = f.hosts[keeper].command.Process.Kill()
	cut := <-answers
	if cut.err != nil || strings.Contains(cut.body, "[DONE]") || !strings.Contains(cut.body, "answer-cut") {
		t.Fatalf("the cut answer: %+v", cut)
	}
	var next reply
	f.eventually("another host goes on", func() bool {
		next = f.send(entry, "POST", "/v1/chat/completions", ask, "Sapphiredrum-Program", string(program))
		return next.status == 200
	})
	if !strings.Contains(next.body, `"head":"2-`) || !strings.Contains(next.body, "[DONE]") {
		t.Fatalf("the next call: %+v", next)
	}
}

// A keeper that is killed while a call that must not be repeated may be running
// leaves it unknown, and nobody runs it again.
func TestKeeperKilledInAction(t *testing.T) {
	f := newFleet(t)
	f.start("h1", "zone-1")
	f.start("h2", "zone-1")
	program, _ := f.open(f.hosts["h1"])
	f.post(f.service, "/faults", `{"faults":{"HangAfter":1}}`)
	keeper := f.keeper(program)
	entry := f.other(keeper)
	answers := make(chan reply, 1)
	go func() {
		answers <- f.send(entry, "POST", "/courier", "{}", "Sapphiredrum-Program", string(program), "Sapphiredrum-Call", "once")
	}()
	f.eventually("the service runs the call", func() bool { return f.runs() == 1 })
	_ = f.hosts[keeper].command.Process.Kill()
	if lost := <-answers; lost.header.Get("Sapphiredrum-Outcome") != "unknown" {
		t.Fatalf("the lost call: %+v", lost)
	}
	var again reply
	f.eventually("another host answers for the call", func() bool {
		again = f.send(entry, "POST", "/courier", "{}", "Sapphiredrum-Program", string(program), "Sapphiredrum-Call", "once")
		return again.status != http.StatusServiceUnavailable
	})
	if again.header.Get("Sapphiredrum-Outcome") != "unknown" || f.runs() != 1 {
		t.Fatalf("the repeated call: %+v after %d runs", again, f.runs())
	}
}

// A keeper that is frozen past its lease and goes on finds that it owns nothing:
// the program has moved on and no history forks.
func TestKeeperFrozenPastLease(t *testing.T) {
	f := newFleet(t)
	f.start("h1", "zone-1")
	f.start("h2", "zone-1")
	program, head := f.open(f.hosts["h1"])
	keeper := f.keeper(program)
	frozen, entry := f.hosts[keeper], f.other(keeper)
	_ = frozen.command.Process.Signal(syscall.SIGSTOP)
	var moved reply
	f.eventually("another host takes the program over", func() bool {
		moved = f.send(entry, "POST", "/v1/chat/completions", ask, "Sapphiredrum-Program", string(program), "Sapphiredrum-Head", head)
		return moved.status == 200
	})
	_ = frozen.command.Process.Signal(syscall.SIGCONT)
	for range 10 {
		stale := f.send(frozen, "POST", "/v1/chat/completions", ask, "Sapphiredrum-Program", string(program), "Sapphiredrum-Head", head)
		if stale.status == 200 {
			t.Fatalf("a second history grew from the old head: %+v", stale)
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.eventually("the program goes on at the host that came back", func() bool {
		return f.send(frozen, "POST", "/v1/chat/completions", ask, "Sapphiredrum-Program", string(program)).status == 200
	})
}

// Of two operators who apply at once, one is told of the other's change.
func TestOperatorsRace(t *testing.T) {
	f := newFleet(t)
	basis := "2"
	for name, rate := range map[string]string{"a": "rate = 900", "b": "rate = 800"} {
		text := strings.Replace(fmt.Sprintf(sheetText, f.engine, f.service), "rate = 1000", rate, 1)
		if err := os.WriteFile(filepath.Join(f.folder, name+".ini"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	type ending struct {
		text   string
		status int
	}
	endings := make(chan ending, 2)
	for _, name := range []string{"a", "b"} {
		go func() {
			text, err := exec.Command(filepath.Join(binaries, "sapphiredrum"), "apply", filepath.Join(f.folder, name+".ini"),
				"--platform", string(f.platform), "--basis", basis, "--author", "operator-"+name).CombinedOutput()
			status := 0
			if exit, failed := err.(*exec.ExitError); failed {
				status = exit.ExitCode()
			}
			endings <- ending{text: string(text), status: status}
		}()
	}
	first, second := <-endings, <-endings
	if first.status != 0 {
		first, second = second, first
	}
	if first.status != 0 || second.status != 3 || !strings.Contains(second.text, "operator-") {
		t.Fatalf("got %+v and %+v", first, second)
	}
}
