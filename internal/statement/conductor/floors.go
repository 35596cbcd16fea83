package conductor

import (
	"slices"

	"parsleyscale/internal/session/tokenizer"
)

// floors holds the log position of a session's latest commit in each database group that the session has written to. The route
// of a database may lead to another group and back, and a position means nothing in another group. floors is immutable.
type floors struct {
	list        []floor // by the time of the latest commit
	isTruncated bool    // the floors of some groups were dropped
}

// floor is the log position of a session's latest commit in a group.
type floor struct {
	group    string
	position tokenizer.Position
}

// maxFloors bounds the memory that the floors of a session take.
const maxFloors = 16

// Of returns the floor of a group, zero if the session has not written to it. It returns false if that is not known.
func (f floors) Of(group string) (tokenizer.Position, bool) {
	if i := f.index(group); i >= 0 {
		return f.list[i].position, true
	}
	return tokenizer.Position{}, !f.isTruncated
}

// With returns floors with the position of a commit. With too many groups, it drops the floor of the one whose latest commit is the
// oldest.
func (f floors) With(group string, p tokenizer.Position) floors {
	list := slices.Clone(f.list)
	if i := f.index(group); i >= 0 {
		p = p.Max(list[i].position)
		list = slices.Delete(list, i, i+1)
	}
	if len(list) == maxFloors {
		list = slices.Delete(list, 0, 1)
		f.isTruncated = true
	}
	return floors{append(list, floor{group, p}), f.isTruncated}
}

func (f floors) index(group string) int {
	return slices.IndexFunc(f.list, func(fl floor) bool { return fl.group == group })
}
