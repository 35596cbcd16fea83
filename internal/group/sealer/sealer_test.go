package sealer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
)

// Guards against a VM that goes on passing on acknowledgements because it was added after the list of VMs was read, and
// against ones that refuse the connection or stay silent and keep others from being asked.
func TestSealReachesAllVMs(t *testing.T) {
	var mu sync.Mutex
	var sealed []string
	start := func(name string) string {
		s := httptest.NewServer(Handler{Group: func(group string) *registrar.Group {
			mu.Lock()
			defer mu.Unlock()
			sealed = append(sealed, name)
			return registrar.New(nil).Group(group)
		}})
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	addresses := []string{start("a"), "127.0.0.1:1", silent.Addr().String()}
	s := Sealer{Client: http.DefaultClient, Addresses: func(string) []string { mu.Lock(); defer mu.Unlock(); return slices.Clone(addresses) }, AreAddressesKnown: func() bool { return true }}
	s.RefreshAddresses = func(context.Context) error {
		added := start("b")
		mu.Lock()
		defer mu.Unlock()
		addresses = append(addresses, added)
		return nil
	}
	if report, err := s.Seal(t.Context(), "g", registrar.Seal{Term: 3, Holder: "vm-1"}); err == nil || report.IsComplete {
		t.Errorf("error %v, all VMs have reported: %t; want an error and false, since a VM did not answer", err, report.IsComplete)
	}
	slices.Sort(sealed)
	if want := []string{"a", "b"}; !slices.Equal(slices.Compact(sealed), want) {
		t.Errorf("sealed on %v, want %v", sealed, want)
	}
}

// Guards against a request that seals nothing, or another group, and against a conflict that the caller does not hear of.
func TestHandler(t *testing.T) {
	g := registrar.New(nil).Group("g")
	h := Handler{Group: func(name string) *registrar.Group {
		if name != "g" {
			return nil
		}
		return g
	}}
	for _, c := range []struct {
		method, query string
		want          int
	}{
		{http.MethodGet, "group=g&term=3&holder=vm-1", http.StatusMethodNotAllowed},
		{http.MethodPost, "group=g&term=x&holder=vm-1", http.StatusBadRequest},
		{http.MethodPost, "group=g&term=3", http.StatusBadRequest},
		{http.MethodPost, "group=g&term=3&holder=vm-1&after=7", http.StatusBadRequest},
		{http.MethodPost, "group=h&term=3&holder=vm-1", http.StatusNotFound},
		{http.MethodPost, "group=g&term=3&holder=vm-1&spare=true&stopsAcks=true&after=3/7", http.StatusNoContent},
		{http.MethodPost, "group=g&term=3&holder=vm-2", http.StatusConflict},
		{http.MethodDelete, "group=g&term=3&holder=vm-2", http.StatusNoContent},
		{http.MethodPost, "group=g&term=3&holder=vm-2", http.StatusConflict},
		{http.MethodDelete, "group=g&term=3&holder=vm-1", http.StatusNoContent},
		{http.MethodPost, "group=g&term=3&holder=vm-2", http.StatusNoContent},
	} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(c.method, Path+"?"+c.query, nil))
		if w.Code != c.want {
			t.Errorf("%s %s: status %d, want %d", c.method, c.query, w.Code, c.want)
		}
	}
}

// Guards against a conflict that is hidden by other VMs' answers.
func TestSealReturnsConflict(t *testing.T) {
	g := registrar.New(nil).Group("g")
	if err := g.Seal(registrar.Seal{Term: 3, Holder: "vm-1", IsSpare: true}); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(Handler{Group: func(string) *registrar.Group { return g }})
	defer server.Close()
	s := Sealer{
		Client:           http.DefaultClient,
		Addresses:        func(string) []string { return []string{"127.0.0.1:1", server.Listener.Addr().String()} },
		RefreshAddresses: func(context.Context) error { return nil }, AreAddressesKnown: func() bool { return true },
	}
	if _, err := s.Seal(t.Context(), "g", registrar.Seal{Term: 3, Holder: "vm-2"}); !classifier.Is(err, classifier.Conflict) {
		t.Errorf("error %v, want one of kind conflict", err)
	}
}

// Guards against commits of other VMs, or replicas that only they know, of which a VM that replaces a primary does not hear, and against a
// VM without knowledge of its own that is taken for one which has passed on nothing.
func TestSealReturnsReports(t *testing.T) {
	start := func(index uint64, missing ...string) string {
		r := registrar.New(func() time.Duration { return time.Hour })
		reg := cataloger.Registry{"a": {ID: "a", Group: "g", Address: "a", IsPrimary: true}}
		before := reg
		for _, id := range missing {
			before = before.With(map[string]*cataloger.Instance{id: {ID: id, Group: "g", Address: id}})
		}
		r.Update(before)
		r.Update(reg)
		if index > 0 {
			r.Group("g").RecordProof(registrar.Proof{Instance: "a", SentAt: time.Hour, Position: tokenizer.Position{Term: 3, Index: index}})
		}
		server := httptest.NewServer(Handler{Group: r.Group})
		t.Cleanup(server.Close)
		return server.Listener.Addr().String()
	}
	seven, nine, unknown, missing := start(7), start(9), start(0), start(7, "b", "c")
	for _, c := range []struct {
		name       string
		addresses  []string
		areUnknown bool // the list of addresses may lack some
		want       registrar.Report
	}{
		{"all have told", []string{seven, nine}, false, registrar.Report{PassedOn: tokenizer.Position{Term: 3, Index: 9}, IsComplete: true, Answered: 2}},
		{"one knows nothing", []string{seven, unknown}, false, registrar.Report{PassedOn: tokenizer.Position{Term: 3, Index: 7}, Answered: 2}},
		{"one misses replicas", []string{nine, missing}, false, registrar.Report{PassedOn: tokenizer.Position{Term: 3, Index: 9}, IsComplete: true, Answered: 2, Missing: []string{"b", "c"}}},
		{"two do not answer", []string{nine, "127.0.0.1:1", "127.0.0.1:2"}, false, registrar.Report{PassedOn: tokenizer.Position{Term: 3, Index: 9}, Unanswered: 2, Answered: 1}},
		{"there are no others", nil, false, registrar.Report{IsComplete: true}},
		{"there may be others", []string{nine}, true, registrar.Report{PassedOn: tokenizer.Position{Term: 3, Index: 9}, Answered: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := Sealer{Client: http.DefaultClient, Addresses: func(string) []string { return slices.Clone(c.addresses) }, RefreshAddresses: func(context.Context) error { return nil }, AreAddressesKnown: func() bool { return !c.areUnknown }}
			got, err := s.Seal(t.Context(), "g", registrar.Seal{Term: 3, Holder: "vm-1", StopsAcks: true})
			if diff := cmp.Diff(c.want, got); (err != nil) != (c.want.Unanswered > 0) || diff != "" {
				t.Errorf("error %v, report (-want +got):\n%s", err, diff)
			}
		})
	}
}

// Guards against floors of silent replicas that get lost on the way from one VM to another.
func TestReportOnTheWire(t *testing.T) {
	at := func(index uint64) tokenizer.Position { return tokenizer.Position{Term: 3, Index: index} }
	many := map[registrar.Member]tokenizer.Position{}
	for n := range uint64(maxMissing + 1) {
		many[registrar.Member{ID: fmt.Sprint("i-", n)}] = at(n)
	}
	for _, c := range []struct {
		name         string
		report, want registrar.Report
	}{
		{"all parts", registrar.Report{PassedOn: at(7), IsComplete: true, DepartureFloor: at(2), SilentFloors: map[registrar.Member]tokenizer.Position{{ID: "b", StartedAtMs: 40}: at(5), {ID: "c d"}: at(6)}, Missing: []string{"e"}, Orders: []registrar.Order{{Instance: "f", Token: 1 << 63}, {Instance: "g h", Token: 2}}},
			registrar.Report{PassedOn: at(7), IsComplete: true, DepartureFloor: at(2), SilentFloors: map[registrar.Member]tokenizer.Position{{ID: "b", StartedAtMs: 40}: at(5), {ID: "c d"}: at(6)}, Missing: []string{"e"}, Orders: []registrar.Order{{Instance: "f", Token: 1 << 63}, {Instance: "g h", Token: 2}}}},
		{"more silent replicas than fit", registrar.Report{SilentFloors: many}, registrar.Report{DepartureFloor: at(maxMissing)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := http.Header{}
			writeReport(h, c.report)
			if diff := cmp.Diff(c.want, readReport(h)); diff != "" {
				t.Errorf("report that arrives (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a VM that starts and knows of no promote request which may still be carried out.
func TestReadOpen(t *testing.T) {
	r := registrar.New(func() time.Duration { return time.Second })
	want := registrar.Seal{Term: 3, Holder: "vm-1", StopsAcks: true, After: tokenizer.Position{Term: 3, Index: 7}, Order: registrar.Order{Instance: "b", Token: 1 << 63}}
	for _, s := range []registrar.Seal{want, {Term: 3, Holder: "vm-2", StopsAcks: true}} {
		if err := r.Group("g").Seal(s); err != nil {
			t.Fatal(err)
		}
	}
	server := httptest.NewServer(Handler{Group: r.Group, Groups: r.Groups})
	defer server.Close()
	faulty := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`[{"group": "g", "seal": {"term": 3, "holder": "vm-3"}}]`))
	}))
	defer faulty.Close()
	s := Sealer{Client: http.DefaultClient}
	got := s.ReadOpen(t.Context(), []string{"127.0.0.1:1", server.Listener.Addr().String(), faulty.Listener.Addr().String()})
	if diff := cmp.Diff([]OpenSeal{{"g", want}}, got); diff != "" {
		t.Errorf("open seals (-want +got):\n%s", diff)
	}
}
