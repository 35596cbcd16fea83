package namer

import (
	"testing"

	"parsleyscale/internal/statement/carrier"
)

func prepare(v carrier.Verb, text string) carrier.Statement {
	return carrier.Statement{Verb: carrier.Prepare, Prepares: v, Args: text}
}

// Guards against a name that stands for two statements, also after the table was emptied.
func TestNamesAreNotUsedTwice(t *testing.T) {
	var n Namer
	first := n.Name(prepare(carrier.Read, "q1"))
	if n.Name(prepare(carrier.Read, "q1")) != first {
		t.Error("the same statement got two names")
	}
	if n.Name(prepare(carrier.Write, "q1")) == first {
		t.Error("a read and a write share a name")
	}
	seen := map[string]bool{}
	for k := range 3 * maxShapes {
		s := n.Name(prepare(carrier.Read, "shape"+string(rune('a'+k%26))+string(rune(k))))
		if seen[s] && k < maxShapes/2 {
			t.Fatalf("%s was given twice", s)
		}
		seen[s] = true
	}
}
