package sealer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
)

// Guards against a VM that goes on passing on acknowledgements because it was added after the list of VMs was read, and
// against one without an answer that keeps others from being asked.
func TestSealReachesAllVMs(t *testing.T) {
	var mu sync.Mutex
	var sealed []string
	start := func(name string) string {
		s := httptest.NewServer(Handler{Seal: func(group string, term uint64) bool {
			mu.Lock()
			defer mu.Unlock()
			sealed = append(sealed, name)
			return group == "g" && term == 3
		}})
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	addresses := []string{start("a"), "127.0.0.1:1"}
	s := Sealer{Client: http.DefaultClient, Addresses: func(string) []string { mu.Lock(); defer mu.Unlock(); return slices.Clone(addresses) }}
	s.RefreshAddresses = func(context.Context) error {
		added := start("b")
		mu.Lock()
		defer mu.Unlock()
		addresses = append(addresses, added)
		return nil
	}
	if err := s.Seal(t.Context(), "g", 3); err == nil {
		t.Error("no error although a VM did not answer")
	}
	slices.Sort(sealed)
	if want := []string{"a", "b"}; !slices.Equal(slices.Compact(sealed), want) {
		t.Errorf("sealed on %v, want %v", sealed, want)
	}
}

func TestHandlerRefusesOddRequests(t *testing.T) {
	h := Handler{Seal: func(group string, _ uint64) bool { return group == "g" }}
	for _, c := range []struct {
		method, query string
		want          int
	}{
		{http.MethodGet, "group=g&term=3", http.StatusMethodNotAllowed},
		{http.MethodPost, "group=g&term=x", http.StatusBadRequest},
		{http.MethodPost, "group=h&term=3", http.StatusNotFound},
		{http.MethodPost, "group=g&term=3", http.StatusNoContent},
	} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(c.method, Path+"?"+c.query, nil))
		if w.Code != c.want {
			t.Errorf("%s %s: status %d, want %d", c.method, c.query, w.Code, c.want)
		}
	}
}
