package receiver_test

import (
	"bytes"
	"encoding/csv"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/profiler"
	"sapphiredrum.example/sapphiredrum/receiver"
)

// The profiler must find in the log what it reads by name: a field that is renamed would
// silently count as zero.
func TestProfilerReadsTheLog(t *testing.T) {
	var log bytes.Buffer
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	logTo := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.Lock(zapcore.AddSync(&log)), zapcore.InfoLevel))
	b := newBench(t, func(c *receiver.Config) { c.Log = logTo })
	b.rows.Trouble(faker.RowsTrouble{Delay: 20})
	for _, left := range []string{"5000", "1"} {
		for _, path := range []string{"/ask/x", "/look/x"} {
			b.meter.refuse = path == "/ask/x"
			for range 2 {
				b.ask("POST", path, "r"+left+path, "x", "Program-Id", "p"+left, "Token-Budget", "300", "Token-Usage", "1,56", "Program-Deadline-Ms", left)
				b.meter.refuse = false
			}
		}
	}
	b.waitSettled()
	b.server.Close()
	// A later line of the logs tells that the programs sent no more requests.
	profile, err := profiler.New(profiler.Settings{}, profiler.Source{Name: "h", Text: &log}, profiler.Source{
		Name: "later", Text: bytes.NewBufferString(`{"event":661,"ts":"2100-01-01T00:00:00Z"}` + "\n"),
	})
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := profile.WriteCSV(&out); err != nil {
		t.Fatal(err)
	}
	rows, err := csv.NewReader(&out).ReadAll()
	if err != nil {
		t.Fatal(err)
	}
	total := map[string]string{}
	for i, name := range rows[0] {
		total[name] = rows[len(rows)-1][i]
	}
	if total["rule"] != "ask" || total["programs"] != "2" || total["in_time"] != "1" || total["late"] != "1" {
		t.Errorf("%v", total)
	}
	for _, part := range []string{"ms_reserve", "ms_first", "ms_stream", "ms_calls"} {
		if total[part] == "0" {
			t.Errorf("nothing of %s: %v", part, total)
		}
	}
}
