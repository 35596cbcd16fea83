package parser

import "slices"

// pair holds the places of one name in two lists; -1 stands for absent.
type pair struct{ was, now int }

// match compares two lists of names. It returns the pairs, those of the first
// list in its order and then the added ones, and the order of the second list
// when a change that removes and appends does not lead to it.
func match(was, now []string) (pairs []pair, order []string) {
	places := indexOf(now)
	result := make([]string, 0, len(now))
	for i, n := range was {
		p := pair{was: i, now: -1}
		if j, ok := places[n]; ok {
			p.now = j
			result = append(result, n)
		}
		pairs = append(pairs, p)
	}
	old := indexOf(was)
	for j, n := range now {
		if _, ok := old[n]; !ok {
			pairs = append(pairs, pair{was: -1, now: j})
			result = append(result, n)
		}
	}
	if slices.Equal(result, now) {
		return pairs, nil
	}
	return pairs, now
}

// step names the edit of an item of a list.
type step struct {
	name string
	op   Op
}

// arrange applies edits to a list of names. In its result, was is the item's
// place in the list and now the place of its edit; -1 stands for none.
func arrange(list string, names []string, steps []step, order []string) ([]pair, error) {
	places, edits := indexOf(names), map[string]int{}
	for i, s := range steps {
		if _, exists := places[s.name]; exists != (s.op != Add) {
			return nil, invalid("change: %s: cannot %s %q", list, s.op, s.name)
		}
		if _, twice := edits[s.name]; twice {
			return nil, invalid("change: %s: %q is edited twice", list, s.name)
		}
		edits[s.name] = i
	}
	result := map[string]pair{}
	var arranged []string
	put := func(name string, p pair) {
		result[name] = p
		arranged = append(arranged, name)
	}
	for i, n := range names {
		e, edited := edits[n]
		switch {
		case !edited:
			put(n, pair{was: i, now: -1})
		case steps[e].op != Remove:
			put(n, pair{was: i, now: e})
		}
	}
	for i, s := range steps {
		if s.op == Add {
			put(s.name, pair{was: -1, now: i})
		}
	}
	return reorder(list, arranged, result, order)
}

func reorder(list string, arranged []string, result map[string]pair, order []string) ([]pair, error) {
	if order == nil {
		order = arranged
	}
	if len(order) != len(arranged) {
		return nil, invalid("change: %s: order names %d of %d", list, len(order), len(arranged))
	}
	pairs := make([]pair, 0, len(order))
	for _, n := range order {
		p, ok := result[n]
		if !ok {
			return nil, invalid("change: %s: order names %q, which is unknown or named twice", list, n)
		}
		delete(result, n)
		pairs = append(pairs, p)
	}
	return pairs, nil
}

func indexOf(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, n := range names {
		m[n] = i
	}
	return m
}

func namesOf(n int, name func(int) string) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = name(i)
	}
	return names
}
