package exchanger_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/exchanger"
)

// processVariable makes the test's binary a target that streams without a frame.
const processVariable = "EXCHANGER_TEST_TARGET"

func TestMain(m *testing.M) {
	if os.Getenv(processVariable) == "" {
		os.Exit(m.Run())
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		os.Exit(1)
	}
	fmt.Println(listener.Addr())
	for {
		conn, err := listener.Accept()
		if err != nil {
			os.Exit(1)
		}
		go func() {
			id, _ := next(bufio.NewReader(conn))
			_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\n\r\n")
			for ; err == nil; time.Sleep(20 * time.Millisecond) {
				_, err = io.WriteString(conn, "data: x\n\n")
			}
		}()
	}
}

// startProcess starts a target in a process of its own.
func startProcess(t *testing.T) (*exec.Cmd, sd.Address) {
	t.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), processVariable+"=1")
	output, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	at, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return command, sd.Address(strings.TrimSpace(at))
}

// Guards against an answer of a killed target that is taken for whole: the kernel closes the
// sockets of a process one after the other, and its listener, which accepts connections until
// then, after others.
func TestAnswersOfAKilledProcessAreNotWhole(t *testing.T) {
	const rounds, answers = 10, 50
	whole := 0
	for range rounds {
		command, at := startProcess(t)
		x := exchanger.New(exchanger.Settings{Clock: sd.NewClock()})
		var begun, ended sync.WaitGroup
		results := make(chan error, answers)
		for i := range answers {
			begun.Add(1)
			ended.Go(func() {
				answer, err := x.Exchange(t.Context(), at, call(itoa(i)))
				if err == nil {
					_, err = io.ReadFull(answer.Body, make([]byte, 1))
				}
				begun.Done()
				if err != nil {
					t.Errorf("answer did not begin: %v", err)
					return
				}
				_, err = io.Copy(io.Discard, answer.Body)
				answer.Close(err == nil)
				results <- err
			})
		}
		begun.Wait()
		if err := command.Process.Kill(); err != nil {
			t.Fatal(err)
		}
		ended.Wait()
		close(results)
		for err := range results {
			if !errorx.IsOfType(err, sd.BrokenResponse) {
				whole++
			}
		}
		x.Close()
	}
	if whole > 0 {
		t.Errorf("%d of %d answers that broke off are whole", whole, rounds*answers)
	}
}

// Guards against the same where the order in which the sockets are closed is certain.
func TestListenerThatIsClosedAfterAnAnswerConfirmsNothing(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			id, _ := next(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\n\r\nhalf")
			err = conn.Close()
		}
		time.Sleep(3 * time.Millisecond)
		_ = listener.Close()
		ended <- err
	}()
	x, _ := newExchanger(t)
	body, err := fetch(t, x, sd.Address(listener.Addr().String()), call("a"))
	if body != "half" || !errorx.IsOfType(err, sd.BrokenResponse) {
		t.Errorf("%q, %v, want half and a broken answer", body, err)
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}
