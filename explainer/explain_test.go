package explainer_test

import (
	"os"
	"strings"
	"testing"

	"github.com/joomcode/errorx"

	"sapphiredrum.example/sapphiredrum/explainer"
)

func ExampleExplain() {
	first := `{"level":"warn","ts":"2026-01-01T00:00:02Z","msg":"store is not reached","event":630,"failures":2}
{"level":"warn","ts":"2026-01-01T00:00:03Z","msg":"not served","event":641,"request":"r1","status":503,"reason":"budget cannot be reserved"}
{"level":"info","ts":"2026-01-01T00:00:04Z","msg":"answered","event":640,"request":"r2","status":200}`
	second := `  1.5 h2 {"level":"warn","ts":"2026-01-01T00:00:01Z","msg":"target not reached","event":642,"request":"r1","target":"t"}`
	err := explainer.Explain(os.Stdout, "r1",
		explainer.Source{Name: "h1", Text: strings.NewReader(first)}, explainer.Source{Name: "h2", Text: strings.NewReader(second)})
	if err != nil {
		panic(err)
	}
	// Output:
	// 2026-01-01T00:00:01Z warn  h2 642: target not reached request=r1 target=t
	// 2026-01-01T00:00:02Z warn  h1 630: store is not reached failures=2
	// 2026-01-01T00:00:03Z warn  h1 641: not served reason=budget cannot be reserved request=r1 status=503
}

func TestUnknownIDIsAnError(t *testing.T) {
	err := explainer.Explain(os.Stdout, "r9", explainer.Source{Name: "h", Text: strings.NewReader("not json\n{}\n")})
	if !errorx.IsOfType(err, explainer.NotFound) {
		t.Fatal(err)
	}
}
