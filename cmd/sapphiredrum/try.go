package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/connector"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/follower"
	"sapphiredrum.example/sapphiredrum/launcher"
	"sapphiredrum.example/sapphiredrum/loader"
)

// trial is a host with a platform and targets of its own, all in this process.
type trial struct {
	output   io.Writer
	clock    sd.Clock
	platform *faker.Platform
	service  *faker.Service
	servers  []*http.Server
	settings loader.Settings
	secret   string
}

// runTry drives a program through a host of its own and prints what happens.
// With stay it serves on until ctx ends.
func runTry(ctx context.Context, stay bool, output io.Writer) error {
	t := &trial{output: output, clock: sd.NewClock(), service: &faker.Service{}, secret: "sd-" + sd.RandomID()}
	defer t.close()
	t.platform = faker.NewPlatform(t.clock)
	if err := t.build(ctx); err != nil {
		return err
	}
	inner, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- t.newHost().Run(inner) }()
	err := t.drive(ctx)
	if err == nil && stay {
		t.invite()
		<-ctx.Done()
	}
	stop()
	if hostErr := <-ended; err == nil {
		err = hostErr
	}
	return err
}

// build starts the targets and commits a sheet that names them.
func (t *trial) build(ctx context.Context) error {
	engine := faker.NewEngine(t.clock, faker.EngineSettings{
		Target: "runner-1", Slots: 8, Cold: 4, Ramp: sd.Second, Words: 24, Token: 20, Fenced: true,
	})
	engineAddress, err := t.serve(faker.EngineHandler(engine))
	if err != nil {
		return err
	}
	serviceAddress, err := t.serve(faker.ServiceHandler(t.service))
	if err != nil {
		return err
	}
	committer := &follower.Committer{Table: t.platform, Objects: t.platform, Clock: t.clock}
	_, err = committer.Commit(ctx, 0, t.sheet(engineAddress, serviceAddress), "try", "first sheet")
	return err
}

// sheet declares one workspace, two routes and two targets.
func (t *trial) sheet(engine, service sd.Address) sd.Config {
	return sd.Config{
		Workspaces: []sd.Workspace{{ID: "desk", Rate: 20, Burst: 40, Budget: 100_000}},
		Keys:       []sd.APIKey{{ID: "desk-1", Workspace: "desk", Digest: follower.Digest(t.secret)}},
		Zones:      []sd.Zone{{Name: "zone-1", Region: "region-1"}},
		Routes: []sd.Route{
			{Name: "chat", Path: "/v1/chat/completions", Kind: sd.ModelRoute, Group: "runners", Model: "m1", Timeout: sd.Minute},
			{Name: "courier", Path: "/courier", Kind: sd.ServiceRoute, Group: "desks", Timeout: 10 * sd.Second, Cost: 5},
		},
		Targets: []sd.Target{
			{ID: "runner-1", Address: engine, Zone: "zone-1", Group: "runners", Fenced: true, Slots: 8, ColdSlots: 4, WarmUp: sd.Second, CacheCapacity: 100_000},
			{ID: "desk-1", Address: service, Zone: "zone-1", Group: "desks", Slots: 4, ColdSlots: 4},
		},
	}
}

// serve answers requests on a port of this machine until the trial ends.
func (t *trial) serve(handler http.Handler) (sd.Address, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", sd.Unavailable.Wrap(err, "no port is free")
	}
	served := &http.Server{Handler: handler, ReadHeaderTimeout: platformTimeout.Duration()}
	t.servers = append(t.servers, served)
	go func() { _ = served.Serve(listener) }()
	return sd.Address(listener.Addr().String()), nil
}

// newHost builds the host with short leases, so that it is ready soon.
func (t *trial) newHost() *launcher.Host {
	t.settings = loader.Settings{
		Name: "host-1", Zone: "zone-1", Caller: "127.0.0.1:7080", Peer: "127.0.0.1:7081", Operator: "127.0.0.1:7082",
		TTL: 1500 * sd.Millisecond, Poll: 200 * sd.Millisecond, Linger: 50 * sd.Millisecond, Drain: 5 * sd.Second,
	}
	return launcher.New(t.settings, launcher.Outside{
		Table: t.platform, Objects: t.platform, Roster: t.platform,
		Targets: launcher.Connections{Pool: connector.NewPool(connector.Options{})},
		Clock:   t.clock, Log: zap.NewNop(),
	})
}

// drive runs one program from its start to its end.
func (t *trial) drive(ctx context.Context) error {
	if err := t.awaitReady(ctx); err != nil {
		return err
	}
	t.say("the host is ready; callers use http://%s", callerPort)
	c := &tryCaller{trial: t}
	created, err := c.send(ctx, http.MethodPost, "/programs", `{"budget": 20000}`)
	if err != nil {
		return err
	}
	t.say("program created: %s", created.body)
	c.program, c.head = created.field("program"), created.header.Get("Sapphiredrum-Head")
	chat, err := c.send(ctx, http.MethodPost, "/v1/chat/completions", tryChat)
	if err != nil {
		return err
	}
	t.say("model call streamed: %q", chat.text())
	c.head = chat.lastHead()
	booked, err := c.send(ctx, http.MethodPost, "/courier", `{"to": "Kranj"}`)
	if err != nil {
		return err
	}
	t.say("courier called, ran %d time: %s", t.service.Counters().Runs, booked.body)
	ended, err := c.send(ctx, http.MethodDelete, "/programs/"+c.program, "")
	if err != nil {
		return err
	}
	t.say("program ended: %s", ended.body)
	return nil
}

// awaitReady waits until the host takes requests.
func (t *trial) awaitReady(ctx context.Context) error {
	for range readyAttempts {
		response, err := http.Get("http://" + operatorPort + "/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusNoContent {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return sd.Unavailable.New("interrupted")
		case <-time.After(readyStep.Duration()):
		}
	}
	return sd.Unavailable.New("the host did not become ready; are ports 7080 to 7082 free?")
}

// invite prints the requests to use.
func (t *trial) invite() {
	t.say("serving on until interrupted; try:")
	t.say("  curl -s -X POST -H 'Authorization: Bearer %s' http://%s/programs", t.secret, callerPort)
	t.say("  curl -sN -H 'Authorization: Bearer %s' -H 'Sapphiredrum-Program: ID' http://%s/v1/chat/completions -d '%s'", t.secret, callerPort, tryChat)
	t.say("  curl -s http://%s/status", operatorPort)
}

// say prints a line.
func (t *trial) say(format string, values ...any) {
	fmt.Fprintf(t.output, format+"\n", values...)
}

// close ends the stand-ins.
func (t *trial) close() {
	for _, s := range t.servers {
		_ = s.Close()
	}
}

const (
	callerPort    = "127.0.0.1:7080"
	operatorPort  = "127.0.0.1:7082"
	readyAttempts = 200
	readyStep     = 50 * sd.Millisecond
	tryChat       = `{"messages":[{"role":"user","content":"Where is my certificate?"}],"max_tokens":16,"stream":true}`
)
