package inspector

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"parsleyscale/internal/failure/classifier"
)

// Guards against a fault in an explanation that ends the process or is shown to the operator with its stack, and against an
// explanation of a request other than the one asked for.
func TestExplainHandler(t *testing.T) {
	panics := 0
	h := ExplainHandler{
		Explain: func(r Request) (Explanation, error) {
			switch r.Database {
			case "fault":
				panic("secret")
			case "odd":
				return Explanation{}, classifier.New(classifier.Invalid, "no team of this name")
			}
			if r.Team != "a b" || !r.IsWrite || r.Age != nil {
				t.Errorf("request %+v", r)
			}
			return Explanation{VM: "vm-1"}, nil
		},
		OnPanic: func(error) { panics++ },
	}
	s := httptest.NewServer(h)
	defer s.Close()
	address := strings.TrimPrefix(s.URL, "http://")
	for database, want := range map[string]classifier.Kind{"fault": classifier.Internal, "odd": classifier.Invalid, "": classifier.Invalid} {
		if _, err := QueryExplanation(t.Context(), http.DefaultClient, address, Request{Database: database}); !classifier.Is(err, want) || strings.Contains(err.Error(), "secret") {
			t.Errorf("database %q: %v, want kind %s", database, err, want)
		}
	}
	if e, err := QueryExplanation(t.Context(), http.DefaultClient, address, Request{Database: "own", Team: "a b", IsWrite: true}); err != nil || e.VM != "vm-1" || panics != 1 {
		t.Errorf("after the fault: %+v, %v, %d faults reported; want vm-1 and 1", e, err, panics)
	}
	r, err := http.Post(s.URL+ExplainPath+"?database=own", "", nil)
	if err != nil || r.StatusCode != http.StatusMethodNotAllowed {
		t.Errorf("POST: %v, %v; want status 405", r, err)
	}
}
