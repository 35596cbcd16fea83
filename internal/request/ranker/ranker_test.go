package ranker

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"parsleyscale/internal/backend/allotter"
	"parsleyscale/internal/backend/pacer"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// candidate returns a healthy, idle candidate, changed by change unless it is nil.
func candidate(id, dataCentre string, change func(*Candidate)) Candidate {
	c := Candidate{
		View: registrar.View{Instance: cataloger.Instance{ID: id, DataCentre: dataCentre, Slots: 2}, Latency: 10 * time.Millisecond, AnsweredAt: now.Add(-10 * time.Millisecond)},
		Load: allotter.Load{MaxInUse: 4},
	}
	if change != nil {
		change(&c)
	}
	return c
}

// rankedIDs returns the IDs in the order of Rank for a read with a floor of term 1.
func rankedIDs(list []Candidate, floor uint64) []string {
	q := Query{
		Floor: tokenizer.Position{Term: 1, Index: floor}, FloorAge: floorAge, DataCentre: "d1", Region: "r1", Primary: "p", Now: now,
		RegionOf: func(dataCentre string) string {
			return map[string]string{"d1": "r1", "d2": "r1", "d3": "r2"}[dataCentre]
		},
	}
	var ids []string
	for _, c := range Rank(list, q) {
		ids = append(ids, c.View.ID)
	}
	return ids
}

// floorAge is the FloorAge of the queries of rankedIDs.
const floorAge = 100 * time.Millisecond

// lagging gives a candidate a lag and a last read that was sent sinceRead ago.
func lagging(lag, sinceRead time.Duration) func(*Candidate) {
	return func(c *Candidate) { c.View.Lag, c.View.ReadSentAt = lag, now.Add(-sinceRead) }
}

// refusedFloor gives a candidate a single refusal of a floor, age ago.
func refusedFloor(index uint64, age time.Duration) func(*Candidate) {
	return func(c *Candidate) {
		refusedAt := now.Add(-age)
		c.View.RefusedFloor, c.View.RefusedAt, c.View.BehindSince = tokenizer.Position{Term: 1, Index: index}, refusedAt, refusedAt
	}
}

// TestRank guards against reads that go to another data centre or to the primary while a nearer replica can serve them.
func TestRank(t *testing.T) {
	for _, c := range []struct {
		name  string
		list  []Candidate
		floor uint64
		want  []string
	}{
		{"same data centre before another region, replica before primary", []Candidate{candidate("p", "d1", nil), candidate("b", "d3", nil), candidate("a", "d1", nil)}, 5, []string{"a", "p", "b"}},
		{"a loaded near replica ranks after an idle one in the region", []Candidate{
			candidate("a", "d1", func(c *Candidate) { c.Load.InUse, c.Load.Waiting = 4, 6 }), candidate("b", "d2", nil),
		}, 5, []string{"b", "a"}},
		{"a replica that refused the floor is omitted", []Candidate{candidate("a", "d1", refusedFloor(4, 20*time.Millisecond)), candidate("p", "d3", nil)}, 5, []string{"p"}},
		{"a replica that refused the floor gets reads with a lower floor", []Candidate{candidate("a", "d1", refusedFloor(4, 20*time.Millisecond)), candidate("p", "d3", nil)}, 3, []string{"a", "p"}},
		{"a replica that refused the floor gets reads again after the backoff", []Candidate{candidate("a", "d1", refusedFloor(4, 200*time.Millisecond)), candidate("p", "d3", nil)}, 5, []string{"a", "p"}},
		{"a replica that lags by more than the floor's age is omitted", []Candidate{candidate("a", "d1", lagging(time.Second, 50*time.Millisecond)), candidate("p", "d3", nil)}, 5, []string{"p"}},
		{"a replica that lags by less than the floor's age is included", []Candidate{candidate("a", "d1", lagging(floorAge/2, 50*time.Millisecond)), candidate("p", "d3", nil)}, 5, []string{"a", "p"}},
		{"a lagging replica gets a read again after the probe interval", []Candidate{candidate("a", "d1", lagging(time.Second, time.Second)), candidate("p", "d3", nil)}, 5, []string{"a", "p"}},
		{"a failing replica ranks last", []Candidate{
			candidate("a", "d1", func(c *Candidate) { c.View.Failures, c.View.LastFailedAt = 1, now.Add(-50*time.Millisecond) }), candidate("b", "d3", nil),
		}, 5, []string{"b", "a"}},
		{"a failing replica is probed by one read after the probe interval", []Candidate{
			candidate("a", "d1", func(c *Candidate) { c.View.Failures, c.View.LastFailedAt = 1, now.Add(-time.Second) }), candidate("b", "d3", nil),
		}, 5, []string{"a", "b"}},
		{"a failing replica gets no second read while the probe is not answered", []Candidate{
			candidate("a", "d1", func(c *Candidate) {
				c.View.Failures, c.View.LastFailedAt, c.View.ReadSentAt = 1, now.Add(-time.Second), now.Add(-20*time.Millisecond)
			}), candidate("b", "d3", nil),
		}, 5, []string{"b", "a"}},
		{"a replica that does not answer what it has ranks last", []Candidate{
			candidate("a", "d1", func(c *Candidate) {
				c.Load.InUse, c.Load.Silence, c.View.ReadSentAt = 1, 200*time.Millisecond, now.Add(-200*time.Millisecond)
			}), candidate("b", "d3", nil),
		}, 5, []string{"b", "a"}},
		{"a leaving replica is omitted", []Candidate{candidate("a", "d1", func(c *Candidate) { c.View.IsLeaving = true }), candidate("b", "d3", nil)}, 5, []string{"b"}},
		{"an instance that refuses connections is omitted", []Candidate{candidate("a", "d1", func(c *Candidate) { c.Load.InDialBackoff = true })}, 5, nil},
	} {
		if d := cmp.Diff(c.want, rankedIDs(c.list, c.floor)); d != "" {
			t.Errorf("%s: IDs differ (-want +got):\n%s", c.name, d)
		}
	}
}

// TestExclusions guards against an exclusion with a wrong reason, and against Rank and Decide that disagree.
func TestExclusions(t *testing.T) {
	q := Query{Floor: tokenizer.Position{Term: 1, Index: 5}, FloorAge: floorAge, DataCentre: "d1", RegionOf: func(string) string { return "" }, Primary: "p", Now: now, Exclude: []string{"a"}}
	list := []Candidate{
		candidate("a", "d1", nil), candidate("b", "d1", func(c *Candidate) { c.View.IsLeaving = true }), candidate("c", "d1", func(c *Candidate) { c.Load.InDialBackoff = true }),
		candidate("d", "d1", refusedFloor(4, 20*time.Millisecond)), candidate("e", "d1", lagging(time.Second, 50*time.Millisecond)), candidate("p", "d2", nil),
	}
	got := map[string]Exclusion{}
	decisions := Decide(list, q)
	for _, d := range decisions {
		got[d.View.ID] = d.Exclusion
	}
	if d := cmp.Diff(map[string]Exclusion{"a": Tried, "b": Leaving, "c": DialBackoff, "d": RefusedFloor, "e": Lagging, "p": ""}, got); d != "" {
		t.Errorf("reasons differ (-want +got):\n%s", d)
	}
	if r := Rank(list, q); len(r) != 1 || r[0].View.ID != "p" || decisions[0].View.ID != "p" {
		t.Errorf("Rank returns %d candidates, Decide begins with %s; want only p", len(r), decisions[0].View.ID)
	}
}

// TestHealth guards against a decision whose health class or verdict is not the one by which Rank orders the candidates.
func TestHealth(t *testing.T) {
	q := Query{DataCentre: "d1", RegionOf: func(string) string { return "" }, Primary: "p", Now: now}
	failedAt := func(age time.Duration) func(*Candidate) {
		return func(c *Candidate) { c.View.Failures, c.View.LastFailedAt = 1, now.Add(-age) }
	}
	list := []Candidate{
		candidate("a", "d1", failedAt(50*time.Millisecond)), candidate("b", "d1", failedAt(time.Second)),
		candidate("c", "d1", func(c *Candidate) { c.View.OverloadedAt = now }), candidate("p", "d1", nil),
	}
	type health struct {
		ID    string
		Class string
		Fault pacer.Fault
		Probe bool
	}
	var got []health
	for _, d := range Decide(list, q) {
		got = append(got, health{d.View.ID, d.Health.String(), d.Verdict.Fault, d.Verdict.MayProbe})
	}
	want := []health{{"b", "healthy", pacer.Unanswered, true}, {"p", "healthy", "", false}, {"c", "overloaded", "", false}, {"a", "faulty", pacer.Unanswered, false}}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("decisions differ (-want +got):\n%s", d)
	}
	for k, c := range Rank(list, q) {
		if c.View.ID != want[k].ID {
			t.Errorf("Rank returns %s at place %d, want %s", c.View.ID, k, want[k].ID)
		}
	}
}

// TestReadsBackOffFromLaggingReplica guards against VMs that keep sending reads to a
// replica that is seconds behind and has to refuse them, and against a replica that
// still gets no reads long after it has caught up. In one scenario, two replicas
// each refused 340 reads per second for 23 s. Here,
// 85 VMs read from a replica with two slots that needs 6 ms for a read.
func TestReadsBackOffFromLaggingReplica(t *testing.T) {
	const (
		vms               = 85
		maxReadsPerSecond = 2 * 1000 / 6 / 4      // a quarter of the replica's capacity
		readInterval      = 50 * time.Millisecond // of each VM
	)
	synctest.Test(t, func(t *testing.T) {
		reg := cataloger.Registry{}
		for _, id := range []string{"p", "r"} {
			reg[id] = cataloger.Instance{ID: id, Group: "g", DataCentre: "d1", Slots: 2, IsPrimary: id == "p"}
		}
		var groups []*registrar.Group
		start := time.Now()
		for range vms {
			r := registrar.New(func() time.Duration { return time.Since(start) })
			r.Update(reg)
			groups = append(groups, r.Group("g"))
		}
		floor := func() tokenizer.Position {
			return tokenizer.Position{Term: 1, Index: uint64(100 + time.Since(start)/readInterval)}
		}
		// sendReadFromEachVM sends a read from each VM while the replica has applied a position.
		// It returns the number of reads that the replica got.
		sendReadFromEachVM := func(applied tokenizer.Position) int {
			n := 0
			for _, g := range groups {
				var list []Candidate
				for _, v := range g.Views() {
					list = append(list, Candidate{View: v, Load: allotter.Load{MaxInUse: 4}})
				}
				q := Query{Floor: floor(), FloorAge: time.Second, DataCentre: "d1", RegionOf: func(string) string { return "" }, Primary: "p", Now: time.Now()}
				if Rank(list, q)[0].View.ID != "r" {
					continue
				}
				n++
				g.RecordReadSent("r")
				g.RecordAnswer("r", applied, 0)
				if !applied.Covers(q.Floor) {
					g.RecordRefusal("r", classifier.ReplicaBehind, q.Floor)
				}
			}
			time.Sleep(readInterval)
			return n
		}
		reads := 0
		for range int(10 * time.Second / readInterval) {
			n := sendReadFromEachVM(tokenizer.Position{Term: 1, Index: 14})
			if time.Since(start) > 5*time.Second {
				reads += n
			}
		}
		if reads/5 > maxReadsPerSecond {
			t.Errorf("replica got %d reads per second after 5 s, want at most %d", reads/5, maxReadsPerSecond)
		}
		caughtUp := func() tokenizer.Position { return floor() }
		for range int(2 * time.Second / readInterval) {
			sendReadFromEachVM(caughtUp())
		}
		if n := sendReadFromEachVM(caughtUp()); n != vms {
			t.Errorf("%d of %d VMs read from the replica 2 s after it caught up, want all", n, vms)
		}
	})
}
