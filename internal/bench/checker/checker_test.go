package checker

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestCheck guards against a checker that overlooks a fault, or that finds one in a correct history.
func TestCheck(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no histories: %v", err)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			b, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			var cases []struct {
				Name    string
				History History
				Final   map[string]Final
				Want    Counts
			}
			if err := json.Unmarshal(b, &cases); err != nil {
				t.Fatal(err)
			}
			for _, c := range cases {
				r := Check(c.History, c.Final)
				if d := cmp.Diff(c.Want, r.Counts); d != "" {
					t.Errorf("%s (-want +got):\n%s%+v", c.Name, d, r.Findings)
				}
			}
		})
	}
}
