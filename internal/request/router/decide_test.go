package router

import (
	"cmp"
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/tailscale/hujson"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/group/sampler"
	"parsleyscale/internal/request/exchanger"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/parser"
)

// tableMaxWait is the wait for a replica in cases that state none.
const tableMaxWait = 30 * time.Millisecond

type instanceCase struct {
	Reachable  *bool        `json:"reachable"`
	Connected  *bool        `json:"connected"`
	State      parser.State `json:"state"`
	DataCentre string       `json:"dataCentre"`
	Applied    string       `json:"applied"`
	Fresh      *int         `json:"fresh"`
}

type decideCase struct {
	Name      string                  `json:"name"`
	Class     exchanger.Class         `json:"class"`
	Primary   string                  `json:"primary"`
	Floor     string                  `json:"floor"`
	Confirmed string                  `json:"confirmed"`
	Since     int                     `json:"since"`
	At        *int                    `json:"at"`
	Now       int                     `json:"now"`
	Bound     *int                    `json:"bound"`
	Lag       int                     `json:"lag"`
	MaxWait   int                     `json:"maxWait"`
	Hash      uint64                  `json:"hash"`
	Exclude   []string                `json:"exclude"`
	Set       map[string]instanceCase `json:"set"`

	Want     Reason          `json:"want"`
	Instance string          `json:"instance"`
	Wait     int             `json:"wait"`
	Kind     classifier.Kind `json:"kind"`
}

var arrival = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return arrival.Add(time.Duration(ms) * time.Millisecond) }

func position(t testing.TB, s, zero string) tokenizer.Position {
	if s == "" {
		s = zero
	}
	p, err := tokenizer.ParsePosition(s)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

var regions = map[string]string{"d1": "r1", "d2": "r1", "d3": "r2"}

func regionOf(dc string) string { return regions[dc] }

func (c decideCase) query(t testing.TB) Query {
	q := Query{
		Class: c.Class, Floor: position(t, c.Floor, "0/0"), DataCentre: "d1", Region: "r1", RegionOf: regionOf,
		Arrived: arrival, Now: at(c.Now), MaxWait: cmp.Or(time.Duration(c.MaxWait), tableMaxWait), Hash: c.Hash, Exclude: c.Exclude,
	}
	if q.Class == "" {
		q.Class = exchanger.Read
	}
	if c.Bound != nil {
		q.Bounded, q.MaxStaleness = true, time.Duration(*c.Bound)*time.Millisecond
	}
	return q
}

func (c decideCase) view(t testing.TB) sampler.View {
	v := sampler.View{
		Database: "db", Term: 2, Primary: "a", Confirmed: position(t, c.Confirmed, "2/100"),
		ConfirmedAt: at(-50), ConfirmedSince: at(-400),
		Rounds: []sampler.Round{{Position: position(t, "", "2/90"), First: at(-900), Last: at(-450)}},
	}
	if c.Primary != "" {
		v.Primary = ""
	}
	if c.At != nil {
		v.ConfirmedAt = at(*c.At)
	}
	if c.Confirmed != "" {
		v.ConfirmedSince = at(c.Since)
		v.Rounds = append(v.Rounds, sampler.Round{Position: position(t, "", "2/100"), First: at(-400), Last: at(-50)})
	}
	for _, n := range []string{"a", "b", "c", "d"} {
		v.Instances = append(v.Instances, c.instance(t, n, v))
	}
	return v
}

func (c decideCase) instance(t testing.TB, name string, v sampler.View) sampler.InstanceView {
	dcs := map[string]string{"a": "d1", "b": "d1", "c": "d2", "d": "d3"}
	i := sampler.InstanceView{
		Instance: parser.Instance{Name: name, DataCentre: dcs[name], State: parser.Serving}, Reachable: true,
		Status:    connector.Status{Name: name, Role: connector.RoleReplica, FenceTerm: 2, Connected: true, Applied: position(t, "", "2/100")},
		FreshAsOf: at(-50), Lag: time.Duration(c.Lag) * time.Millisecond,
	}
	if name == "a" {
		i.Status.Role, i.Status.Connected, i.Status.Applied = connector.RolePrimary, false, v.Confirmed
	}
	s := c.Set[name]
	if s.Reachable != nil {
		i.Reachable = *s.Reachable
	}
	if s.Connected != nil {
		i.Status.Connected = *s.Connected
	}
	if s.State != "" {
		i.Instance.State = s.State
	}
	if s.DataCentre != "" {
		i.Instance.DataCentre = s.DataCentre
	}
	if s.Fresh != nil {
		i.FreshAsOf = at(*s.Fresh)
	}
	i.Status.Applied = position(t, s.Applied, i.Status.Applied.String())
	return i
}

func loadCases(t testing.TB) []decideCase {
	b, err := os.ReadFile("testdata/decide.hujson")
	if err != nil {
		t.Fatal(err)
	}
	if b, err = hujson.Standardize(b); err != nil {
		t.Fatal(err)
	}
	var cases []decideCase
	if err := json.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	return cases
}

// Guards against a wrong choice, wait or error; each case names its own fault.
func TestDecide(t *testing.T) {
	seen := map[Reason]bool{}
	for _, c := range loadCases(t) {
		t.Run(c.Name, func(t *testing.T) {
			d := Decide(c.view(t), c.query(t))
			seen[d.Reason] = true
			if d.Reason != c.Want || d.Instance != c.Instance || d.Wait != time.Duration(c.Wait)*time.Millisecond {
				t.Errorf("got %+v, want %s %q wait %d ms", d, c.Want, c.Instance, c.Wait)
			}
			if (d.Err == nil) != (c.Kind == "") || (d.Err != nil && !classifier.Is(d.Err, c.Kind)) {
				t.Errorf("error %v, want kind %q", d.Err, c.Kind)
			}
		})
	}
	for _, r := range Reasons() {
		if !seen[r.Reason] {
			t.Errorf("no case ends in %s", r.Reason)
		}
	}
}

// Guards against a decision that depends on anything but its arguments, or that changes them.
func TestDecideIsPure(t *testing.T) {
	for _, c := range loadCases(t) {
		v, q := c.view(t), c.query(t)
		first := Decide(v, q)
		for range 10 {
			if d := Decide(v, q); d.Instance != first.Instance || d.Reason != first.Reason || d.Wait != first.Wait {
				t.Fatalf("%s: %+v, then %+v", c.Name, first, d)
			}
		}
	}
}

// The hot path decides for each unit, so a choice must not allocate.
func TestDecideDoesNotAllocate(t *testing.T) {
	for _, c := range loadCases(t) {
		if c.Kind != "" {
			continue
		}
		v, q := c.view(t), c.query(t)
		if n := testing.AllocsPerRun(100, func() { Decide(v, q) }); n != 0 {
			t.Errorf("%s: %v allocations", c.Name, n)
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, c := range loadCases(b) {
		switch c.Name {
		case "write", "nearest replica", "within the bound", "floor due soon", "floor due too late":
		default:
			continue
		}
		v, q := c.view(b), c.query(b)
		b.Run(string(c.Want)+"/"+c.Name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if d := Decide(v, q); d.Err != nil {
					b.Fatal(d.Err)
				}
			}
		})
	}
}
