package main

import (
	"context"
	"os"

	"go.uber.org/zap/zapcore"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/explainer"
	"sapphiredrum.example/sapphiredrum/logger"
	"sapphiredrum.example/sapphiredrum/platform"
	"sapphiredrum.example/sapphiredrum/profiler"
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
func runExplain(id string, names []string) error {
	logs, err := openLogs(names)
	defer closeAll(logs)
	if err != nil {
		return err
	}
	var sources []explainer.Source
	for _, log := range logs {
		sources = append(sources, explainer.Source{Name: log.Name(), Text: log})
	}
	return explainer.Explain(os.Stdout, id, sources...)
}

// runPrograms prints where the time of programs went, from log files.
func runPrograms(settings profiler.Settings, asCSV bool, names []string) error {
	logs, err := openLogs(names)
	defer closeAll(logs)
	if err != nil {
		return err
	}
	var sources []profiler.Source
	for _, log := range logs {
		sources = append(sources, profiler.Source{Name: log.Name(), Text: log})
	}
	profile, err := profiler.New(settings, sources...)
	if err != nil {
		return err
	}
	if asCSV {
		return profile.WriteCSV(os.Stdout)
	}
	return profile.WriteText(os.Stdout)
}

// openLogs opens log files. On an error it returns those already open.
func openLogs(names []string) ([]*os.File, error) {
	if len(names) == 0 {
		return nil, badUsage.New("name at least one --file")
	}
	var logs []*os.File
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			return logs, badUsage.Wrap(err, "log cannot be read")
		}
		logs = append(logs, file)
	}
	return logs, nil
}

// closeAll closes files that were only read.
func closeAll(files []*os.File) {
	for _, file := range files {
		_ = file.Close()
	}
}
