package logger

import (
	"context"
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	sd "sapphiredrum.example/sapphiredrum"
)

// Events of this package; docs/EVENTS.md lists them.
const (
	eventDropped = 690
)

const (
	// routineRate and warningRate bound the lines of a second: a few times what a
	// host logs on a busy day, and a hundredth of a core to write.
	routineRate = 400
	warningRate = 400
	// burst is the number of seconds that a budget saves up.
	burst = 3
	// bufferBytes bounds what waits to be written.
	bufferBytes = 1 << 20
	// gather is how long lines are gathered before they are written.
	gather = 50 * sd.Millisecond
)

// Logger is a zap core with a bounded buffer. Close must be called to write what
// is left.
type Logger struct {
	out   io.Writer
	clock sd.Clock
	wake  chan struct{}
	ended chan struct{}
	stop  context.CancelFunc

	lock     sync.Mutex
	buffer   []byte
	at       sd.Instant
	routine  float64
	warnings float64
	dropped  map[zapcore.Level]int
	total    int
}

// New returns a logger that writes to out until it is closed.
func New(ctx context.Context, out io.Writer, clock sd.Clock) *Logger {
	ctx, stop := context.WithCancel(ctx)
	l := &Logger{
		out: out, clock: clock, wake: make(chan struct{}, 1), ended: make(chan struct{}), stop: stop,
		at: clock.Now(), routine: routineRate, warnings: warningRate, dropped: map[zapcore.Level]int{},
	}
	go l.run(ctx)
	return l
}

// Zap returns a zap logger whose lines go to l.
func (l *Logger) Zap(level zapcore.Level) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(&core{LevelEnabler: level, encoder: zapcore.NewJSONEncoder(config), logger: l})
}

// Dropped returns the number of lines that were not written.
func (l *Logger) Dropped() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.total
}

// Close writes what is buffered and waits until that is done.
func (l *Logger) Close() {
	l.stop()
	<-l.ended
}

func (l *Logger) run(ctx context.Context) {
	defer close(l.ended)
	for {
		select {
		case <-ctx.Done():
			l.flush()
			return
		case <-l.wake:
		}
		timer := time.NewTimer(gather.Duration())
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		l.flush()
	}
}

func (l *Logger) flush() {
	l.lock.Lock()
	lines := l.buffer
	l.buffer = nil
	l.lock.Unlock()
	if len(lines) > 0 {
		// There is no other place to tell that the log cannot be written.
		_, _ = l.out.Write(lines)
	}
}

// put adds a line unless its budget is used up. It reports what was dropped
// before, if this line is the first one after that.
func (l *Logger) put(level zapcore.Level, line []byte) (dropped map[zapcore.Level]int) {
	l.lock.Lock()
	defer l.lock.Unlock()
	now := l.clock.Now()
	passed := float64(now.Since(l.at)) / float64(sd.Second)
	l.at = now
	l.routine = min(l.routine+passed*routineRate, burst*routineRate)
	l.warnings = min(l.warnings+passed*warningRate, burst*warningRate)
	budget := &l.routine
	if level >= zapcore.WarnLevel {
		budget = &l.warnings
	}
	if *budget < 1 || len(l.buffer)+len(line) > bufferBytes {
		l.dropped[level]++
		l.total++
		return nil
	}
	*budget--
	l.buffer = append(l.buffer, line...)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	if len(l.dropped) > 0 && l.routine > routineRate/2 && l.warnings > warningRate/2 {
		dropped, l.dropped = l.dropped, map[zapcore.Level]int{}
	}
	return dropped
}

// core encodes entries for a Logger.
type core struct {
	zapcore.LevelEnabler
	encoder zapcore.Encoder
	logger  *Logger
}

// With implements zapcore.Core.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	encoder := c.encoder.Clone()
	for _, f := range fields {
		f.AddTo(encoder)
	}
	return &core{LevelEnabler: c.LevelEnabler, encoder: encoder, logger: c.logger}
}

// Check implements zapcore.Core.
func (c *core) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c *core) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	for i, f := range fields {
		// Stack traces are left out: the event numbers name the place.
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			fields[i] = zap.String(f.Key, err.Error())
		}
	}
	line, err := c.encoder.EncodeEntry(entry, fields)
	if err != nil {
		return err
	}
	dropped := c.logger.put(entry.Level, line.Bytes())
	line.Free()
	for level, count := range dropped {
		note := zapcore.Entry{Level: zapcore.WarnLevel, Time: entry.Time, Message: "log lines were dropped"}
		err := c.Write(note, []zapcore.Field{
			zap.Int("event", eventDropped), zap.Stringer("dropped_level", level), zap.Int("count", count),
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Sync implements zapcore.Core; lines are written shortly after they are logged.
func (c *core) Sync() error { return nil }
