package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"

	"github.com/oklog/run"

	"sapphiredrum.example/sapphiredrum"
)

// Bounds of a server.
const (
	headerTimeout = 10 * sapphiredrum.Second
	closeTimeout  = 2 * sapphiredrum.Second
)

// serve answers requests with handler until a signal ends it. It prints one
// line when it listens.
func serve(kind, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return sapphiredrum.Unavailable.Wrap(err, "cannot listen on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout.Duration()}
	fmt.Printf("%s listens on %s\n", kind, listener.Addr())
	var group run.Group
	group.Add(func() error {
		return server.Serve(listener)
	}, func(error) {
		stop(server)
	})
	group.Add(run.SignalHandler(context.Background(), syscall.SIGTERM, os.Interrupt))
	err = group.Run()
	var signal run.SignalError
	if errors.As(err, &signal) || errors.Is(err, run.ErrSignal) {
		return nil
	}
	return err
}

// stop lets running requests end for a while and then cuts them.
func stop(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout.Duration())
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
