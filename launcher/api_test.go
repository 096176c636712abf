package launcher_test

import (
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/server"
)

// pageExample is a request of docs/API.md and what its answer must hold.
type pageExample struct {
	open    bool
	method  string
	path    string
	headers []string
	body    string
	status  int
	want    string
}

// examples reads the fenced blocks of the page.
func examples(t *testing.T) []pageExample {
	t.Helper()
	page, err := os.ReadFile("../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	var found []pageExample
	for _, block := range regexp.MustCompile("(?s)```http( open)?\n(.*?)\n\n(\\d+) (.*?)\n```").FindAllStringSubmatch(string(page), -1) {
		lines := strings.Split(block[2], "\n")
		e := pageExample{open: block[1] != "", want: block[4]}
		e.status, _ = strconv.Atoi(block[3])
		e.method, e.path, _ = strings.Cut(lines[0], " ")
		for _, line := range lines[1:] {
			if name, value, isHeader := strings.Cut(line, ": "); isHeader && !strings.HasPrefix(line, "{") {
				e.headers = append(e.headers, name, value)
				continue
			}
			e.body += line
		}
		found = append(found, e)
	}
	return found
}

// Every example of docs/API.md gets the answer that the page states, from
// either of two hosts.
func TestExamplesOfAPI(t *testing.T) {
	r := newRig(t)
	hosts := []*running{r.start("h1", "z1"), r.start("h2", "z2")}
	r.settle()
	all := examples(t)
	if len(all) < 10 {
		t.Fatalf("%d examples on the page", len(all))
	}
	program, head := "", ""
	for i, e := range all {
		fill := strings.NewReplacer("{program}", program, "{head}", head)
		var headers []string
		for _, h := range e.headers {
			headers = append(headers, fill.Replace(h))
		}
		c := caller{host: hosts[i%2], key: secret}
		if e.open {
			c.key = ""
		}
		answer := c.must(t, e.status, e.method, fill.Replace(e.path), fill.Replace(e.body), headers...)
		if !strings.Contains(answer.body, e.want) {
			t.Errorf("%s %s: %s does not hold %s", e.method, e.path, answer.body, e.want)
		}
		if e.path == "/programs" && program == "" {
			created := regexp.MustCompile(`"program":"([^"]+)"`).FindStringSubmatch(answer.body)
			program = created[1]
		}
		if next := answer.header.Get("Sapphiredrum-Head"); next != "" && !strings.Contains(e.body, "parent") {
			head = next
		}
	}
}

// The page's table lists every reason that the code knows, with its status.
func TestReasonsOfAPI(t *testing.T) {
	page, err := os.ReadFile("../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	code, err := os.ReadFile("../outcome.go")
	if err != nil {
		t.Fatal(err)
	}
	reasons := regexp.MustCompile(`Reason = "([a-z-]+)"`).FindAllStringSubmatch(string(code), -1)
	if len(reasons) < 20 {
		t.Fatalf("%d reasons in the code", len(reasons))
	}
	for _, reason := range reasons {
		row := fmt.Sprintf("| %s | %d |", reason[1], server.StatusOf(sd.Reason(reason[1])))
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/API.md has no row that begins with %q", row)
		}
	}
}

// A key in the URL, in a message or in a body is refused, and reaches no target.
func TestKeyGoesNoFurther(t *testing.T) {
	r := newRig(t)
	c := caller{host: r.start("h1", "z1"), key: secret}
	r.settle()
	for path, body := range map[string]string{
		"/courier?key=" + secret:            "{}",
		"/courier?key=key%2Dpotrdilo%2D1":   "{}",
		"/courier/" + secret:                "{}",
		"/courier":                          `{"note":"` + secret + `"}`,
		"/v1/chat/completions":              `{"messages":[{"role":"user","content":"my key is ` + secret + `"}]}`,
		"/v1/chat/completions?x=" + "%6bey": `{"messages":[{"role":"user","content":"my key is \u006bey-potrdilo-1"}]}`,
	} {
		c.must(t, http.StatusBadRequest, "POST", path, body)
	}
	c.must(t, http.StatusOK, "POST", "/courier", "{}", "Cookie", secret, "X-Api-Key", secret)
	select {
	case path := <-r.leaks:
		t.Fatalf("a target saw the key at %s", path)
	default:
	}
}

// Bad input is refused with a typed reason and loses nothing.
func TestBadInput(t *testing.T) {
	r := newRig(t)
	c := caller{host: r.start("h1", "z1"), key: secret}
	r.settle()
	program, head := c.program(t, `{"budget": 50}`)
	named := []string{"Sapphiredrum-Program", program}
	small := `{"messages":[{"role":"user","content":"x"}],"max_tokens":4}`
	cases := []struct {
		status  int
		reason  string
		body    string
		headers []string
	}{
		{400, "bad-request", small, append(named, "Sapphiredrum-Head", "7")},
		{409, "head-stale", small, append(named, "Sapphiredrum-Head", "1-"+strings.Repeat("0", 64))},
		{402, "budget-spent", `{"messages":[{"role":"user","content":"` + strings.Repeat("long ", 100) + `"}]}`, named},
		{413, "too-large", `{"messages":[{"role":"user","content":"` + strings.Repeat("x", 5<<20) + `"}]}`, named},
		{400, "bad-request", `{"messages":[{"role":"emperor","content":"x"}]}`, named},
		{400, "bad-request", `{"messages":[{"role":"user","content":"x"}],"model":"m9"}`, named},
		{400, "bad-request", small, []string{"Sapphiredrum-Call", "without-a-program"}},
		{404, "program-unknown", small, []string{"Sapphiredrum-Program", "nonsense"}},
	}
	for _, k := range cases {
		answer := c.must(t, k.status, "POST", "/v1/chat/completions", k.body, k.headers...)
		if !strings.Contains(answer.body, k.reason) || answer.header.Get("Sapphiredrum-Outcome") != "not-run" {
			t.Errorf("%s: got %s", k.reason, answer.body)
		}
	}
	c.must(t, 200, "POST", "/v1/chat/completions", small, append(named, "Sapphiredrum-Head", head, "Sapphiredrum-Call", "a")...)
	conflict := c.must(t, 409, "POST", "/v1/chat/completions", strings.Replace(small, `"x"`, `"y"`, 1), append(named, "Sapphiredrum-Call", "a")...)
	if !strings.Contains(conflict.body, "call-conflict") {
		t.Errorf("a reused name: %s", conflict.body)
	}
}
