package runner

import (
	"fmt"
	"time"

	"parsleyscale/internal/platform/emulator"
)

const (
	faultEvery  = 500 * time.Millisecond // mean time between two faults
	faultLength = 2 * time.Second        // longest time of a fault
	quietEnd    = 2 * time.Second        // without new faults at the end
)

// fault is a fault in force.
type fault struct {
	subject string // no other fault of the same subject begins meanwhile
	end     time.Time
	undo    func() error
}

// everything lets faults of all sorts overlap. At most one instance of a
// database fails at a time, so that a majority stays.
func everything(r *run) error {
	var active []fault
	for first := true; first || r.left() > quietEnd; first = false {
		active = r.endFaults(active, time.Now())
		if f, ok := r.beginFault(active); ok {
			f.end = time.Now().Add(time.Duration(r.rng.Int64N(int64(faultLength))))
			active = append(active, f)
		}
		if !r.sleep(time.Duration(r.rng.Int64N(int64(2 * faultEvery)))) {
			break
		}
	}
	r.endFaults(active, r.end.Add(faultLength))
	return nil
}

// endFaults ends the faults that are over at a time and returns the others.
func (r *run) endFaults(active []fault, now time.Time) []fault {
	var rest []fault
	for _, f := range active {
		if f.end.After(now) {
			rest = append(rest, f)
			continue
		}
		r.note(f.undo())
	}
	return rest
}

// beginFault begins a random fault unless its subject has one.
func (r *run) beginFault(active []fault) (fault, bool) {
	var f fault
	var begin func() error
	switch r.rng.IntN(6) {
	case 0, 1:
		f, begin = r.instanceFault()
	case 2, 3:
		f, begin = r.vmFault()
	case 4:
		f = fault{subject: "silence", undo: func() error { return nil }}
		begin = func() error { r.silenceSomething(); return nil }
	default:
		f = fault{subject: "store", undo: func() error { r.sys.Platform.SetFaults(emulator.Faults{}); return nil }}
		begin = func() error { r.sys.Platform.SetFaults(emulator.Faults{Out: true}); return nil }
	}
	for _, a := range active {
		if a.subject == f.subject {
			return f, false
		}
	}
	r.note(begin())
	return f, true
}

// instanceFault kills, pauses or isolates a primary or, in one case of four, any instance.
func (r *run) instanceFault() (fault, func() error) {
	db := r.service.Databases[r.rng.IntN(len(r.service.Databases))]
	name := db.Instances[r.rng.IntN(len(db.Instances))].Name
	if p, err := r.sys.Primary(db.Name); err == nil && r.rng.IntN(4) > 0 {
		name = p.Name
	}
	f := fault{subject: db.Name, undo: func() error { return r.restore(name) }}
	switch r.rng.IntN(3) {
	case 0:
		return f, func() error { return r.kill(name) }
	case 1:
		return f, func() error { return r.pause(name) }
	}
	f.undo = func() error { return r.reconnect(name) }
	isFar := r.rng.IntN(2) == 0
	return f, func() error { return r.isolate(name, isFar) }
}

// vmFault kills or pauses a VM.
func (r *run) vmFault() (fault, func() error) {
	vms := r.sys.VMs()
	v := vms[r.rng.IntN(len(vms))]
	f := fault{subject: fmt.Sprintf("vm %s", v.ID)}
	if r.rng.IntN(2) == 0 {
		f.undo = func() error { r.sys.ResumeVM(v); return nil }
		return f, func() error { r.sys.PauseVM(v); return nil }
	}
	f.undo = func() error { return r.sys.RestartVM(v) }
	return f, func() error { return r.sys.KillVM(v) }
}
