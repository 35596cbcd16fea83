package dispatcher

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/member/tracker"
	"parsleyscale/internal/request/exchanger"
	"parsleyscale/internal/sheet/parser"
)

var sheet = parser.Sheet{
	Regions: []parser.Region{{Name: "castilla", DataCentres: []string{"burgos", "palencia"}}, {Name: "cantabria", DataCentres: []string{"santander"}}},
	Services: []parser.Service{{Databases: []parser.Database{{Name: "orders", Instances: []parser.Instance{
		{Name: "a", DataCentre: "burgos"}, {Name: "b", DataCentre: "palencia"}, {Name: "c", DataCentre: "santander"},
	}}}}},
}

// ranking returns a Ranking over VMs that are named by data centre and rank, such as burgos1.
func ranking(counts map[string]int) Ranking {
	return func(_, dataCentre string) []tracker.Member {
		var list []tracker.Member
		for n := range counts[dataCentre] {
			list = append(list, tracker.Member{ID: dataCentre + string(rune('1'+n)), DataCentre: dataCentre, Address: dataCentre + string(rune('1'+n))})
		}
		return list
	}
}

// TestPlan guards against a unit that goes to a far gateway although a near one
// lives, and against a VM without any gateway in reach that refuses.
func TestPlan(t *testing.T) {
	all := map[string]int{"burgos": 3, "palencia": 3, "santander": 2}
	cases := map[string]struct {
		self   place
		counts map[string]int
		want   string
	}{
		"a gateway itself":    {place{"burgos1", "burgos", "castilla"}, all, "burgos1 burgos2 palencia1 palencia2 santander1 santander2"},
		"the third VM":        {place{"burgos3", "burgos", "castilla"}, all, "burgos1 burgos2 palencia1 palencia2 santander1 santander2 burgos3"},
		"far data centre":     {place{"santander9", "santander", "cantabria"}, all, "santander1 santander2 burgos1 burgos2 palencia1 palencia2 santander9"},
		"own data centre out": {place{"burgos9", "burgos", "castilla"}, map[string]int{"palencia": 1, "santander": 1}, "palencia1 santander1 burgos9"},
		"alone":               {place{"burgos9", "burgos", "castilla"}, nil, "burgos9"},
	}
	db, _, _ := sheet.Database("orders")
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var ids []string
			for _, m := range plan(c.self, sheet, db, ranking(c.counts), spreadToFirst()) {
				ids = append(ids, m.ID)
			}
			if d := cmp.Diff(c.want, strings.Join(ids, " ")); d != "" {
				t.Error(d)
			}
		})
	}
}

// spreadToFirst returns a session whose units go to the first of two gateways.
func spreadToFirst() string {
	pair := []tracker.Member{{ID: "1"}, {ID: "2"}}
	for s := "x"; ; s += "x" {
		if rotate(pair, s)[0].ID == "1" {
			return s
		}
	}
}

// hop is a Runner that fails in one way or answers.
type hop struct {
	name   string
	err    error
	answer bool // passes on part of an answer first
	seen   *[]string
}

func (h hop) Run(_ context.Context, _ exchanger.Request, s exchanger.Stream) (exchanger.Result, error) {
	*h.seen = append(*h.seen, h.name)
	if _, err := s.Receive(); err != nil {
		return exchanger.Result{}, err
	}
	if h.answer {
		if err := s.Send(&pgproto3.ParseComplete{}); err != nil {
			return exchanger.Result{}, err
		}
	}
	return exchanger.Result{ServedBy: h.name}, h.err
}

// oneQuery is a Stream with one message.
type oneQuery struct{ read bool }

func (q *oneQuery) Receive() (pgproto3.FrontendMessage, error) {
	if q.read {
		return nil, errors.New("read past the end")
	}
	q.read = true
	return &pgproto3.Query{String: "SELECT 1"}, nil
}
func (*oneQuery) Send(pgproto3.BackendMessage) error { return nil }
func (*oneQuery) Flush() error                       { return nil }

// TestRun guards against a unit that is run twice because a hop broke, and
// against one that is given up although a repeat on the next gateway is safe.
func TestRun(t *testing.T) {
	broken := classifier.New(classifier.NotRun, "stream broke")
	unknown := classifier.New(classifier.OutcomeUnknown, "stream broke")
	cases := map[string]struct {
		request exchanger.Request
		first   error
		second  error
		answer  bool
		want    string // VMs that ran the unit
		kind    classifier.Kind
	}{
		"read on a broken hop":           {exchanger.Request{Class: exchanger.Read}, broken, nil, false, "burgos1 burgos2", ""},
		"read cut in its answer":         {exchanger.Request{Class: exchanger.Read}, broken, nil, true, "burgos1", classifier.NotRun},
		"refused read":                   {exchanger.Request{Class: exchanger.Read}, classifier.New(classifier.StaleBound, "x"), nil, false, "burgos1", classifier.StaleBound},
		"unkeyed write after sending":    {exchanger.Request{Class: exchanger.Write}, unknown, nil, false, "burgos1", classifier.OutcomeUnknown},
		"keyed write after sending":      {exchanger.Request{Class: exchanger.Write, Key: "k"}, unknown, nil, false, "burgos1 burgos2", ""},
		"keyed transaction":              {exchanger.Request{Class: exchanger.Transaction, Key: "k"}, unknown, nil, false, "burgos1", classifier.OutcomeUnknown},
		"write on a VM without a sheet":  {exchanger.Request{Class: exchanger.Write}, classifier.New(classifier.NotReady, "x"), nil, false, "burgos1 burgos2", ""},
		"keyed write refused later":      {exchanger.Request{Class: exchanger.Write, Key: "k"}, unknown, classifier.New(classifier.Overloaded, "x"), false, "burgos1 burgos2", classifier.OutcomeUnknown},
		"transaction refused as not run": {exchanger.Request{Class: exchanger.Transaction}, broken, nil, false, "burgos1", classifier.NotRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var seen []string
			d := New(Config{
				ID: "burgos3", DataCentre: "burgos", Region: "castilla",
				Sheet: func() (uint64, parser.Sheet, bool) { return 1, sheet, true },
				Rank:  ranking(map[string]int{"burgos": 3}),
				Local: func(string) (exchanger.Runner, error) { return hop{name: "local", seen: &seen}, nil },
				Remote: func(address string) exchanger.Runner {
					h := hop{name: address, seen: &seen}
					switch address {
					case "burgos1":
						h.err, h.answer = c.first, c.answer
					case "burgos2":
						h.err = c.second
					}
					return h
				},
				Report: func(string, error) {},
			})
			r := c.request
			r.Database, r.Timeout, r.Session = "orders", time.Second, spreadToFirst()
			_, err := d.Run(t.Context(), r, &oneQuery{})
			if got := strings.Join(seen, " "); got != c.want {
				t.Errorf("ran on %q, want %q", got, c.want)
			}
			if (err == nil) != (c.kind == "") || (err != nil && !classifier.Is(err, c.kind)) {
				t.Errorf("error %v, want kind %q", err, c.kind)
			}
		})
	}
}

// TestGatewayRanksOnce guards against a gateway that ranks the VMs of every
// data centre for each unit, or runs the unit elsewhere.
func TestGatewayRanksOnce(t *testing.T) {
	var seen, ranked []string
	d := New(Config{
		ID: "palencia2", DataCentre: "palencia", Region: "castilla",
		Sheet: func() (uint64, parser.Sheet, bool) { return 1, sheet, true },
		Rank: func(database, dataCentre string) []tracker.Member {
			ranked = append(ranked, dataCentre)
			return ranking(map[string]int{"burgos": 3, "palencia": 3})(database, dataCentre)
		},
		Local: func(string) (exchanger.Runner, error) { return hop{name: "local", seen: &seen}, nil },
	})
	if _, err := d.Run(t.Context(), exchanger.Request{Database: "orders", Class: exchanger.Read}, &oneQuery{}); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"local"}, seen); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"palencia"}, ranked); diff != "" {
		t.Error(diff)
	}
}
