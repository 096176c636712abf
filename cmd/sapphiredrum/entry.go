package main

import (
	"context"
	"os"

	"go.uber.org/zap/zapcore"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/explainer"
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

// runExplain prints the lines of one request or program from log files.
func runExplain(id string, files []string) error {
	if len(files) == 0 {
		return badUsage.New("name at least one --file")
	}
	var sources []explainer.Source
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return badUsage.Wrap(err, "log cannot be read")
		}
		defer func() { _ = file.Close() }()
		sources = append(sources, explainer.Source{Name: name, Text: file})
	}
	return explainer.Explain(os.Stdout, id, sources...)
}
