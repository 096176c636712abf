package tunneler_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/exchanger"
	"sapphiredrum.example/sapphiredrum/gossiper"
	"sapphiredrum.example/sapphiredrum/tunneler"
)

// carrierVariable makes the test's binary a host that carries tunnels to the target it names.
const carrierVariable = "TUNNELER_TEST_TARGET"

func TestMain(m *testing.M) {
	target := os.Getenv(carrierVariable)
	if target == "" {
		os.Exit(m.Run())
	}
	t := tunneler.New(tunneler.Config{
		Direct: exchanger.Direct(), Peers: func() []gossiper.Peer { return nil },
		Targets: func() []sd.Address { return []sd.Address{sd.Address(target)} }, Clock: sd.NewClock(), Log: zap.NewNop(),
	})
	router := echo.New()
	t.RegisterHandlers(router)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		os.Exit(1)
	}
	fmt.Println(listener.Addr())
	_ = (&http.Server{Handler: router}).Serve(listener)
}

// startCarrier starts a host that carries tunnels to target in a process of its own.
func startCarrier(t *testing.T, target sd.Address) (*exec.Cmd, gossiper.Peer) {
	t.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), carrierVariable+"="+string(target))
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
	return command, gossiper.Peer{Host: "carrier", Zone: "z", Address: sd.Address(strings.TrimSpace(at))}
}

// Guards against the end of a carrier's process looking like that of an answer without a frame,
// whose target is up and confirms it: whatever the tunnel was at, it must be reset.
func TestAnswersThroughAKilledCarrierAreNotWhole(t *testing.T) {
	const rounds, callers = 12, 20
	target := listen(t, func(conn *net.TCPConn) {
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
		for ; err == nil; time.Sleep(time.Millisecond) {
			_, err = io.WriteString(conn, "data: x\n\n")
		}
		_ = conn.Close()
	})
	var whole, broken, none atomic.Int64
	for round := range rounds {
		command, peer := startCarrier(t, target)
		var gone atomic.Bool
		direct := &path{Dialer: exchanger.Direct()}
		direct.cut.Store(true)
		h := tunneler.New(tunneler.Config{
			Direct: direct, Zone: "z", Targets: func() []sd.Address { return []sd.Address{target} },
			Peers: func() []gossiper.Peer { return []gossiper.Peer{peer} }, MaxIdle: maxIdle, Clock: sd.NewClock(), Log: zap.NewNop(),
		})
		x := exchanger.New(exchanger.Settings{Clock: sd.NewClock(), Dialer: h})
		var ended sync.WaitGroup
		for range callers {
			ended.Go(func() {
				// Tunnels are opened until the carrier is gone.
				for !gone.Load() {
					answer, err := x.Exchange(t.Context(), target, exchanger.Call{
						Method: http.MethodGet, URI: "/", Host: "h", Belongs: func(int, http.Header) bool { return true },
					})
					if err != nil {
						none.Add(1)
						time.Sleep(time.Millisecond)
						continue
					}
					limit := int64(1 + rand.IntN(1<<10))
					n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, limit))
					answer.Close(false)
					switch {
					case err != nil:
						broken.Add(1)
					case n < limit:
						whole.Add(1)
					}
				}
			})
		}
		time.Sleep(time.Duration(20+rand.IntN(40)) * time.Millisecond)
		// The direct path is back, so that the target confirms what ends.
		direct.cut.Store(false)
		signal := []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[round%2]
		if err := command.Process.Signal(signal); err != nil {
			t.Fatal(err)
		}
		if err := command.Wait(); err != nil && !errors.As(err, new(*exec.ExitError)) {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
		gone.Store(true)
		ended.Wait()
		x.Close()
		h.Close()
	}
	t.Logf("%d answers broken, %d not begun, %d look whole", broken.Load(), none.Load(), whole.Load())
	if whole.Load() > 0 || broken.Load() < rounds {
		t.Error("answers look whole, or too few were under way")
	}
}
