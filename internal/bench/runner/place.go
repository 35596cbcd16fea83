package runner

import (
	"time"

	"parsleyscale/internal/platform/emulator"
	"parsleyscale/internal/sheet/parser"
)

const (
	silencePeriod = 1500 * time.Millisecond
	spikeApply    = 3 * time.Second
	spikeReceive  = 150 * time.Millisecond
	// sheetPeriod is the time between two changes of the sheet.
	sheetPeriod = 700 * time.Millisecond
	// lostEach is the number of answers that the store loses for each change of the sheet.
	lostEach = 1
)

// share waits for a part of the time that is left.
func (r *run) share(part, whole time.Duration) bool { return r.sleep(r.left() * part / whole) }

func storeOut(r *run) error {
	r.sys.Platform.SetFaults(emulator.Faults{Out: true})
	r.share(4, 5)
	r.sys.Platform.SetFaults(emulator.Faults{})
	return nil
}

// lostAnswers lets an operator change the state of a replica again and again while the store loses answers.
func lostAnswers(r *run) error {
	db := r.service.Databases[0]
	name := db.Instances[len(db.Instances)-1].Name
	for n := 0; n == 0 || r.left() > 2*sheetPeriod; n++ {
		r.sys.Platform.SetFaults(emulator.Faults{LoseAnswers: lostEach})
		state := parser.Leaving
		if n%2 == 1 {
			state = parser.Serving
		}
		if err := r.changeState(name, state); err != nil {
			return err
		}
		if !r.sleep(sheetPeriod) {
			return nil
		}
	}
	return nil
}

// silentConnections makes the connections of a random host or link silent.
func silentConnections(r *run) error {
	for first := true; first || r.left() > silencePeriod; first = false {
		r.silenceSomething()
		if !r.sleep(silencePeriod) {
			return nil
		}
	}
	return nil
}

func (r *run) silenceSomething() {
	dcs := r.dataCentres()
	switch r.rng.IntN(3) {
	case 0:
		vms := r.sys.VMs()
		r.sys.Net.SilenceHost(vms[r.rng.IntN(len(vms))].Host)
	case 1:
		db := r.service.Databases[r.rng.IntN(len(r.service.Databases))]
		if i, err := r.sys.Instance(db.Instances[r.rng.IntN(len(db.Instances))].Name); err == nil {
			r.sys.Net.SilenceHost(i.Host)
		}
	default:
		a := r.rng.IntN(len(dcs))
		r.sys.Net.Silence(dcs[a], dcs[(a+1)%len(dcs)])
	}
}

// setCut cuts or heals all links between two sets of data centres.
func (r *run) setCut(a, b []string, isCut bool) {
	set := r.sys.Net.Heal
	if isCut {
		set = r.sys.Net.Cut
	}
	for _, x := range a {
		for _, y := range b {
			set(x, y)
			set(y, x)
		}
	}
}

func dataCentreCut(r *run) error {
	dcs := r.dataCentres()
	r.setCut(dcs[:1], dcs[1:], true)
	r.share(3, 5)
	r.setCut(dcs[:1], dcs[1:], false)
	return nil
}

func regionCut(r *run) error {
	g := r.sys.Sheet().Regions
	r.setCut(g[0].DataCentres, g[1].DataCentres, true)
	r.share(3, 5)
	r.setCut(g[0].DataCentres, g[1].DataCentres, false)
	return nil
}

// lagSpike makes all replicas slow for a while.
func lagSpike(r *run) error {
	r.setLag(spikeReceive, spikeApply)
	r.share(3, 5)
	r.setLag(r.sys.Deployment.ReceiveDelay, r.sys.Deployment.ApplyDelay)
	return nil
}

func (r *run) setLag(receive, apply time.Duration) {
	for _, db := range r.service.Databases {
		for _, m := range db.Instances {
			if i, err := r.sys.Instance(m.Name); err == nil {
				r.sys.SetDelays(i, receive, apply)
			}
		}
	}
}
