package runner

import (
	"time"

	"parsleyscale/internal/bench/builder"
)

// vmPeriod is the time between the failures of two VMs.
const vmPeriod = 1200 * time.Millisecond

// eachVM makes VM after VM fail and recover in an order that depends on the seed, while there is time.
func (r *run) eachVM(fail, mend func(v *builder.VM) error) error {
	vms := r.sys.VMs()
	order := r.rng.Perm(len(vms))
	for n := 0; n == 0 || r.left() > vmPeriod; n++ {
		v := vms[order[n%len(order)]]
		if err := fail(v); err != nil {
			return err
		}
		r.sleep(vmPeriod / 2)
		if err := mend(v); err != nil {
			return err
		}
		if !r.sleep(vmPeriod / 2) {
			return nil
		}
	}
	return nil
}

func vmKill(r *run) error { return r.eachVM(r.sys.KillVM, r.sys.RestartVM) }

func rollingStop(r *run) error { return r.eachVM(r.sys.StopVM, r.sys.RestartVM) }

func vmPause(r *run) error {
	return r.eachVM(func(v *builder.VM) error {
		r.sys.PauseVM(v)
		r.sleep(vmPeriod / 2)
		return nil
	}, func(v *builder.VM) error {
		r.sys.ResumeVM(v)
		return nil
	})
}
