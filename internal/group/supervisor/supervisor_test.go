package supervisor

import (
	"testing"

	"parsleyscale/internal/member/tracker"
	"parsleyscale/internal/request/dispatcher"
	"parsleyscale/internal/sheet/parser"
)

// TestGroupsOfGateway guards against databases that a VM is a gateway of without
// running their groups, because refresh looks at the databases of its own data centre only.
func TestGroupsOfGateway(t *testing.T) {
	s, members := atTarget(t)
	for _, state := range []tracker.State{tracker.Live, tracker.Leaving} {
		announce(members, targetCentres, state) // of the own data centre
		s.refresh()
		for _, db := range targetSheet().Services[0].Databases {
			want := indexOf(dispatcher.AllGateways(s.cfg.Rank, db), s.cfg.Self.ID) >= 0
			g := s.find(db.Name)
			if got := g != nil && g.isGateway.Load(); got != want {
				t.Errorf("%s: database %s: gateway is %v, want %v", state, db.Name, got, want)
			}
		}
		if len(s.all()) == 0 {
			t.Errorf("%s: no group runs", state)
		}
	}
}

// TestRefreshFollowsSheet guards against groups that go on with the instances of an older sheet.
func TestRefreshFollowsSheet(t *testing.T) {
	s, _ := atTarget(t)
	s.refresh()
	g := s.all()[0]
	sheet := targetSheet()
	name := g.database + "-1"
	s.cfg.Sheets.(*sheets).set(sheet.WithInstanceState(name, parser.Leaving))
	s.refresh()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range g.instance.Instances {
		if i.Name == name && i.State != parser.Leaving {
			t.Errorf("instance %s is %s in the group, want leaving", name, i.State)
		}
	}
	if got := s.layout.Load().owner[name].instance.State; got != parser.Leaving {
		t.Errorf("instance %s is %s in the layout, want leaving", name, got)
	}
}
