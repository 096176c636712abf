package logger_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/logger"
)

// slow is a file that takes its time, or stands still until released.
type slow struct {
	lock    sync.Mutex
	content bytes.Buffer
	gate    chan struct{}
}

func (s *slow) Write(p []byte) (int, error) {
	if s.gate != nil {
		<-s.gate
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.content.Write(p)
}

func (s *slow) text() string {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.content.String()
}

// A file that does not take lines never holds up the work, and the volume is
// bounded; warnings keep their place beside any number of routine lines.
func TestLoggingNeverBlocksAndIsBounded(t *testing.T) {
	out := &slow{gate: make(chan struct{})}
	l := logger.New(context.Background(), out, sd.NewClock())
	log := l.Zap(zapcore.InfoLevel)
	start := time.Now()
	for i := range 20000 {
		log.Info("routine", zap.Int("i", i))
		if i%100 == 0 {
			log.Warn("failure", zap.Int("i", i))
		}
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Fatalf("20,200 lines took %v while nothing could be written", took)
	}
	close(out.gate)
	time.Sleep(1500 * time.Millisecond)
	log.Info("afterwards")
	l.Close()
	text := out.text()
	if got := strings.Count(text, `"msg":"failure"`); got != 200 {
		t.Errorf("%d of 200 warnings were written", got)
	}
	if got := strings.Count(text, `"msg":"routine"`); got > 3000 || got == 0 {
		t.Errorf("%d routine lines were written", got)
	}
	if l.Dropped() == 0 || !strings.Contains(text, `"dropped_level":"info"`) {
		t.Error("dropped lines are not told")
	}
}

func TestErrorsAreOneLineWithoutTraces(t *testing.T) {
	out := &slow{}
	l := logger.New(context.Background(), out, sd.NewClock())
	l.Zap(zapcore.InfoLevel).With(zap.String("host", "h")).Warn("failed", zap.Error(sd.Unavailable.New("no way")))
	l.Close()
	if text := out.text(); strings.Contains(text, "errorVerbose") || strings.Contains(text, ".go:") || !strings.Contains(text, `"error":"sapphiredrum.unavailable: no way"`) || !strings.Contains(text, `"host":"h"`) {
		t.Fatal(text)
	}
}
