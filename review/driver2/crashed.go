package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The runners of the case, processes of their own, one of which is killed at a time.
const (
	processes     = 7
	processEvents = 12
	eventPause    = 20 * time.Millisecond
	kills         = 40
	killPause     = 500 * time.Millisecond
	streams       = 24
	// inherited is the descriptor of the port that a runner's process is given.
	inherited = 3
)

// runUnframed serves streams that end with their channel until the process is killed. It has its
// port from its supervisor.
func runUnframed(id string) {
	listener, err := net.FileListener(os.NewFile(inherited, "port"))
	if err != nil {
		fail("runner: %v", err)
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			name := request.Header.Get("Request-Id")
			if request.Header.Get("Expect-Instance") != id {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", name)
				return
			}
			_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s.%s\r\nContent-Type: text/event-stream\r\n\r\n", name, id)
			for i := 0; i < processEvents && err == nil; i++ {
				time.Sleep(eventPause)
				_, err = fmt.Fprintf(conn, "id: %d\ndata: %s.%d\n\n", i+1, name, i)
			}
		}()
	}
}

// openPort opens a runner's port, which its supervisor keeps.
func openPort(address string) *os.File {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		fail("runner: %v", err)
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		fail("runner: no port")
	}
	file, err := tcp.File()
	if err != nil {
		fail("runner: %v", err)
	}
	_ = listener.Close()
	return file
}

// startUnframed starts a runner's process.
func startUnframed(id string, port *os.File) *exec.Cmd {
	command := exec.Command(os.Args[0], "runner", id)
	command.ExtraFiles = []*os.File{port}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		fail("runner: %v", err)
	}
	return command
}

// crashedCase kills a runner at a time, which its supervisor starts again at once. The supervisor
// keeps the port open meanwhile.
func crashedCase() {
	w := newWorld(plan(4000))
	var running [processes]*exec.Cmd
	var addresses [processes]string
	var ports [processes]*os.File
	for i := range processes {
		g := runner{id: fmt.Sprintf("i-%d", i), service: "engines", slots: 12, address: freePort()}
		addresses[i] = g.address
		ports[i] = openPort(g.address)
		running[i] = startUnframed(g.id, ports[i])
		w.store.put("servers", g.id, g.registration(time.Now().UnixMilli()))
	}
	w.addHosts(3, 154)
	time.Sleep(2 * time.Second)
	done := make(chan struct{})
	var group sync.WaitGroup
	var lock sync.Mutex
	whole, cut, wrong := 0, 0, 0
	for c := range streams {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				id := fmt.Sprintf("c%d-%d", c, n)
				o := send(w.hosts[c%len(w.hosts)], turn{id: id, key: key(c), program: id, usage: "10,280", budget: "2240", body: []byte("hello\n"), limit: 4 * time.Second, aim: 30 * time.Second})
				events := strings.Count(o.body, "data: ")
				lock.Lock()
				switch {
				case o.status != 200:
					cut++
				case events < processEvents:
					wrong++
					note("%s was ended as whole after %d of %d events", id, events, processEvents)
				default:
					whole++
				}
				lock.Unlock()
				if o.status != 200 {
					time.Sleep(retryPause)
				}
			}
		})
	}
	for n := range kills {
		time.Sleep(killPause)
		if !trouble {
			continue
		}
		i := n % processes
		id := fmt.Sprintf("i-%d", i)
		if err := running[i].Process.Kill(); err != nil {
			fail("runner: %v", err)
		}
		_ = running[i].Wait()
		running[i] = startUnframed(id, ports[i])
		born := time.Now().UnixMilli()
		// A runner registers with its next report.
		time.AfterFunc(time.Second, func() {
			w.store.put("servers", id, (&runner{id: id, service: "engines", slots: 12, address: addresses[i]}).registration(born))
		})
	}
	close(done)
	group.Wait()
	note("%d streams were whole, %d were not and looked so, %d looked whole and were not", whole, cut, wrong)
	w.judge(wrong > 0)
}
