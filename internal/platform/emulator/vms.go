package emulator

import (
	"maps"
	"slices"
	"sync"
	"time"

	"parsleyscale/internal/platform/client"
)

// vmList is the list of VMs. A change of a VM is listed after the lag; extra and hidden VMs take effect at once. The list
// has a version, so that a client can request only the changes after the version that it knows.
type vmList struct {
	mu      sync.Mutex
	lag     time.Duration        // between a change of a VM and its appearance in the list
	pending []vmChange           // changes that are not listed yet, ordered by due time
	actual  map[string]client.VM // by id: VMs without the effect of faults
	extra   map[string]client.VM // by id: VMs that a fault adds
	hidden  map[string]bool      // by id: VMs that a fault hides
	shown   map[string]shownVM   // by id: entries as of the latest refresh, removed ones included
	version uint64               // of the latest change in shown
}

type vmChange struct {
	due       time.Time
	vm        client.VM
	isRemoval bool
}

type shownVM struct {
	vm        client.VM
	version   uint64 // of the list when the entry last changed
	isRemoved bool
}

func newVMList(lag time.Duration) *vmList {
	return &vmList{lag: lag, actual: map[string]client.VM{}, shown: map[string]shownVM{}, version: 1}
}

// change adds, changes or removes a VM after the lag.
func (l *vmList) change(vm client.VM, isRemoval bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, vmChange{due: time.Now().Add(l.lag), vm: vm, isRemoval: isRemoval})
}

// setFaults replaces the VMs that are added to the list and the ids that are hidden from it.
func (l *vmList) setFaults(extra []client.VM, hidden []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.extra = map[string]client.VM{}
	for _, v := range extra {
		l.extra[v.ID] = v
	}
	l.hidden = map[string]bool{}
	for _, id := range hidden {
		l.hidden[id] = true
	}
}

// since returns the changes after a version. It returns the whole list for version 0, and for a version that the list has
// not reached, which a client may know from an earlier run of the emulator.
func (l *vmList) since(version uint64) client.VMChanges {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(time.Now())
	changes := client.VMChanges{Version: l.version, Whole: version == 0 || version > l.version}
	for _, id := range slices.Sorted(maps.Keys(l.shown)) {
		entry := l.shown[id]
		switch {
		case !changes.Whole && entry.version <= version:
		case !entry.isRemoved:
			changes.VMs = append(changes.VMs, entry.vm)
		case !changes.Whole:
			changes.Removed = append(changes.Removed, id)
		}
	}
	return changes
}

// refresh applies the changes that are due, and gives a new version to every entry that differs from the latest refresh.
// The caller holds l.mu.
func (l *vmList) refresh(now time.Time) {
	for len(l.pending) > 0 && !l.pending[0].due.After(now) {
		change := l.pending[0]
		l.pending = l.pending[1:]
		if change.isRemoval {
			delete(l.actual, change.vm.ID)
		} else {
			l.actual[change.vm.ID] = change.vm
		}
	}
	visible := maps.Clone(l.actual)
	maps.Copy(visible, l.extra)
	maps.DeleteFunc(visible, func(id string, _ client.VM) bool { return l.hidden[id] })
	for id, entry := range l.shown {
		if _, ok := visible[id]; !ok && !entry.isRemoved {
			l.show(entry.vm, true)
		}
	}
	for id, vm := range visible {
		if entry, ok := l.shown[id]; !ok || entry.isRemoved || entry.vm != vm {
			l.show(vm, false)
		}
	}
}

// show records an entry at the next version of the list. The caller holds l.mu.
func (l *vmList) show(vm client.VM, isRemoved bool) {
	l.version++
	l.shown[vm.ID] = shownVM{vm: vm, version: l.version, isRemoved: isRemoved}
}
