package connector_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/connector"
	"sapphiredrum.example/sapphiredrum/faker"
)

// serve serves handler on loopback until the test ends.
func serve(t *testing.T, handler http.Handler) sapphiredrum.Address {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return sapphiredrum.Address(server.Listener.Addr().String())
}

// newPool returns a pool that is closed when the test ends.
func newPool(t *testing.T) *connector.Pool {
	pool := connector.NewPool(connector.Options{})
	t.Cleanup(pool.Close)
	return pool
}

// refused returns a loopback address at which nothing listens.
func refused(t *testing.T) sapphiredrum.Address {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return sapphiredrum.Address(listener.Addr().String())
}

// expect fails unless err has the given type.
func expect(t interface {
	Helper()
	Fatalf(string, ...any)
}, err error, kind *errorx.Type,
) {
	t.Helper()
	if !errorx.IsOfType(err, kind) {
		t.Fatalf("got error %v, want %s", err, kind)
	}
}

// expired returns a context that has a short time left.
func expired(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

// Each fault of the platform reaches the client as the error that it stands
// for, and the table is as the error says.
func TestPlatformFaults(t *testing.T) {
	state := faker.NewPlatform(sapphiredrum.NewClock())
	address := serve(t, faker.PlatformHandler(state))
	client := &connector.Platform{Pool: newPool(t), Address: address, Timeout: 5 * sapphiredrum.Second}
	ctx := context.Background()
	version := func() uint64 {
		rows, err := state.Read(ctx, "k")
		if err != nil {
			t.Fatal(err)
		}
		return rows[0].Version
	}
	commit := func(ctx context.Context, expect uint64) error {
		write := sapphiredrum.Write{Key: "k", Expect: expect, Value: []byte("v")}
		_, err := client.Commit(ctx, sapphiredrum.Transaction{Operation: "o", Writes: []sapphiredrum.Write{write}})
		return err
	}
	if err := commit(ctx, 0); err != nil || version() != 1 {
		t.Fatalf("commit: %v", err)
	}
	expect(t, commit(ctx, 0), sapphiredrum.Conflict)
	state.SetFaults(faker.PlatformFaults{LoseAnswers: 1})
	expect(t, commit(ctx, 1), sapphiredrum.Uncertain)
	state.SetFaults(faker.PlatformFaults{LoseRequests: 1})
	expect(t, commit(ctx, 2), sapphiredrum.Uncertain)
	if version() != 2 {
		t.Fatalf("version %d after a lost answer and a lost request", version())
	}
	state.SetFaults(faker.PlatformFaults{Away: true})
	expect(t, commit(ctx, 2), sapphiredrum.Unavailable)
	_, err := client.Read(ctx, "k")
	expect(t, err, sapphiredrum.Unavailable)
	state.SetFaults(faker.PlatformFaults{Hang: true})
	expect(t, commit(expired(t), 2), sapphiredrum.Uncertain)
	_, err = client.Members(expired(t))
	expect(t, err, sapphiredrum.Unavailable)
	state.SetFaults(faker.PlatformFaults{})
	// The commit that hung takes effect although its caller gave up.
	for version() != 3 {
		time.Sleep(time.Millisecond)
	}
	away := &connector.Platform{Pool: newPool(t), Address: refused(t)}
	expect(t, away.Put(ctx, "o", nil), sapphiredrum.Unavailable)
}

// The platform's clients give back what was stored.
func TestPlatformRoundTrip(t *testing.T) {
	state := faker.NewPlatform(sapphiredrum.NewClock())
	address := serve(t, faker.PlatformHandler(state))
	client := &connector.Platform{Pool: newPool(t), Address: address}
	ctx := context.Background()
	name := "sheet/rev 1%/ü?x"
	if err := client.Put(ctx, name, []byte{0, 1}); err != nil {
		t.Fatal(err)
	}
	value, err := client.Get(ctx, name)
	if err != nil || len(value) != 2 {
		t.Fatalf("get: %v, %v", value, err)
	}
	if value, err = state.Get(ctx, name); err != nil || len(value) != 2 {
		t.Fatalf("the object has another name: %v", err)
	}
	if err := client.Delete(ctx, name); err != nil {
		t.Fatal(err)
	}
	_, err = client.Get(ctx, name)
	expect(t, err, sapphiredrum.NotFound)
	writes := []sapphiredrum.Write{{Key: "a/1", Value: []byte("v")}, {Key: "b"}}
	sequence, err := client.Commit(ctx, sapphiredrum.Transaction{Operation: "o", Writes: writes})
	if err != nil {
		t.Fatal(err)
	}
	rows, reached, err := client.Changes(ctx, "a/", 0)
	if err != nil || reached != sequence || len(rows) != 1 || string(rows[0].Value) != "v" || rows[0].Operation != "o" {
		t.Fatalf("changes: %v, %d, %v", rows, reached, err)
	}
	state.SetMembers([]sapphiredrum.Member{{Address: "127.0.0.1:9", Leaving: true}})
	members, err := client.Members(ctx)
	if err != nil || len(members) != 1 || !members[0].Leaving {
		t.Fatalf("members: %v, %v", members, err)
	}
}

// Each fault of an engine reaches the client as the error that it stands for; a
// cut answer is resumed at its offset and is whole then.
func TestEngineFaults(t *testing.T) {
	state := faker.NewEngine(sapphiredrum.NewClock(), faker.EngineSettings{Fenced: true, Words: 9})
	address := serve(t, faker.EngineHandler(state))
	client := &connector.Engine{Pool: newPool(t), Address: address}
	ctx := context.Background()
	messages := []sapphiredrum.Message{{Role: "user", Content: "line one\n\ndata: [DONE]\n\n\"two\""}}
	call := sapphiredrum.EngineCall{Stream: "z.1.p/1", Program: "p", Fence: 2, Messages: messages}
	state.SetFaults(faker.EngineFaults{Cuts: 1, CutAfter: 3})
	answer, err := client.Start(ctx, call)
	if err != nil {
		t.Fatal(err)
	}
	text, err := readAll(answer)
	expect(t, err, sapphiredrum.BrokenResponse)
	if text != faker.Text(messages, 3) {
		t.Fatalf("cut answer %q", text)
	}
	if answer, err = client.Resume(ctx, call.Stream, 3); err != nil {
		t.Fatal(err)
	}
	rest, err := readAll(answer)
	expect(t, err, sapphiredrum.EndOfStream)
	if text+rest != faker.Text(messages, 9) {
		t.Fatalf("resumed answer %q", text+rest)
	}
	call.Fence = 1
	_, err = client.Start(ctx, call)
	expect(t, err, sapphiredrum.Fenced)
	expect(t, client.Release(ctx, "p", 1), sapphiredrum.Fenced)
	call.Fence = 3
	state.SetFaults(faker.EngineFaults{LoseAnswers: 3})
	_, err = client.Start(ctx, call)
	expect(t, err, sapphiredrum.Uncertain)
	expect(t, client.Cancel(ctx, call.Stream), sapphiredrum.Uncertain)
	expect(t, client.Release(ctx, "p", 3), sapphiredrum.Uncertain)
	_, err = client.Resume(ctx, call.Stream, 0)
	expect(t, err, sapphiredrum.NotFound)
	load, err := client.Load(ctx, true)
	events, eventsErr := client.Events(ctx, 0)
	if err != nil || eventsErr != nil || load.CacheUsed != 0 || len(events) == 0 || !events[len(events)-1].Evicted {
		t.Fatalf("after the release: %v, %v, %v, %v", load, err, events, eventsErr)
	}
	state.SetFaults(faker.EngineFaults{Away: true})
	_, err = client.Start(ctx, call)
	expect(t, err, sapphiredrum.Unavailable)
	state.SetFaults(faker.EngineFaults{Hang: true})
	_, err = client.Start(expired(t), call)
	expect(t, err, sapphiredrum.Uncertain)
	starts := state.Counters().Starts
	if starts != 2 {
		t.Fatalf("%d starts", starts)
	}
}

// readAll reads an answer up to its end or failure.
func readAll(answer sapphiredrum.ResponseStream) (string, error) {
	defer answer.Close()
	var text string
	for {
		piece, err := answer.Next(context.Background())
		if err != nil {
			return text, err
		}
		text += piece.Text
	}
}

// Each fault of a service reaches the client as the error that it stands for,
// and the service ran as often as the error says. No key reaches it.
func TestServiceFaults(t *testing.T) {
	state := &faker.Service{}
	handler := faker.ServiceHandler(state)
	address := serve(t, handler)
	client := &connector.Service{Pool: newPool(t), Address: address}
	call := sapphiredrum.ServiceCall{
		Stream: "s", Method: http.MethodPost, Path: "/book?x=1", Body: []byte("steel"),
		Headers: []sapphiredrum.Header{{Name: "authorization", Value: "Bearer k"}, {Name: "X-Kind", Value: "crane"}},
	}
	steps := []struct {
		faults faker.ServiceFaults
		kind   *errorx.Type
		runs   uint64
	}{
		{faker.ServiceFaults{}, nil, 1},
		{faker.ServiceFaults{FailBefore: 1}, sapphiredrum.Unavailable, 1},
		{faker.ServiceFaults{Away: true}, sapphiredrum.Unavailable, 1},
		{faker.ServiceFaults{FailAfter: 1}, sapphiredrum.Uncertain, 2},
		{faker.ServiceFaults{HangBefore: 1}, sapphiredrum.Uncertain, 2},
		{faker.ServiceFaults{HangAfter: 1}, sapphiredrum.Uncertain, 3},
		{faker.ServiceFaults{Status: http.StatusServiceUnavailable}, nil, 4},
		{faker.ServiceFaults{Status: http.StatusFound}, nil, 5},
	}
	for _, s := range steps {
		state.SetFaults(s.faults)
		ctx := context.Background()
		if s.faults.HangBefore+s.faults.HangAfter > 0 {
			ctx = expired(t)
		}
		_, err := client.Call(ctx, call)
		if s.kind == nil && err != nil || s.kind != nil && !errorx.IsOfType(err, s.kind) {
			t.Fatalf("%+v: %v", s.faults, err)
		}
		if runs := state.Counters().Streams["s"]; runs != s.runs {
			t.Fatalf("%+v: %d runs", s.faults, runs)
		}
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/counters", nil))
	if body := recorder.Body.String(); !contains(body, `"Authorizations":0`) {
		t.Fatalf("a key reached the service: %s", body)
	}
	client.Address = refused(t)
	_, err := client.Call(context.Background(), call)
	expect(t, err, sapphiredrum.Unavailable)
}

// Closing an answer, or ending its context, frees its connection and all
// goroutines, also while Next waits.
func TestAnswerFreesResources(t *testing.T) {
	state := faker.NewEngine(sapphiredrum.NewClock(), faker.EngineSettings{Token: 1e6})
	server := httptest.NewUnstartedServer(faker.EngineHandler(state))
	var mutex sync.Mutex
	open := map[net.Conn]bool{}
	server.Config.ConnState = func(conn net.Conn, s http.ConnState) {
		mutex.Lock()
		defer mutex.Unlock()
		open[conn] = s == http.StateActive
		if s == http.StateClosed {
			delete(open, conn)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	before := runtime.NumGoroutine()
	address := sapphiredrum.Address(server.Listener.Addr().String())
	client := &connector.Engine{Pool: newPool(t), Address: address}
	var readers sync.WaitGroup
	for i := range 20 {
		ctx, cancel := context.WithCancel(context.Background())
		answer, err := client.Start(context.Background(), sapphiredrum.EngineCall{Stream: sapphiredrum.StreamID(rune('a' + i))})
		if err != nil {
			t.Fatal(err)
		}
		readers.Go(func() {
			_, err := answer.Next(ctx)
			expect(t, err, sapphiredrum.BrokenResponse)
			answer.Close()
		})
		if i%2 == 0 {
			answer.Close()
		}
		cancel()
	}
	readers.Wait()
	for range 1000 {
		mutex.Lock()
		left := len(open)
		mutex.Unlock()
		if left == 0 && runtime.NumGoroutine() <= before {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%d connections and %d goroutines are left", len(open), runtime.NumGoroutine()-before)
}

// Guards against an answer of a service whose status is none being passed on: the service may have
// run the request.
func TestAnswerWithoutAStatusIsUncertain(t *testing.T) {
	for _, status := range []string{"000", "012", "+12", "600", "999"} {
		address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Trouble\r\nContent-Length: 4\r\n\r\nbody")
			_ = conn.Close()
		}))
		service := &connector.Service{Pool: newPool(t), Address: address}
		_, err := service.Call(t.Context(), sapphiredrum.ServiceCall{Method: http.MethodPost, Path: "/x"})
		expect(t, err, sapphiredrum.Uncertain)
	}
}
