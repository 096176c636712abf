package launcher_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// docs/EVENTS.md and the code name the same event numbers, each once.
func TestCatalogueOfEvents(t *testing.T) {
	coded := make(map[string]string)
	constant := regexp.MustCompile(`(?m)^\s*([eE]vent[A-Z]\w*)\s*=\s*([1-9]\d\d)$`)
	err := filepath.WalkDir("..", func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, found := range constant.FindAllStringSubmatch(string(text), -1) {
			if other, used := coded[found[2]]; used {
				t.Errorf("event %s is both %s and %s", found[2], other, found[1])
			}
			coded[found[2]] = found[1]
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := make(map[string]bool)
	for _, row := range regexp.MustCompile(`(?m)^\| (\d\d\d) \|`).FindAllStringSubmatch(string(page), -1) {
		listed[row[1]] = true
		if coded[row[1]] == "" {
			t.Errorf("event %s is on the page only", row[1])
		}
	}
	for number, name := range coded {
		if !listed[number] {
			t.Errorf("event %s (%s) is not on the page", number, name)
		}
	}
}
