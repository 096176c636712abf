package main

import (
	"context"
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/connector"
	"sapphiredrum.example/sapphiredrum/launcher"
	"sapphiredrum.example/sapphiredrum/loader"
)

// runHost runs an entry host until ctx ends.
func runHost(ctx context.Context, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return badUsage.Wrap(err, "the settings cannot be read")
	}
	settings, faults := loader.ParseSettings(string(text))
	for _, f := range faults {
		_, _ = os.Stderr.WriteString(path + ": " + f.String() + "\n")
	}
	if len(faults) > 0 {
		return badUsage.New("%s has %d faults", path, len(faults))
	}
	log, err := newLog(string(settings.Log))
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	pool := connector.NewPool(connector.Options{})
	defer pool.Close()
	platform := &connector.Platform{Pool: pool, Address: settings.Platform, Timeout: platformTimeout}
	host := launcher.New(settings, launcher.Outside{
		Table: platform, Objects: platform, Roster: platform,
		Targets: launcher.Connections{Pool: pool}, Clock: sd.NewClock(), Log: log,
	})
	return host.Run(ctx)
}

// newLog returns a log of the given level in JSON on standard error.
func newLog(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, badUsage.Wrap(err, "log level %q", level)
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(parsed)
	config.DisableStacktrace, config.DisableCaller = true, true
	log, err := config.Build()
	if err != nil {
		return nil, badUsage.Wrap(err, "the log cannot be opened")
	}
	return log, nil
}
