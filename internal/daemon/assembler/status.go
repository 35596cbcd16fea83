package assembler

import (
	"time"

	"parsleyscale/internal/operator/inspector"
	"parsleyscale/internal/platform/follower"
)

// status returns the VM's status for operators.
func (v *VM) status() inspector.Status {
	s := inspector.Status{
		ID: v.cfg.ID, DataCentre: v.cfg.DataCentre, IsReady: v.isReady(), IsStopping: v.isStopping.Load(), Sessions: v.sessionServer.SessionCount(),
		Tables: []inspector.Table{}, Groups: []inspector.Group{},
	}
	if c := v.configuration.Load(); c != nil {
		s.Configuration = c.Version
	}
	for k, table := range []string{v.platform.ConfigurationTable, v.platform.RegistryTable} {
		f := v.followers[k]
		updateAge := int64(-1)
		if at := f.AnsweredAt(); !at.IsZero() {
			updateAge = time.Since(at).Milliseconds()
		}
		s.Tables = append(s.Tables, inspector.Table{Name: table, Version: follower.NumberOf(f.Version()), LastUpdateAgeMillis: updateAge})
	}
	for _, g := range v.groups.Groups() {
		primary, confirmedAge := g.Primary(), int64(-1)
		if age, ok := g.ProofAge(); ok {
			confirmedAge = age.Milliseconds()
		}
		group := inspector.Group{Name: g.Name(), Primary: primary.Instance, Term: primary.Term, PrimaryConfirmedAgeMillis: confirmedAge, Instances: []inspector.Instance{}}
		for _, i := range g.Views() {
			group.Instances = append(group.Instances, inspector.Instance{ID: i.ID, DataCentre: i.DataCentre, IsLeaving: i.IsLeaving, Failures: i.Failures, LagMillis: i.Lag.Milliseconds()})
		}
		s.Groups = append(s.Groups, group)
	}
	return s
}
