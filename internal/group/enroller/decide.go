package enroller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/platform/follower"
)

// absenceRetention is how long an instance stays on the roster after its registry entry has gone missing, or after it has restarted.
// It may go on receiving entries meanwhile. No protocol bounds that time; the registrar expects the same of a replica that has left.
const absenceRetention = 30 * time.Second

// Decision is what to do about the roster of a group.
type Decision struct {
	IsDue      bool // Roster has to be written
	NeedsProof bool // the roster has to change, but no primary has proved its position since that became so
	Roster     registrar.Roster
	Absences   map[registrar.Member]time.Duration // when each member of the stored roster was first found absent
}

// Decide compares the stored roster, the zero value if there is none, with the group. Absences are those of the previous decision.
//
// A member may be taken off the roster once a primary has proved its position since the member was last able to receive entries.
// This position then becomes the floor, which covers each commit that the member helped to acknowledge.
func Decide(stored registrar.Roster, v registrar.RosterView, absences map[registrar.Member]time.Duration, registryVersion uint64) Decision {
	d := Decision{Roster: stored, Absences: absences}
	if stored.RegistryVersion > registryVersion {
		return d // another VM knows more, of instances that this one would take for absent
	}
	d.Absences = absencesFrom(stored, v, absences)
	next := registrar.Roster{Instances: slices.Clone(v.Instances), Primary: stored.Primary, Term: stored.Term, Floor: stored.Floor, RegistryVersion: registryVersion}
	if v.Term > 0 && v.Term >= stored.Term {
		next.Primary, next.Term = v.Primary, v.Term
	}
	isTrusted := len(stored.Instances) > 0 && follower.EraOf(stored.RegistryVersion) == follower.EraOf(registryVersion)
	needsFloor := !isTrusted
	for m, at := range d.Absences {
		switch end := at + absenceRetention; {
		case v.Now < end:
			next.Instances = append(next.Instances, m)
		case v.Newest.SentAt < end:
			next.Instances = append(next.Instances, m)
			d.NeedsProof = true
		default:
			needsFloor = true
		}
	}
	if needsFloor && v.FirstProof.IsZero() {
		d.NeedsProof = true
		return d
	}
	if needsFloor {
		next.Floor = next.Floor.Max(v.FirstProof).Max(v.DepartureFloor).Max(v.Newest.Position)
	}
	if len(next.Instances) > registrar.MaxMembers {
		next.Instances = nil
	}
	slices.SortFunc(next.Instances, compareMembers)
	d.IsDue = !isTrusted && len(next.Instances) > 0 || next.Primary != stored.Primary || next.Term != stored.Term || !isSameMembers(next.Instances, stored.Instances)
	if d.IsDue {
		d.Roster = next
	}
	return d
}

// absencesFrom returns the members of the stored roster that the group does not have, with the time at which each was first absent.
func absencesFrom(stored registrar.Roster, v registrar.RosterView, before map[registrar.Member]time.Duration) map[registrar.Member]time.Duration {
	absences := map[registrar.Member]time.Duration{}
	for _, m := range stored.Instances {
		if slices.Contains(v.Instances, m) {
			continue
		}
		at, ok := before[m]
		if !ok {
			at = v.Now
		}
		absences[m] = at
	}
	return absences
}

func compareMembers(a, b registrar.Member) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartedAtMs, b.StartedAtMs))
}

func isSameMembers(a, b []registrar.Member) bool {
	set := func(list []registrar.Member) map[registrar.Member]bool {
		s := make(map[registrar.Member]bool, len(list))
		for _, m := range list {
			s[m] = true
		}
		return s
	}
	return maps.Equal(set(a), set(b))
}
