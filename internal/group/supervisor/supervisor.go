package supervisor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"parsleyscale/internal/backend/pooler"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/group/promoter"
	"parsleyscale/internal/member/tracker"
	"parsleyscale/internal/peer/messenger"
	"parsleyscale/internal/request/admitter"
	"parsleyscale/internal/request/dispatcher"
	"parsleyscale/internal/request/exchanger"
	"parsleyscale/internal/sheet/parser"
	"parsleyscale/internal/telemetry/logger"
)

const (
	refreshInterval = 500 * time.Millisecond
	// keepUnused is how long a group stays on a VM that is not its gateway.
	keepUnused = 10 * time.Second
	// deadAfter is the age of the last confirmed round at which a group counts as dead for the breaker.
	deadAfter = 1500 * time.Millisecond
)

// Sheets is the sheet in force.
type Sheets interface {
	Current() (version uint64, s parser.Sheet, ok bool)
	Changed() <-chan struct{}
}

// Config holds what a Supervisor needs of its VM.
type Config struct {
	Self        tracker.Member
	Sheets      Sheets
	Rank        dispatcher.Ranking
	Dial        func(parser.Instance) connector.Instance
	PoolConfig  pooler.Config
	QueueLength int
	Peer        func(address string) messenger.Peer
	Log         *logger.Logger
	OnSwitch    func(database, cause string) // counts changes of primary; may be nil
}

// Supervisor owns the groups of a VM.
type Supervisor struct {
	cfg      Config
	pool     *pooler.Pool
	admitter *admitter.Admitter
	budget   *admitter.Budget
	layout   atomic.Pointer[layout]

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	groups map[string]*group
}

// New returns a running Supervisor.
func New(cfg Config) (*Supervisor, error) {
	s := &Supervisor{cfg: cfg, groups: map[string]*group{}, budget: admitter.NewBudget()}
	s.layout.Store(&layout{})
	s.cfg.PoolConfig.DatabaseOf = func(instance string) string { return s.layout.Load().owner[instance].database }
	pool, err := pooler.New(s.cfg.PoolConfig)
	if err != nil {
		return nil, err
	}
	s.pool = pool
	s.admitter = admitter.New(admitter.Config{Queue: cfg.QueueLength, Limit: s.share})
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.wg.Go(s.run)
	return s, nil
}

// share is the number of units that may run on an instance at once: as many as there are connections for them.
func (s *Supervisor) share(instance string) int {
	l, ok := s.layout.Load().owner[instance]
	if !ok {
		return 1
	}
	return s.pool.Share(l.instance)
}

// Close stops all groups and waits for them. Units must have ended.
func (s *Supervisor) Close() {
	s.cancel()
	s.wg.Wait()
	s.mu.Lock()
	groups := s.groups
	s.groups = map[string]*group{}
	s.mu.Unlock()
	for _, g := range groups {
		g.close()
	}
	s.pool.Close()
}

func (s *Supervisor) run() {
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	for {
		changed := s.cfg.Sheets.Changed()
		s.refresh()
		select {
		case <-s.ctx.Done():
			return
		case <-changed:
		case <-t.C:
		}
	}
}

// refresh makes the running groups match the sheet and the live VMs.
func (s *Supervisor) refresh() {
	version, sheet, ok := s.cfg.Sheets.Current()
	if !ok {
		return
	}
	l := s.layout.Load()
	if l.version != version {
		l = layoutOf(version, sheet, s.cfg.Self.DataCentre)
		s.layout.Store(l)
	}
	s.stopUnused(l)
	for _, g := range s.all() {
		s.refreshGroup(l.databases[g.database])
	}
	for _, db := range l.near {
		if s.isGateway(db) {
			s.refreshGroup(db)
		}
	}
}

// isGateway reports whether this VM is a gateway of a database in its data
// centre. It looks at no other data centre, because most databases are not the VM's concern.
func (s *Supervisor) isGateway(db parser.Database) bool {
	return indexOf(dispatcher.Gateways(s.cfg.Rank, db.Name, s.cfg.Self.DataCentre), s.cfg.Self.ID) >= 0
}

func (s *Supervisor) refreshGroup(db parser.Database) {
	gateways := dispatcher.AllGateways(s.cfg.Rank, db)
	isGateway := indexOf(gateways, s.cfg.Self.ID) >= 0
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[db.Name]
	if g == nil && !isGateway {
		return
	}
	s.pool.SetGateways(db.Name, max(len(gateways), 1))
	if g == nil {
		g = s.startLocked(db)
	}
	g.update(db, isGateway, s.cfg.Log)
}

// stopUnused ends groups that this VM is no gateway of and has not used for a while, or that left the sheet.
func (s *Supervisor) stopUnused(l *layout) {
	s.mu.Lock()
	var ended []*group
	for name, g := range s.groups {
		_, isKnown := l.databases[name]
		if isKnown && (g.isGateway.Load() || g.isInUse(keepUnused)) {
			continue
		}
		ended = append(ended, g)
		delete(s.groups, name)
	}
	s.mu.Unlock()
	for _, g := range ended {
		g.close()
	}
}

// Runner returns the Runner of a database, and starts the group if it is not running here.
func (s *Supervisor) Runner(database string) (exchanger.Runner, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g, ok := s.groups[database]; ok {
		return g, nil
	}
	if s.ctx.Err() != nil {
		return nil, classifier.New(classifier.ShuttingDown, "vm %s is stopping", s.cfg.Self.ID)
	}
	_, sheet, _ := s.cfg.Sheets.Current()
	db, _, ok := sheet.Database(database)
	if !ok {
		return nil, classifier.New(classifier.UnknownDatabase, "database %q is not in the sheet", database)
	}
	return s.startLocked(db), nil
}

func (s *Supervisor) find(database string) *group {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.groups[database]
}

func (s *Supervisor) all() []*group {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*group, 0, len(s.groups))
	for _, g := range s.groups {
		list = append(list, g)
	}
	return list
}

// otherGroups counts the other groups of this VM, and those that look dead from here.
func (s *Supervisor) otherGroups(database string) (dead, total int) {
	for _, g := range s.all() {
		if g.database == database {
			continue
		}
		total++
		if time.Since(g.sampler.View().ConfirmedAt) > deadAfter {
			dead++
		}
	}
	return dead, total
}

// rank returns the place of this VM among the gateways of a database.
func (s *Supervisor) rank(database string) int {
	_, sheet, _ := s.cfg.Sheets.Current()
	db, _, _ := sheet.Database(database)
	gateways := dispatcher.AllGateways(s.cfg.Rank, db)
	if i := indexOf(gateways, s.cfg.Self.ID); i >= 0 {
		return i
	}
	return len(gateways)
}

func indexOf(list []tracker.Member, id string) int {
	for i, m := range list {
		if m.ID == id {
			return i
		}
	}
	return -1
}

// logEvent writes a promoter's event.
func (s *Supervisor) logEvent(e promoter.Event) {
	name, ok := events[e.Name]
	if !ok {
		return
	}
	fields := []logger.Field{logger.String("database", e.Database), logger.Int("term", int64(e.Term)), logger.String("instance", e.Instance), logger.String("reason", string(e.Reason)), logger.Millis("took", e.Took)}
	if e.Err != nil {
		s.cfg.Log.Warn(name, append(fields, logger.Err(e.Err))...)
		return
	}
	s.cfg.Log.Info(name, fields...)
	if e.Name == promoter.EventReplaced && s.cfg.OnSwitch != nil {
		s.cfg.OnSwitch(e.Database, string(e.Reason))
	}
}

// events maps the promoter's events to those of the log.
var events = map[string]logger.Event{
	promoter.EventDecision: logger.PromoterDecision,
	promoter.EventFenced:   logger.GroupFenced,
	promoter.EventPromoted: logger.PrimaryPromoted,
	promoter.EventReplaced: logger.PrimaryReplaced,
	promoter.EventFailed:   logger.PromotionFailed,
	promoter.EventHeld:     logger.WritesHeld,
	promoter.EventFollow:   logger.InstanceFollows,
}
