package sapphiredrum_test

import (
	"fmt"
	"io/fs"
	"os"
	"regexp"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"sapphiredrum.example/sapphiredrum"
)

func ExampleProgramID_Shard() {
	shard := sapphiredrum.ShardID{Zone: "si-1", Number: 7}
	program := sapphiredrum.NewProgramID(shard)
	found, err := program.Shard()
	fmt.Println(found, err)
	// Output: si-1.7 <nil>
}

// TestProgramShard checks that ProgramID.Shard returns the shard passed to
// NewProgramID and does not panic on arbitrary text.
func TestProgramShard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zone := rapid.StringMatching(`[a-z0-9_-]{1,12}`).Draw(t, "zone")
		number := rapid.IntRange(0, sapphiredrum.ShardsPerZone-1).Draw(t, "number")
		shard := sapphiredrum.ShardID{Zone: sapphiredrum.ZoneName(zone), Number: number}
		found, err := sapphiredrum.NewProgramID(shard).Shard()
		if err != nil || found != shard {
			t.Fatalf("got %v, %v, want %v", found, err, shard)
		}
		_, _ = sapphiredrum.ProgramID(rapid.String().Draw(t, "text")).Shard()
	})
}

// TestProofsNameTestsThatExist checks that every test named in docs/PROOFS.md
// exists, so that renaming or deleting a test cannot leave a stale reference.
func TestProofsNameTestsThatExist(t *testing.T) {
	declared := map[string]bool{}
	declaration := regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)\w+)\(`)
	err := fs.WalkDir(os.DirFS("."), ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, match := range declaration.FindAllSubmatch(text, -1) {
			declared[string(match[1])] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("docs/PROOFS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range regexp.MustCompile(`\b(?:Test|Fuzz)[A-Z]\w+`).FindAllString(string(page), -1) {
		if !declared[name] {
			t.Errorf("docs/PROOFS.md names %s, which does not exist", name)
		}
	}
}

func ExampleValidStatus() {
	for _, status := range []string{"200 OK", "599", "000 Trouble", "012 Trouble", "+12 Trouble", "-00", "600", "2000", ""} {
		fmt.Printf("%q %v\n", status, sapphiredrum.ValidStatus(status))
	}
	// Output:
	// "200 OK" true
	// "599" true
	// "000 Trouble" false
	// "012 Trouble" false
	// "+12 Trouble" false
	// "-00" false
	// "600" false
	// "2000" false
	// "" false
}
