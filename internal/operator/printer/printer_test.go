package printer

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the pages")

// TestPages guards against a reference page that differs from the tables in the code.
func TestPages(t *testing.T) {
	for _, p := range Pages() {
		file := filepath.Join("..", "..", "..", "docs", "reference", p.Name+".md")
		if *update {
			if err := os.WriteFile(file, []byte(p.Print()), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		got, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(p.Print(), string(got)); d != "" {
			t.Errorf("%s: run go test ./internal/operator/printer -update\n%s", file, d)
		}
	}
}
