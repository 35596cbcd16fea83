package emulator

import (
	"maps"
	"slices"
	"sync"
	"time"

	"parsleyscale/internal/platform/client"
)

// vmList is the list of VMs. A change appears after the lag; wrong entries
// appear at once. Versions let a reader ask for later changes only.
type vmList struct {
	mu      sync.Mutex
	lag     time.Duration
	pending []vmChange // ordered by due time
	actual  map[string]client.VM
	extra   map[string]client.VM
	hidden  map[string]bool
	shown   map[string]shownVM
	version uint64
}

type vmChange struct {
	due    time.Time
	vm     client.VM
	remove bool
}

type shownVM struct {
	vm      client.VM
	version uint64
	removed bool
}

func newVMList(lag time.Duration) *vmList {
	return &vmList{lag: lag, actual: map[string]client.VM{}, shown: map[string]shownVM{}, version: 1}
}

func (l *vmList) change(vm client.VM, remove bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, vmChange{due: time.Now().Add(l.lag), vm: vm, remove: remove})
}

func (l *vmList) setWrong(extra []client.VM, hidden []string) {
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

func (l *vmList) since(version uint64) client.VMChanges {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(time.Now())
	c := client.VMChanges{Version: l.version, Whole: version == 0 || version > l.version}
	for _, id := range slices.Sorted(maps.Keys(l.shown)) {
		e := l.shown[id]
		switch {
		case !c.Whole && e.version <= version:
		case !e.removed:
			c.VMs = append(c.VMs, e.vm)
		case !c.Whole:
			c.Removed = append(c.Removed, id)
		}
	}
	return c
}

// refresh applies the changes that are due and gives a new version to every
// entry whose appearance differs from the last answer.
func (l *vmList) refresh(now time.Time) {
	for len(l.pending) > 0 && !l.pending[0].due.After(now) {
		c := l.pending[0]
		l.pending = l.pending[1:]
		if c.remove {
			delete(l.actual, c.vm.ID)
		} else {
			l.actual[c.vm.ID] = c.vm
		}
	}
	visible := maps.Clone(l.actual)
	maps.Copy(visible, l.extra)
	maps.DeleteFunc(visible, func(id string, _ client.VM) bool { return l.hidden[id] })
	for id, e := range l.shown {
		if _, ok := visible[id]; !ok && !e.removed {
			l.show(e.vm, true)
		}
	}
	for id, vm := range visible {
		if e, ok := l.shown[id]; !ok || e.removed || e.vm != vm {
			l.show(vm, false)
		}
	}
}

func (l *vmList) show(vm client.VM, removed bool) {
	l.version++
	l.shown[vm.ID] = shownVM{vm: vm, version: l.version, removed: removed}
}
