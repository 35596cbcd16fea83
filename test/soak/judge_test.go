package soak

import (
	"testing"
	"time"

	"parsleyscale/platform/emulator"
)

// Guards against a soak that finds nothing: each finding is brought about without VMs, by clients of an instance.
func TestJudge(t *testing.T) {
	g, err := emulator.StartGroup(emulator.Options{Name: "grp", Zones: zones, SyncReplicas: 1, Host: newHost(t) + ".240"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	store, err := emulator.StartStore(g)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	s := &system{t: t, timeline: &timeline{names: map[string]string{}}, groups: []*emulator.Group{g}, store: store}
	primary, left, receiver := g.Instances()[0], g.Instances()[1], g.Instances()[2]
	session := mustStart(t, primary)
	var l ledger
	write := func(data string) attempt {
		a := session.attempt(data)
		if code, _, err := session.query("WRITE " + data + " " + data); err != nil || code != "" {
			t.Fatal(code, err)
		}
		return a
	}
	l.record([]attempt{write("both")}, "", true, true)
	left.SetReplicationPaused(true)
	l.record([]attempt{write("one")}, "", true, true)
	store.Put("servers", receiver.ID, nil)
	primary.Crash()
	if !store.Repeat(emulator.PromoteRequest{Group: "grp", Instance: left.ID, Token: 1}) {
		t.Fatal("not promoted")
	}
	if v := judge(s, &l); len(v.lost) != 0 || len(v.lostAlone) != 1 || len(v.vanished) != 0 {
		t.Errorf("%v; want one commit lost without a living registered replica", v)
	}
	receiver.Register()
	left.SetReplicationPaused(false)
	session = mustStart(t, left)
	l.record([]attempt{write("kept"), write("notAsked")}, "BUSY", true, true)
	write("twice")
	l.record([]attempt{write("twice"), write("known")}, "", true, true)
	receiver.SetReplicationPaused(true)
	if err := primary.Restart(); err != nil {
		t.Fatal(err)
	}
	primary.Register()
	l.record([]attempt{write("lost")}, "", true, true)
	l.recordRead(session, "lost", true, "none", time.Now())
	l.recordRead(session, "known", true, "none", time.Now())
	if !store.Repeat(emulator.PromoteRequest{Group: "grp", Instance: receiver.ID, Token: 2}) {
		t.Fatal("not promoted")
	}
	v := judge(s, &l)
	if len(v.lost) != 1 || len(v.lostAlone) != 1 || len(v.kept) != 2 || len(v.twice) != 1 || len(v.stale) != 1 || v.promotions != 2 {
		t.Errorf("%v; want 1 and 1 lost, 2 kept, 1 twice and 1 stale", v)
	}
}

// mustStart opens a session with an instance.
func mustStart(t *testing.T, i *emulator.Instance) *session {
	t.Helper()
	s, err := dial(&vm{id: "vm-1", callerAddress: i.Address()}, "grp")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.conn.Close() })
	return s
}
