package explorer

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/platform/follower"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/team/holder"
	"parsleyscale/internal/team/limiter"
	"parsleyscale/internal/team/messenger"
	"parsleyscale/internal/team/sharder"
)

// Bounds of the deployments, and the latency of the model.
const (
	window       = 5 * time.Second
	overage      = 0.1
	slack        = 20.0
	nearLatency  = 900 * time.Microsecond
	farLatency   = 8 * time.Millisecond
	storeLatency = 4 * time.Millisecond
)

var debug = os.Getenv("DEBUG") != ""

var errUnreachable = errors.New("unreachable")

// fleet is a deployment of VMs in two regions.
type fleet struct {
	t             *testing.T
	base          time.Time
	configuration atomic.Pointer[cataloger.Configuration]
	vms           []*vm
	list          []sharder.VM
	side          func(vm int) int // VMs of different sides do not reach each other; side 0 reaches the store

	mu         sync.Mutex
	rows       map[string]follower.Row
	version    uint64
	storeCalls int
	isStoreOut bool
	faults     *rand.Rand // if not nil, messages and calls to the store are lost, repeated and delayed at random
	messages   int
	bytes      int
	admitted   map[string][]time.Duration // by team
	refused    map[string]int
	slowest    time.Duration // longest time until a refusal
}

// vm is one VM. Its process is nil while it is down.
type vm struct {
	fleet   *fleet
	number  int
	self    sharder.VM
	process atomic.Pointer[process]
	starts  int
	frozen  atomic.Pointer[chan struct{}]
}

type process struct {
	holder  *holder.Holder
	limiter *limiter.Limiter
}

func newFleet(t *testing.T, size int, teams ...cataloger.Team) *fleet {
	f := &fleet{
		t: t, base: time.Now().Add(-time.Hour), rows: map[string]follower.Row{}, admitted: map[string][]time.Duration{}, refused: map[string]int{},
		side: func(int) int { return 0 },
	}
	f.setTeams(teams...)
	for k := range size {
		self := sharder.VM{ID: fmt.Sprintf("vm-%d", k), Region: fmt.Sprintf("r%d", k%2), Address: strconv.Itoa(k), CoreShare: 0.192 + 0.01*float64(k%61)}
		f.list = append(f.list, self)
		f.vms = append(f.vms, &vm{fleet: f, number: k, self: self})
	}
	return f
}

func (f *fleet) setTeams(teams ...cataloger.Team) {
	c := cataloger.Configuration{Version: 1}
	f.configuration.Store(c.WithTeams(teams))
}

func (f *fleet) clock() time.Duration { return time.Since(f.base) }

func (f *fleet) startAll() {
	for _, v := range f.vms {
		v.start()
	}
}

func (f *fleet) stopAll() {
	for _, v := range f.vms {
		v.thaw()
		v.kill()
	}
}

// set changes the state of the network or of the store.
func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// copyRows returns a copy of the rows of the store.
func (f *fleet) copyRows() map[string]follower.Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.rows)
}

// restore begins a new era of the store with the rows of a copy.
func (f *fleet) restore(rows map[string]follower.Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	era, last := follower.EraOf(f.version)+1, uint64(0)
	f.rows = map[string]follower.Row{}
	for k, r := range rows {
		last = max(last, follower.NumberOf(r.Version))
		r.Version = follower.VersionAt(era, follower.NumberOf(r.Version))
		f.rows[k] = r
	}
	f.version = follower.VersionAt(era, last)
}

func (f *fleet) reaches(from, to int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.side(from) == f.side(to)
}

func (v *vm) start() {
	v.starts++
	f := v.fleet
	s := sharder.New(map[string]string{"a": "r0", "b": "r1"}, sharder.Excess{Window: window, Overage: overage, Slack: slack}, limiter.TokenLifetime(window, overage))
	vms := func() []sharder.VM { return f.list }
	p := &process{}
	p.holder = holder.Start(holder.Config{
		Store: v, Self: v.self, Start: fmt.Sprint(v.self.ID, "/", v.starts), Sharder: s, Clock: f.clock, VMs: vms, AreVMsKnown: func() bool { return true },
		Configuration: f.configuration.Load, Send: v.send, OnChange: func(int, bool, string) {},
	})
	p.limiter = limiter.New(limiter.Config{
		Self: v.self, Sharder: s, Clock: f.clock, TokenLifetime: limiter.TokenLifetime(window, overage), VMs: vms, Send: v.send,
		Observe: func(string, time.Duration, error) {},
	})
	v.process.Store(p)
}

// kill ends the process without a release of its shards.
func (v *vm) kill() {
	if p := v.process.Swap(nil); p != nil {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		p.holder.Close(ctx)
	}
}

func (v *vm) freeze() {
	c := make(chan struct{})
	v.frozen.Store(&c)
}

func (v *vm) thaw() {
	if c := v.frozen.Swap(nil); c != nil {
		close(*c)
	}
}

// pause waits while the VM is frozen.
func (v *vm) pause() {
	if c := v.frozen.Load(); c != nil {
		<-*c
	}
}

// send delivers a request to another VM.
func (v *vm) send(ctx context.Context, address string, q messenger.Request) (messenger.Response, error) {
	f := v.fleet
	ctx, cancel := context.WithTimeout(ctx, messenger.Timeout)
	defer cancel()
	v.pause()
	n, _ := strconv.Atoi(address)
	to := f.vms[n]
	latency := nearLatency
	if to.self.Region != v.self.Region {
		latency = farLatency
	}
	if to == v {
		latency = 0
	}
	f.mu.Lock()
	f.messages++
	f.mu.Unlock()
	isLost, isRepeated := f.chance(0.1), f.chance(0.1)
	requestDelay, answerDelay := latency+f.delay(), latency+f.delay()
	done := make(chan messenger.Response, 1)
	go func() {
		time.Sleep(requestDelay)
		to.pause()
		if p := to.process.Load(); p != nil && f.reaches(v.number, n) {
			a := p.holder.Serve(q)
			if isRepeated {
				p.holder.Serve(q)
			}
			to.pause()
			time.Sleep(answerDelay)
			if !isLost {
				done <- a
			}
		}
	}()
	if to.process.Load() == nil {
		return messenger.Response{}, errUnreachable // refused by the machine
	}
	select {
	case a := <-done:
		v.pause()
		return a, nil
	case <-ctx.Done():
		return messenger.Response{}, ctx.Err()
	}
}

// chance reports true with a probability if the fleet has random faults.
func (f *fleet) chance(p float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults != nil && f.faults.Float64() < p
}

// delay returns the additional delay of a message.
func (f *fleet) delay() time.Duration {
	if !f.chance(0.3) {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.faults.ExpFloat64() * float64(100*time.Millisecond))
}

// storeCall waits for the store.
func (v *vm) storeCall(ctx context.Context) error {
	v.pause()
	v.fleet.mu.Lock()
	v.fleet.storeCalls++
	isOut := v.fleet.isStoreOut || v.fleet.side(v.number) != 0
	v.fleet.mu.Unlock()
	if !sleeper.Sleep(ctx, storeLatency+10*v.fleet.delay()) || isOut || v.process.Load() == nil {
		return classifier.New(classifier.PlatformUnavailable, "no answer")
	}
	v.pause()
	return nil
}

func (v *vm) Read(ctx context.Context, _ string) (follower.Page, error) {
	if debug {
		v.fleet.t.Logf("%s read by %d", v.fleet.clock(), v.number)
	}
	if err := v.storeCall(ctx); err != nil {
		return follower.Page{}, err
	}
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	return follower.Page{Rows: slices.Collect(maps.Values(v.fleet.rows)), Version: v.fleet.version}, nil
}

func (v *vm) SwapRows(ctx context.Context, _ string, rows []follower.Row) (uint64, []follower.Row, error) {
	if err := v.storeCall(ctx); err != nil {
		return 0, nil, err
	}
	f := v.fleet
	isLost := f.chance(0.1)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range rows {
		if f.rows[r.Key].Version != r.Version {
			return 0, slices.Collect(maps.Values(f.rows)), classifier.New(classifier.Conflict, "row %s", r.Key)
		}
	}
	for _, r := range rows {
		f.version++
		r.Version = f.version
		f.rows[r.Key] = r
	}
	if isLost {
		return 0, nil, classifier.New(classifier.PlatformUnavailable, "answer lost")
	}
	return f.version, nil, nil
}

// operate admits one operation of a team on a VM and reports whether it may run.
func (f *fleet) operate(v *vm, team string) bool {
	v.pause()
	p := v.process.Load()
	t := f.configuration.Load().Teams[team]
	if p == nil {
		return false
	}
	startedAt := f.clock()
	err := p.limiter.Admit(context.Background(), t)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.refused[team]++
		if debug {
			f.t.Logf("%s refused on %d: %v", f.clock(), v.number, err)
		}
		f.slowest = max(f.slowest, f.clock()-startedAt)
		return false
	}
	f.admitted[team] = append(f.admitted[team], f.clock())
	return true
}

// load runs operations of a team for some time, at random moments with the given mean rate, on the VM that choose returns.
func (f *fleet) load(team string, perSecond float64, d time.Duration, seed uint64, choose func(r *rand.Rand) *vm) {
	r := rand.New(rand.NewPCG(seed, 1))
	var wg sync.WaitGroup
	for end := f.clock() + d; f.clock() < end; {
		time.Sleep(time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)))
		v := choose(r)
		wg.Go(func() { f.operate(v, team) })
	}
	wg.Wait()
}

func (f *fleet) anyVM(r *rand.Rand) *vm { return f.vms[r.IntN(len(f.vms))] }

// forget drops what was counted so far.
func (f *fleet) forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.admitted, f.refused, f.slowest, f.messages, f.storeCalls = map[string][]time.Duration{}, map[string]int{}, 0, 0, 0
}

// checkBound checks the operations of a team in all windows that begin in a period.
func (f *fleet) checkBound(t cataloger.Team, from, to time.Duration) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	list := slices.Sorted(slices.Values(f.admitted[t.Name]))
	limit := (t.Rate*window.Seconds()+t.Burst)*(1+overage) + slack
	for k, end := 0, 0; k < len(list); k++ {
		for end < len(list) && list[end] < list[k]+window {
			end++
		}
		if list[k] >= from && list[k] <= to && float64(end-k) > limit {
			f.t.Errorf("team %s: %d operations in the window from %s, want at most %.1f", t.Name, end-k, list[k], limit)
			return
		}
	}
}

// holding returns the VM that holds a shard of a team, or nil.
func (f *fleet) holding(team string) *vm {
	s := sharder.New(map[string]string{"a": "r0", "b": "r1"}, sharder.Excess{Window: window, Overage: overage, Slack: slack}, limiter.TokenLifetime(window, overage))
	shards := s.Divide(f.configuration.Load().Teams[team]).Shards
	for _, v := range f.vms {
		if p := v.process.Load(); p != nil {
			for _, shard := range p.holder.Held() {
				if slices.Contains(shards, shard) {
					return v
				}
			}
		}
	}
	return nil
}

// heldBy returns the number of holders of each shard.
func (f *fleet) heldBy() [sharder.Count]int {
	var n [sharder.Count]int
	for _, v := range f.vms {
		if p := v.process.Load(); p != nil {
			for _, shard := range p.holder.Held() {
				n[shard]++
			}
		}
	}
	return n
}

// restart kills the process, if it runs, and starts it again.
func (v *vm) restart() {
	v.thaw()
	v.kill()
	v.start()
}
