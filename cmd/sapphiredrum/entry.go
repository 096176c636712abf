package main

import (
	"context"
	"os"

	"go.uber.org/zap/zapcore"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/logger"
	"sapphiredrum.example/sapphiredrum/platform"
	"sapphiredrum.example/sapphiredrum/starter"
)

// runEntry runs an entry host on the platform until ctx ends.
func runEntry(ctx context.Context, path string) error {
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return badUsage.Wrap(err, "%s", path)
	}
	log := logger.New(context.WithoutCancel(ctx), os.Stdout, sd.NewClock())
	defer log.Close()
	return starter.New(settings, path, log.Zap(zapcore.InfoLevel)).Run(ctx)
}
