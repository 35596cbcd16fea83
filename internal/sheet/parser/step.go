package parser

// CheckTransition returns an error if next must not follow s. The voters of a database are its
// instances that are not joining. Only one voter may be added or removed at a time:
// some VMs still have the old sheet while others have the new one, and only then does
// every majority of the old voters overlap every majority of the new ones.
func (s Sheet) CheckTransition(next Sheet) error {
	for _, v := range next.Services {
		for _, db := range v.Databases {
			old, _, ok := s.Database(db.Name)
			if !ok {
				continue
			}
			if n := voterChanges(old, db); n > 1 {
				return invalidf("databases: %s: %d instances become or cease to be voters; change one at a time", db.Name, n)
			}
		}
	}
	return nil
}

// voterChanges counts the voters that are added or removed between a and b.
func voterChanges(a, b Database) int {
	return missingVoters(a, b) + missingVoters(b, a)
}

// missingVoters counts the voters of a that are not voters of b.
func missingVoters(a, b Database) int {
	n := 0
	for _, i := range a.Instances {
		if i.State == Joining {
			continue
		}
		if other, ok := b.Instance(i.Name); !ok || other.State == Joining {
			n++
		}
	}
	return n
}
