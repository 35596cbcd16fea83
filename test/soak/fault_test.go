package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"parsleyscale/platform/emulator"
)

// fault is a disruption of a plan. Its targets are picked by x and y in [0, 1) when it begins.
type fault struct {
	kind     string
	at, time time.Duration // begin, and how long it lasts
	group    int
	x, y     float64
}

// kinds are the kinds of faults with their weights and the longest time.
var kinds = []struct {
	name    string
	weight  int
	longest time.Duration
	run     func(s *system, p *player, f fault)
}{
	{"vmKill", 6, 3 * time.Second, runVMEnd(syscall.SIGKILL)},
	{"vmTerm", 5, 2 * time.Second, runVMEnd(syscall.SIGTERM)},
	{"herdKill", 1, 2 * time.Second, runHerdKill},
	{"vmPause", 10, 5 * time.Second, runVMPause},
	{"vmStutter", 5, 5 * time.Second, runVMStutter},
	{"vmSlow", 5, 5 * time.Second, runVMSlow},
	{"primaryCrash", 8, 5 * time.Second, runCrash(true)},
	{"replicaCrash", 5, 5 * time.Second, runCrash(false)},
	{"primaryBlink", 4, 200 * time.Millisecond, runCrash(true)},
	{"replicaBlink", 6, 200 * time.Millisecond, runCrash(false)},
	{"primarySilent", 6, 5 * time.Second, runSilent(true)},
	{"replicaSilent", 3, 4 * time.Second, runSilent(false)},
	{"replicaDeaf", 10, 6 * time.Second, runDeaf},
	{"entryLost", 8, 5 * time.Second, runEntryLost},
	{"primaryIsolated", 5, 5 * time.Second, runIsolated},
	{"replicaEmpty", 3, time.Second, runEmpty},
	{"join", 4, time.Second, runJoin},
	{"leave", 5, 4 * time.Second, runLeave(false)},
	{"release", 4, 4 * time.Second, runLeave(true)},
	{"storeUnavailable", 5, 6 * time.Second, runStore(emulator.Unavailable)},
	{"storeSilent", 5, 6 * time.Second, runStore(emulator.Unresponsive)},
	{"storeSlow", 3, 5 * time.Second, runStore(emulator.Slow)},
	{"storeAnswersLost", 3, 4 * time.Second, runStore(emulator.DropsAnswer)},
	{"compact", 2, 0, func(s *system, _ *player, _ fault) { s.store.Compact() }},
	{"promoteLate", 8, 5 * time.Second, runPromoteLate},
	{"answersLost", 4, 3 * time.Second, runAnswersLost},
	{"cutPrimary", 10, 6 * time.Second, runCut(true)},
	{"cutReplica", 4, 6 * time.Second, runCut(false)},
	{"cutVMs", 8, 6 * time.Second, runCutVMs},
	{"vmIsolated", 5, 6 * time.Second, runVMIsolated},
	{"soleReceiver", 14, 6 * time.Second, runSoleReceiver},
	{"split", 8, 6 * time.Second, runSplit},
	{"heldBlinks", 8, 3 * time.Second, runHeldBlinks},
	{"lateEntry", 8, 9 * time.Second, runLateEntry},
	{"behindCut", 8, 10 * time.Second, runBehindCut(false)},
	{"behindCutReceiverToo", 4, 10 * time.Second, runBehindCut(true)},
}

// primaryFaults are the kinds that make VMs replace a primary. Each series has one of them.
var primaryFaults = []string{"primaryCrash", "primaryBlink", "primarySilent", "primaryIsolated", "answersLost", "cutPrimary", "release"}

// compounds are the kinds that consist of several faults, which need their time.
var compounds = []string{"soleReceiver", "split", "heldBlinks", "lateEntry", "behindCut", "behindCutReceiverToo"}

// isDrawn reports whether a seed has a kind.
func isDrawn(kind string, rng *rand.Rand) bool {
	if *only != "" {
		return slices.Contains(strings.Split(*only, ","), kind)
	}
	return rng.IntN(100) < 35
}

// newPlan draws faults for a time: series of overlapping faults with pauses between them.
func newPlan(seed uint64, length time.Duration, groups int) []fault {
	rng := rand.New(rand.NewPCG(seed, 55))
	// Each seed leaves out most kinds, so that the others meet more often.
	weights, total := make([]int, len(kinds)), 0
	for total == 0 {
		for k := range kinds {
			if weights[k] = 0; isDrawn(kinds[k].name, rng) {
				weights[k] = kinds[k].weight
				total += weights[k]
			}
		}
	}
	pace := 0.5 + rng.Float64()
	var plan []fault
	for at := time.Second; at < length; {
		n, main := 2+rng.IntN(8), rng.IntN(5)
		for m := range n {
			k := 0
			if m == main || m == n-1 && main >= n {
				name := primaryFaults[rng.IntN(len(primaryFaults))]
				for kinds[k].name != name {
					k++
				}
			} else {
				for pick := rng.IntN(total); pick >= weights[k]; k++ {
					pick -= weights[k]
				}
			}
			f := fault{kind: kinds[k].name, at: at, group: rng.IntN(groups), x: rng.Float64(), y: rng.Float64()}
			f.time = time.Duration((0.04 + 0.96*rng.Float64()) * float64(kinds[k].longest))
			if slices.Contains(compounds, f.kind) {
				f.time = f.time/2 + kinds[k].longest/2
				at += time.Duration(rng.Float64() * float64(f.time))
			}
			plan = append(plan, f)
			at += time.Duration(pace * rng.Float64() * float64(700*time.Millisecond))
		}
		at += time.Duration((0.3 + 2*rng.Float64()) * float64(time.Second))
	}
	return plan
}

// player plays a plan.
type player struct {
	program string
	begun   time.Time
	wg      sync.WaitGroup
	kinds   map[string]func(s *system, p *player, f fault)

	mu     sync.Mutex
	busy   map[string]bool // instances with a fault that must not overlap another one
	joined int
	picked map[int]*emulator.Instance // replicas that the next faults of the groups concern, whatever they draw
}

// play plays a plan and waits until all faults have ended.
func (s *system) play(plan []fault, program string) {
	p := &player{program: program, begun: time.Now(), busy: map[string]bool{}, kinds: map[string]func(*system, *player, fault){}, picked: map[int]*emulator.Instance{}}
	for _, k := range kinds {
		p.kinds[k.name] = k.run
	}
	for _, f := range plan {
		time.Sleep(time.Until(p.begun.Add(f.at)))
		p.wg.Go(func() { p.kinds[f.kind](s, p, f) })
	}
	p.wg.Wait()
}

// instance returns the primary, or the replica that x picks.
func (p *player) instance(s *system, f fault, isPrimary bool, x float64) *emulator.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := p.picked[f.group]; i != nil && !isPrimary && s.groups[f.group].Primary() != i {
		return i
	}
	return instanceOf(s.groups[f.group], isPrimary, x)
}

// note adds a fault to the timeline.
func (s *system) note(f fault, format string, args ...any) {
	s.timeline.add("fault", "%s for %d ms: %s", f.kind, f.time.Milliseconds(), fmt.Sprintf(format, args...))
}

// reserve reserves an instance for a fault that must not overlap another one of it. It reports whether it was free.
func (p *player) reserve(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[id] {
		return false
	}
	p.busy[id] = true
	return true
}

func (p *player) release(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, id)
}

// share returns the VMs that x picks: all of them, one, or a part.
func (s *system) share(x, y float64) []*vm {
	n := len(s.vms)
	switch {
	case x < 0.3:
		return s.vms
	case x < 0.5:
		return s.vms[int(y*float64(n)):][:1]
	}
	var list []*vm
	first, count := int(y*float64(n)), 1+int((x-0.5)*2*float64(n-1))
	for k := range count {
		list = append(list, s.vms[(first+k)%n])
	}
	return list
}

func ids(vms []*vm) []string {
	var list []string
	for _, v := range vms {
		list = append(list, v.id)
	}
	return list
}

func runVMEnd(sig syscall.Signal) func(*system, *player, fault) {
	return func(s *system, p *player, f fault) { s.restart(p, f, s.vms[int(f.x*float64(len(s.vms)))], sig) }
}

// restart ends a VM's process and starts it again after the time of the fault.
func (s *system) restart(p *player, f fault, v *vm, sig syscall.Signal) {
	if !v.fault.TryLock() {
		return
	}
	defer v.fault.Unlock()
	s.note(f, "%s gets %v", v.id, sig)
	v.end(sig, stopGrace)
	time.Sleep(f.time)
	s.timeline.add("fault", "%s starts again", v.id)
	if err := v.start(p.program); err != nil {
		s.t.Errorf("%s: %v", v.id, err)
	}
}

func runHerdKill(s *system, p *player, f fault) {
	for _, v := range s.share(0.5+f.x/2, f.y) {
		p.wg.Go(func() { s.restart(p, f, v, syscall.SIGKILL) })
	}
}

func runVMPause(s *system, _ *player, f fault) {
	v := s.vms[int(f.x*float64(len(s.vms)))]
	if !v.fault.TryLock() {
		return
	}
	defer v.fault.Unlock()
	s.note(f, "%s is suspended", v.id)
	v.signal(syscall.SIGSTOP)
	time.Sleep(max(f.time, 200*time.Millisecond))
	s.timeline.add("fault", "%s goes on", v.id)
	v.signal(syscall.SIGCONT)
}

// runVMStutter suspends some VMs again and again for a short time.
func runVMStutter(s *system, p *player, f fault) {
	vms := s.share(f.x, f.y)
	s.note(f, "%v are suspended again and again", ids(vms))
	for k, v := range vms {
		rng := rand.New(rand.NewPCG(uint64(f.at), uint64(k)))
		p.wg.Go(func() {
			if !v.fault.TryLock() {
				return
			}
			defer v.fault.Unlock()
			for end := time.Now().Add(f.time); time.Now().Before(end); {
				v.signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(rng.Int64N(int64(300 * time.Millisecond))))
				v.signal(syscall.SIGCONT)
				time.Sleep(time.Duration(rng.Int64N(int64(150 * time.Millisecond))))
			}
		})
	}
	time.Sleep(f.time)
	s.timeline.add("fault", "%v go on", ids(vms))
}

// runVMSlow delays what some VMs get from instances and from other VMs.
func runVMSlow(s *system, _ *player, f fault) {
	vms, d := s.share(f.x, f.y), time.Duration(f.y*f.y*float64(250*time.Millisecond))
	s.note(f, "%v get everything %d ms later", ids(vms), d.Milliseconds())
	for _, v := range vms {
		s.gates.setSlow(v.id, d)
	}
	time.Sleep(f.time)
	s.timeline.add("fault", "%v get everything in time", ids(vms))
	for _, v := range vms {
		s.gates.setSlow(v.id, 0)
	}
}

// expiryTime is how long an instance is silent before its entry is removed.
const expiryTime = 3600 * time.Millisecond

func runCrash(isPrimary bool) func(*system, *player, fault) {
	return func(s *system, p *player, f fault) {
		i := p.instance(s, f, isPrimary, f.x)
		if !p.reserve(i.ID) {
			return
		}
		defer p.release(i.ID)
		s.note(f, "%s crashes", i.ID)
		i.Crash()
		time.Sleep(min(f.time, expiryTime))
		if f.time > expiryTime {
			s.timeline.add("platform", "entry of %s expires", i.ID)
			s.store.Put("servers", i.ID, nil)
			time.Sleep(f.time - expiryTime)
		}
		s.timeline.add("fault", "%s is back", i.ID)
		if err := i.Restart(); err != nil {
			s.t.Errorf("%s: %v", i.ID, err)
		}
		i.Register()
	}
}

func runSilent(isPrimary bool) func(*system, *player, fault) {
	return func(s *system, p *player, f fault) {
		i := p.instance(s, f, isPrimary, f.x)
		s.note(f, "%s reads and answers nothing, replicates=%v", i.ID, f.y < 0.5)
		s.gates.setSilent(true, i.ID)
		if f.y >= 0.5 {
			i.SetIsolated(true)
			i.SetReplicationPaused(true)
		}
		time.Sleep(f.time)
		s.timeline.add("fault", "%s answers again", i.ID)
		i.SetIsolated(false)
		i.SetReplicationPaused(false)
		s.gates.setSilent(false, i.ID)
	}
}

func runDeaf(s *system, p *player, f fault) {
	i := p.instance(s, f, false, f.x)
	s.note(f, "%s receives nothing", i.ID)
	i.SetReplicationPaused(true)
	time.Sleep(f.time)
	s.timeline.add("fault", "%s receives again", i.ID)
	i.SetReplicationPaused(false)
}

func runEntryLost(s *system, p *player, f fault) {
	i := p.instance(s, f, f.y < 0.1, f.x)
	if !p.reserve(i.ID) {
		return
	}
	defer p.release(i.ID)
	s.note(f, "%s loses its entry and goes on", i.ID)
	s.store.Put("servers", i.ID, nil)
	time.Sleep(f.time)
	s.timeline.add("fault", "%s registers again", i.ID)
	i.Register()
}

func runIsolated(s *system, _ *player, f fault) {
	i := s.groups[f.group].Primary()
	s.note(f, "%s sends nothing to its replicas", i.ID)
	i.SetIsolated(true)
	time.Sleep(f.time)
	s.timeline.add("fault", "%s sends again", i.ID)
	i.SetIsolated(false)
}

func runEmpty(s *system, p *player, f fault) {
	g := s.groups[f.group]
	i := p.instance(s, f, false, f.x)
	if !p.reserve(i.ID) {
		return
	}
	defer p.release(i.ID)
	i.Crash()
	if g.Primary() == i || !s.othersLive(g, i) {
		s.note(f, "%s crashes and is back at once", i.ID)
		_ = i.Restart()
		i.Register()
		return
	}
	s.note(f, "%s crashes and starts again without its log", i.ID)
	time.Sleep(f.time)
	if g.Primary() == i { // a promotion that had begun
		_ = i.Restart()
	} else if err := i.RestartEmpty(); err != nil {
		s.t.Errorf("%s: %v", i.ID, err)
	}
	s.timeline.add("fault", "%s is back", i.ID)
	i.Register()
}

// othersLive reports whether the primary and another replica hold what an instance holds, so that it may lose its log.
func (s *system) othersLive(g *emulator.Group, left *emulator.Instance) bool {
	held, n := len(g.Log(left)), 0
	for _, i := range g.Instances() {
		if i != left && len(g.Log(i)) >= held {
			n++
		}
	}
	return n >= 2
}

// catchUpTime is the longest time until a newcomer receives.
const catchUpTime = 4 * time.Second

func runJoin(s *system, p *player, f fault) {
	g := s.groups[f.group]
	if len(g.Instances()) >= 6 {
		return
	}
	p.join(s, f, g, zones[int(f.x*float64(len(zones)))])
}

func (p *player) join(s *system, f fault, g *emulator.Group, zone string) {
	p.mu.Lock()
	p.joined++
	id := fmt.Sprintf("i-%s-new%d", g.Name, p.joined)
	p.mu.Unlock()
	s.note(f, "%s joins", id)
	i, err := g.Join(id, zone)
	if err != nil {
		s.t.Error(err)
		return
	}
	i.SetReceiveDelay(receiveDelays[zone])
	s.gates.place(id, zone)
	if f.x < 0.7 { // until it has the log of before
		i.SetReplicationPaused(true)
		time.AfterFunc(time.Duration(f.x*float64(catchUpTime)), func() { i.SetReplicationPaused(false) })
	}
}

// succeed makes an instance with a new identity take over the address and the log of one that has crashed.
func (p *player) succeed(s *system, g *emulator.Group, old *emulator.Instance) {
	p.mu.Lock()
	p.joined++
	id := fmt.Sprintf("i-%s-new%d", g.Name, p.joined)
	p.mu.Unlock()
	s.timeline.add("fault", "%s is gone, %s takes over its address and log", old.ID, id)
	s.gates.place(id, old.Zone)
	if _, err := g.Succeed(old, id); err != nil {
		s.t.Error(err)
	}
	s.store.Put("servers", old.ID, nil)
}

// runLeave makes an instance announce its stop and leave for good, and another one join or take over its log. A primary stays until it was replaced.
func runLeave(isPrimary bool) func(*system, *player, fault) {
	return func(s *system, p *player, f fault) {
		g := s.groups[f.group]
		i := p.instance(s, f, isPrimary, f.x)
		if !p.reserve(i.ID) {
			return
		}
		defer p.release(i.ID)
		s.note(f, "%s announces its stop", i.ID)
		i.AnnounceStop()
		if f.y < 0.3 {
			p.join(s, f, g, i.Zone)
		}
		time.Sleep(f.time)
		for k := 0; g.Primary() == i && k < 80; k++ {
			time.Sleep(100 * time.Millisecond)
		}
		i.Crash()
		if g.Primary() == i || g.Promoting() == i.ID || !s.othersLive(g, i) {
			s.timeline.add("fault", "%s stays after all", i.ID)
			_ = i.Restart()
			i.Register()
			return
		}
		if f.y >= 0.7 {
			p.succeed(s, g, i)
			return
		}
		s.timeline.add("fault", "%s is gone", i.ID)
		time.Sleep(time.Duration(f.y * float64(time.Second)))
		s.store.Put("servers", i.ID, nil)
		if f.y >= 0.3 {
			p.join(s, f, g, i.Zone)
		}
		g.Remove(i)
	}
}

func runStore(m emulator.Mode) func(*system, *player, fault) {
	return func(s *system, p *player, f fault) {
		vms := s.share(f.x, f.y)
		s.note(f, "for %v", ids(vms))
		for _, v := range vms {
			v.store.SetMode(m)
		}
		if f.x < 0.1 { // an entry expires meanwhile
			p.wg.Go(func() {
				runEntryLost(s, p, fault{kind: "entryLost", time: f.time + time.Second, group: f.group, x: f.y, y: 1})
			})
		}
		time.Sleep(f.time)
		s.timeline.add("fault", "%s ends", f.kind)
		for _, v := range vms {
			v.store.SetMode(emulator.Available)
		}
	}
}

// runPromoteLate makes promotions be carried out late or, if y is low, at once, but without an answer.
func runPromoteLate(s *system, _ *player, f fault) {
	d := time.Duration(f.y * float64(2500*time.Millisecond))
	if f.y < 0.3 {
		d = time.Millisecond
	}
	vms := s.share(f.x, f.y)
	s.note(f, "%d ms late for %v, without an answer", d.Milliseconds(), ids(vms))
	for _, v := range vms {
		s.store.SetPromotionDelayOf(v.id, d)
	}
	time.Sleep(f.time)
	s.timeline.add("fault", "%s ends", f.kind)
	for _, v := range vms {
		s.store.SetPromotionDelayOf(v.id, 0)
	}
}

func runAnswersLost(s *system, _ *player, f fault) {
	i := s.groups[f.group].Primary()
	s.note(f, "%s answers no write", i.ID)
	i.SetDropWriteAnswers(true)
	time.Sleep(f.time)
	s.timeline.add("fault", "%s answers writes again", i.ID)
	i.SetDropWriteAnswers(false)
}

func runCut(isPrimary bool) func(*system, *player, fault) {
	return func(s *system, p *player, f fault) {
		i, vms := p.instance(s, f, isPrimary, f.y), s.share(f.x, f.y)
		s.note(f, "%v do not reach %s", ids(vms), i.ID)
		for _, v := range vms {
			s.gates.setCut(true, v.id, i.ID)
		}
		time.Sleep(f.time)
		s.timeline.add("fault", "%v reach %s again", ids(vms), i.ID)
		for _, v := range vms {
			s.gates.setCut(false, v.id, i.ID)
		}
	}
}

// runCutVMs cuts some VMs off from another one.
func runCutVMs(s *system, _ *player, f fault) {
	vms, other := s.share(f.x, f.y), s.vms[(int(f.y*float64(len(s.vms)))+1)%len(s.vms)]
	s.note(f, "%v and %s do not reach one another", ids(vms), other.id)
	s.cutVMs(true, vms, other)
	time.Sleep(f.time)
	s.timeline.add("fault", "%v and %s reach one another again", ids(vms), other.id)
	s.cutVMs(false, vms, other)
}

func (s *system) cutVMs(on bool, vms []*vm, other *vm) {
	for _, v := range vms {
		if v != other {
			s.gates.setCut(on, v.id, other.id)
			s.gates.setCut(on, other.id, v.id)
		}
	}
}

// runVMIsolated cuts a VM off from the store, the calls with a token, the other VMs and, if y is high, the instances of a group.
func runVMIsolated(s *system, _ *player, f fault) {
	v := s.vms[int(f.x*float64(len(s.vms)))]
	var instances []*emulator.Instance
	if f.y >= 0.4 {
		instances = s.groups[f.group].Instances()
	}
	s.note(f, "%s reaches neither the store nor other VMs, nor %d instances", v.id, len(instances))
	set := func(on bool) {
		s.cutVMs(on, s.vms, v)
		for _, i := range instances {
			s.gates.setCut(on, v.id, i.ID)
		}
	}
	set(true)
	v.store.SetMode(emulator.CutOff)
	time.Sleep(f.time)
	s.timeline.add("fault", "%s is back", v.id)
	set(false)
	v.store.SetMode(emulator.Available)
}

// rng returns a generator for what a fault draws when it begins.
func (f fault) rng() *rand.Rand { return rand.New(rand.NewPCG(uint64(f.at), uint64(f.x*(1<<53)))) }

// part returns a fault that belongs to f and begins within its time.
func (f fault) part(rng *rand.Rand, kind string) fault {
	return fault{kind: f.kind + "/" + kind, at: f.at, time: time.Duration((0.3 + 0.7*rng.Float64()) * float64(f.time)), group: f.group, x: rng.Float64(), y: rng.Float64()}
}

// run plays a part after a pause.
func (p *player) run(s *system, after time.Duration, kind string, f fault) {
	p.wg.Go(func() {
		time.Sleep(after)
		p.kinds[kind](s, p, f)
	})
}

// pauseOthers lets only one replica receive, which it returns, after a pause and for the time of a fault.
func (s *system) pauseOthers(after time.Duration, f fault, g *emulator.Group, rng *rand.Rand) *emulator.Instance {
	primary := g.Primary()
	var others []*emulator.Instance
	for _, i := range g.Instances() {
		if i != primary {
			others = append(others, i)
		}
	}
	receiver := others[rng.IntN(len(others))]
	s.note(f, "only %s receives, %d ms from now on", receiver.ID, after.Milliseconds())
	time.AfterFunc(after, func() {
		for _, i := range others {
			if i != receiver {
				i.SetReplicationPaused(true)
				time.AfterFunc(f.time, func() { i.SetReplicationPaused(false) })
			}
		}
	})
	return receiver
}

// runSoleReceiver makes one replica receive nothing, so that only another one receives what is acknowledged, which then goes missing
// in one of several ways before the primary fails.
func runSoleReceiver(s *system, p *player, f fault) {
	rng, g := f.rng(), s.groups[f.group]
	receiver := s.pauseOthers(time.Duration(rng.Int64N(2)*rng.Int64N(int64(2*time.Second))), f, g, rng)
	time.Sleep(time.Duration(rng.Float64() * float64(time.Second)))
	ways := []string{"entryLost", "entryLost", "replicaCrash", "replicaBlink", "replicaSilent", "leave", "cutReplica"}
	way := ways[rng.IntN(len(ways))]
	part := f.part(rng, way)
	if rng.IntN(2) == 0 {
		part.time /= 2
	}
	p.mu.Lock()
	p.picked[f.group] = receiver
	p.mu.Unlock()
	p.run(s, 0, way, part)
	time.Sleep(time.Duration(rng.Float64() * float64(f.time) / 2))
	p.mu.Lock()
	delete(p.picked, f.group)
	p.mu.Unlock()
	name := primaryFaults[rng.IntN(len(primaryFaults))]
	p.run(s, 0, name, f.part(rng, name))
}

// runSplit divides the VMs into two parts that do not reach one another. The store is silent for one of them, and the primary fails
// for one or both.
func runSplit(s *system, p *player, f fault) {
	rng := f.rng()
	order := rng.Perm(len(s.vms))
	n := 1 + rng.IntN(len(s.vms)-1)
	var left, right []*vm
	for k, v := range order {
		if k < n {
			left = append(left, s.vms[v])
		} else {
			right = append(right, s.vms[v])
		}
	}
	primary := s.groups[f.group].Primary()
	storeIsSilent, isCut, delay := rng.IntN(3) < 2, rng.IntN(2) == 0, time.Duration(0)
	if rng.IntN(2) == 0 {
		delay = time.Duration(1 + rng.Int64N(int64(1500*time.Millisecond)))
	}
	s.note(f, "%v | %v, store silent on the left: %v, %s cut off from the left: %v, promotions of the left %d ms late", ids(left), ids(right), storeIsSilent, primary.ID, isCut, delay.Milliseconds())
	set := func(on bool) {
		for _, v := range left {
			for _, w := range right {
				s.gates.setCut(on, v.id, w.id)
				s.gates.setCut(on, w.id, v.id)
			}
			if isCut {
				s.gates.setCut(on, v.id, primary.ID)
			}
			mode := emulator.Available
			if on && storeIsSilent {
				mode = emulator.Unresponsive
			}
			v.store.SetMode(mode)
			if on {
				s.store.SetPromotionDelayOf(v.id, delay)
			} else {
				s.store.SetPromotionDelayOf(v.id, 0)
			}
		}
	}
	set(true)
	if !isCut || rng.IntN(2) == 0 {
		name := primaryFaults[rng.IntN(len(primaryFaults))]
		p.run(s, time.Duration(rng.Float64()*float64(time.Second)), name, f.part(rng, name))
	}
	time.Sleep(f.time)
	s.timeline.add("fault", "%s ends", f.kind)
	set(false)
}

// runHeldBlinks cuts most VMs off from the primary, so that they replace it, and restarts replicas meanwhile, which ends their holds.
func runHeldBlinks(s *system, p *player, f fault) {
	rng := f.rng()
	part := f.part(rng, "cutPrimary")
	part.time, part.x = f.time, 0.75+rng.Float64()/4
	p.run(s, 0, "cutPrimary", part)
	for range 2 + rng.IntN(3) {
		blink := f.part(rng, "replicaBlink")
		blink.time = time.Duration(rng.Int64N(int64(100 * time.Millisecond)))
		p.run(s, 400*time.Millisecond+time.Duration(rng.Float64()*float64(f.time)), "replicaBlink", blink)
	}
}

// runLateEntry makes the store fail until all entries of a group have expired. They are back one by one, that of the only replica
// that receives last, and the primary fails while VMs that have just started do not know it.
func runLateEntry(s *system, p *player, f fault) {
	rng, g := f.rng(), s.groups[f.group]
	vms := s.share(0.5+f.x/2, f.y)
	for _, v := range s.vms {
		v.store.SetMode(emulator.Unavailable)
	}
	receiver := s.pauseOthers(f.time/6+time.Duration(rng.Float64()*float64(f.time)/2), f, g, rng)
	var list []*emulator.Instance
	for _, i := range g.Instances() {
		if p.reserve(i.ID) {
			list = append(list, i)
			s.store.Put("servers", i.ID, nil)
		}
	}
	s.timeline.add("fault", "%s: the store is down and all entries expire", f.kind)
	time.Sleep(f.time / 6)
	for _, v := range vms {
		p.wg.Go(func() { s.restart(p, fault{kind: f.kind, time: f.time / 12}, v, syscall.SIGKILL) })
	}
	time.Sleep(f.time / 6)
	s.timeline.add("fault", "%s: the store is back", f.kind)
	for _, v := range s.vms {
		v.store.SetMode(emulator.Available)
	}
	for _, i := range list {
		p.release(i.ID)
		if i != receiver {
			i.Register()
		}
	}
	time.Sleep(time.Duration((0.2 + 0.8*rng.Float64()) * float64(f.time) / 4))
	name := primaryFaults[rng.IntN(2)]
	p.run(s, 0, name, f.part(rng, name))
	time.Sleep(f.time / 4)
	s.timeline.add("fault", "%s registers again", receiver.ID)
	receiver.Register()
}

// runBehindCut makes the only replica that receives lose its entry, and VMs that do not reach the primary replace it while others
// that they do not reach go on. With receiverToo, the VMs that replace the primary do not reach that replica either.
func runBehindCut(receiverToo bool) func(*system, *player, fault) {
	return func(s *system, p *player, f fault) {
		rng, g := f.rng(), s.groups[f.group]
		cutAfter := time.Duration((0.15 + 0.3*rng.Float64()) * float64(f.time)) // mostly after VMs have taken the replica for gone
		primary, receiver := g.Primary(), s.pauseOthers(cutAfter+time.Duration(rng.Int64N(int64(500*time.Millisecond))), f, g, rng)
		if !p.reserve(receiver.ID) {
			return
		}
		defer p.release(receiver.ID)
		n := 1 + rng.IntN(len(s.vms)-1)
		order := rng.Perm(len(s.vms))
		s.timeline.add("fault", "%s: %s loses its entry", f.kind, receiver.ID)
		s.store.Put("servers", receiver.ID, nil)
		time.Sleep(cutAfter)
		set := func(on bool) {
			for _, k := range order[:n] {
				s.gates.setCut(on, s.vms[k].id, primary.ID)
				if receiverToo {
					s.gates.setCut(on, s.vms[k].id, receiver.ID)
				}
				for _, m := range order[n:] {
					s.gates.setCut(on, s.vms[k].id, s.vms[m].id)
					s.gates.setCut(on, s.vms[m].id, s.vms[k].id)
				}
			}
		}
		s.timeline.add("fault", "%s: VMs %v (from 0) reach neither %s nor the others", f.kind, order[:n], primary.ID)
		set(true)
		time.Sleep(f.time / 2)
		s.timeline.add("fault", "%s ends", f.kind)
		set(false)
		receiver.Register()
	}
}
