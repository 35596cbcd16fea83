package parser

// CheckStep reports whether next may follow s. The voters of a database, that is
// its instances that are not joining, may change by one at a time: only then does
// each majority of the old voters share an instance with each majority of the
// new ones, while some VMs have the old sheet and some the new one.
func (s Sheet) CheckStep(next Sheet) error {
	for _, v := range next.Services {
		for _, db := range v.Databases {
			old, _, ok := s.Database(db.Name)
			if !ok {
				continue
			}
			if n := voterChanges(old, db); n > 1 {
				return invalid("databases: %s: %d instances start or end to count towards the majority; change one at a time", db.Name, n)
			}
		}
	}
	return nil
}

func voterChanges(a, b Database) int {
	return missingVoters(a, b) + missingVoters(b, a)
}

// missingVoters counts the voters of a that are none in b.
func missingVoters(a, b Database) int {
	n := 0
	for _, i := range a.Instances {
		if i.State == Joining {
			continue
		}
		if k, ok := b.Instance(i.Name); !ok || k.State == Joining {
			n++
		}
	}
	return n
}
