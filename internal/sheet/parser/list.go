package parser

import "slices"

// pair describes one item of a list before and after a change; an index of -1 stands for
// none. After matchNames, old and new are the indexes of the name in the two lists.
// After mergeEdits, old is the index of the item in the list, and new the index of the
// edit that gives its new value.
type pair struct{ old, new int }

// matchNames compares two lists of names. It returns a pair for each name, first those
// in before, in that order, and then the added ones. The order is nil if removing names
// from before and appending the added ones results in after; otherwise it is after.
func matchNames(before, after []string) (pairs []pair, order []string) {
	afterIndexes := indexOf(after)
	defaultOrder := make([]string, 0, len(after))
	for i, n := range before {
		p := pair{old: i, new: -1}
		if j, ok := afterIndexes[n]; ok {
			p.new = j
			defaultOrder = append(defaultOrder, n)
		}
		pairs = append(pairs, p)
	}
	beforeIndexes := indexOf(before)
	for j, n := range after {
		if _, ok := beforeIndexes[n]; !ok {
			pairs = append(pairs, pair{old: -1, new: j})
			defaultOrder = append(defaultOrder, n)
		}
	}
	if slices.Equal(defaultOrder, after) {
		return pairs, nil
	}
	return pairs, after
}

// itemEdit is the name and the operation of an edit, which are common to all types of items.
type itemEdit struct {
	name string
	op   Op
}

// mergeEdits applies edits to a list of names and returns a pair for each item of the
// result, in the given order. If order is nil, items that are not removed keep their
// order, and added ones follow. The listName is for error messages.
func mergeEdits(listName string, names []string, edits []itemEdit, order []string) ([]pair, error) {
	indexes, editIndexes := indexOf(names), map[string]int{}
	for i, edit := range edits {
		if _, exists := indexes[edit.name]; exists != (edit.op != Add) {
			return nil, invalidf("change: %s: cannot %s %q: it must be absent before an add, and present otherwise", listName, edit.op, edit.name)
		}
		if _, isDuplicate := editIndexes[edit.name]; isDuplicate {
			return nil, invalidf("change: %s: %q is edited twice", listName, edit.name)
		}
		editIndexes[edit.name] = i
	}
	pairsByName := map[string]pair{}
	var resultNames []string
	addItem := func(name string, p pair) {
		pairsByName[name] = p
		resultNames = append(resultNames, name)
	}
	for i, n := range names {
		editIndex, edited := editIndexes[n]
		switch {
		case !edited:
			addItem(n, pair{old: i, new: -1})
		case edits[editIndex].op != Remove:
			addItem(n, pair{old: i, new: editIndex})
		}
	}
	for i, edit := range edits {
		if edit.op == Add {
			addItem(edit.name, pair{old: -1, new: i})
		}
	}
	return reorder(listName, resultNames, pairsByName, order)
}

// reorder returns the pairs of names in the given order, which must be a permutation of
// names, or in the order of names if order is nil. It consumes pairsByName.
func reorder(listName string, names []string, pairsByName map[string]pair, order []string) ([]pair, error) {
	if order == nil {
		order = names
	}
	if len(order) != len(names) {
		return nil, invalidf("change: %s: order has %d names for %d items", listName, len(order), len(names))
	}
	pairs := make([]pair, 0, len(order))
	for _, name := range order {
		p, ok := pairsByName[name]
		if !ok {
			return nil, invalidf("change: %s: order contains %q, which is unknown or a duplicate", listName, name)
		}
		delete(pairsByName, name)
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

func collectNames(n int, name func(int) string) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = name(i)
	}
	return names
}
