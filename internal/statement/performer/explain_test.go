package performer

import (
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/carrier"
)

// Guards against an explanation that sends a statement or a sample, dials, reports an event or changes what is known of an
// instance, and against one that names another instance than the one that serves the next request.
func TestExplain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeGroup(2, 5*time.Millisecond)
		v := newFakeVM(f, 4)
		defer v.pool.Close()
		events, last := 0, Event{}
		v.cfg.Observe = func(e Event) { events, last = events+1, e }
		for _, c := range []struct {
			kind cataloger.ReadKind
			verb carrier.Verb
		}{{cataloger.BoundedStaleness, carrier.Read}, {cataloger.Current, carrier.Read}, {cataloger.Session, carrier.Write}, {cataloger.Session, carrier.Read}} {
			first, views, loads := v.Explain(v.request(c.kind, c.verb)), viewsByID(v.group), v.pool.Loads()
			eventsBefore, dials, replies := events, f.dials, f.count("")
			for range 1000 {
				if p := v.Explain(v.request(c.kind, c.verb)); p.Instance != first.Instance || p.Refusal != nil {
					t.Fatalf("%s %v: explained as %q, refusal %v, then as %q", c.kind, c.verb, first.Instance, p.Refusal, p.Instance)
				}
			}
			if !reflect.DeepEqual(views, viewsByID(v.group)) || !reflect.DeepEqual(loads, v.pool.Loads()) || events != eventsBefore || f.dials != dials || f.count("") != replies {
				t.Errorf("%s %v: explanations changed the state: %d events, %d dials, %d replies", c.kind, c.verb, events-eventsBefore, f.dials-dials, f.count("")-replies)
			}
			r := v.request(c.kind, c.verb)
			reply := carrier.Reply{}
			if c.verb == carrier.Write {
				reply = v.Write(t.Context(), r)
			} else {
				reply = v.Read(t.Context(), r)
			}
			if !reply.OK() || last.Instance != first.Instance {
				t.Errorf("%s %v: served by %q with %q, explained as %q", c.kind, c.verb, last.Instance, reply.Kind, first.Instance)
			}
		}
		if n := len(v.cfg.Groups.Groups()); n != 1 {
			t.Errorf("%d groups", n)
		}
		r := v.request(cataloger.Session, carrier.Read)
		r.Route.Group = "none"
		if p := v.Explain(r); p.Refusal == nil || len(v.cfg.Groups.Groups()) != 1 {
			t.Errorf("group without instances: %+v, %d groups are known; want a refusal and 1", p, len(v.cfg.Groups.Groups()))
		}
	})
}

func viewsByID(g *registrar.Group) map[string]registrar.View {
	m := map[string]registrar.View{}
	for _, v := range g.Views() {
		m[v.ID] = v
	}
	return m
}

// Guards against an explanation whose refusal differs from the one that the client receives, without a primary and with
// instances that no dial reaches.
func TestExplainedRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeGroup(2, 5*time.Millisecond)
		v := newFakeVM(f, 4)
		defer v.pool.Close()
		check := func(name string, r Request, want classifier.Kind, read func(Request) carrier.Reply) {
			t.Helper()
			p := v.Explain(r)
			got := read(r)
			if p.Refusal == nil || p.Refusal.Kind != want || got.Kind != want || p.Refusal.Detail != got.Detail || p.Refusal.RetryAfter != got.RetryAfter {
				t.Errorf("%s: explained as %+v, served as %+v; want both %s", name, p.Refusal, got, want)
			}
			if took := time.Since(r.ArrivedAt); p.Longest != took.Truncate(time.Millisecond) {
				t.Errorf("%s: refused after %s, explained as %s", name, took, p.Longest)
			}
		}
		read := func(r Request) carrier.Reply { return v.Read(t.Context(), r) }
		write := func(r Request) carrier.Reply { return v.Write(t.Context(), r) }
		for id := range f.slots {
			f.isUnreachable[id] = true
		}
		for range 8 {
			v.Read(t.Context(), v.request(cataloger.Current, carrier.Read))
		}
		check("unreachable primary", v.request(cataloger.Current, carrier.Read), classifier.NoInstance, read)
		check("write to it", v.request(cataloger.Session, carrier.Write), classifier.NoInstance, write)
		check("no floor, unreachable primary", v.request(cataloger.BoundedStaleness, carrier.Read), classifier.NoInstance, read)
		v.group.RecordDenial("p")
		check("no primary", v.request(cataloger.Current, carrier.Read), classifier.NoPrimary, read)
		check("write without a primary", v.request(cataloger.Session, carrier.Write), classifier.NoPrimary, write)
		check("no floor, no primary", v.request(cataloger.Session, carrier.Read), classifier.StaleBound, read)
	})
}
