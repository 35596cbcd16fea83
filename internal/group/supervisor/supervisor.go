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
	// refreshInterval is the time between two refreshes while the sheet does not change.
	refreshInterval = 500 * time.Millisecond
	// unusedRetention is how long a group keeps running after its last unit began, on a VM that is not a gateway of the database.
	unusedRetention = 10 * time.Second
	// withoutPrimaryAge is the age of the last confirmed round above which the promoter's circuit breaker counts a
	// group as one without a primary.
	withoutPrimaryAge = 1500 * time.Millisecond
)

// Sheets provides the sheet in force. Changed returns a channel that is closed at the next change.
type Sheets interface {
	Current() (version uint64, s parser.Sheet, ok bool)
	Changed() <-chan struct{}
}

// Config holds the dependencies and settings of a Supervisor.
type Config struct {
	Self              tracker.Member
	Sheets            Sheets
	Rank              dispatcher.Ranking
	Dial              func(parser.Instance) connector.Instance
	PoolConfig        pooler.Config
	QueueLength       int
	Peer              func(address string) messenger.Peer
	Log               *logger.Logger
	OnPrimaryReplaced func(database, reason string) // called after each replacement of a primary by this VM; may be nil
}

// Supervisor runs the groups of a VM.
type Supervisor struct {
	cfg        Config
	pool       *pooler.Pool
	admitter   *admitter.Admitter
	budget     *admitter.RetryBudget
	sheetIndex atomic.Pointer[sheetIndex]

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	groups map[string]*group // running ones, by database
}

// New returns a running Supervisor.
func New(cfg Config) (*Supervisor, error) {
	s := &Supervisor{cfg: cfg, groups: map[string]*group{}, budget: admitter.NewRetryBudget()}
	s.sheetIndex.Store(&sheetIndex{})
	s.cfg.PoolConfig.DatabaseOf = func(instance string) string { return s.sheetIndex.Load().instances[instance].database }
	pool, err := pooler.New(s.cfg.PoolConfig)
	if err != nil {
		return nil, err
	}
	s.pool = pool
	s.admitter = admitter.New(admitter.Config{MaxWaiting: cfg.QueueLength, MaxRunning: s.maxRunningUnits})
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.wg.Go(s.run)
	return s, nil
}

// maxRunningUnits returns the number of units that this VM may run on an instance at once: one for each connection
// that it may have to the instance. It is 1 for an instance that is not in the sheet.
func (s *Supervisor) maxRunningUnits(instance string) int {
	entry, ok := s.sheetIndex.Load().instances[instance]
	if !ok {
		return 1
	}
	return s.pool.Share(entry.instance)
}

// Close stops all groups and waits for them. All units must have ended before.
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

// refresh starts, updates and stops groups according to the sheet and the live VMs.
func (s *Supervisor) refresh() {
	version, sheet, ok := s.cfg.Sheets.Current()
	if !ok {
		return
	}
	index := s.sheetIndex.Load()
	if index.version != version {
		index = newSheetIndex(version, sheet, s.cfg.Self.DataCentre)
		s.sheetIndex.Store(index)
	}
	s.stopUnused(index)
	for _, g := range s.runningGroups() {
		s.refreshGroup(index.databases[g.database])
	}
	for _, db := range index.local {
		if s.isGateway(db) {
			s.refreshGroup(db)
		}
	}
}

// isGateway reports whether this VM is a gateway of a database in its data centre. It ranks the VMs of that data
// centre only, to save work: for most databases, this VM is not a gateway.
func (s *Supervisor) isGateway(db parser.Database) bool {
	return memberIndex(dispatcher.Gateways(s.cfg.Rank, db.Name, s.cfg.Self.DataCentre), s.cfg.Self.ID) >= 0
}

// refreshGroup updates the group of a database, and starts it if this VM is a gateway of the database.
func (s *Supervisor) refreshGroup(db parser.Database) {
	gateways := dispatcher.AllGateways(s.cfg.Rank, db)
	isGateway := memberIndex(gateways, s.cfg.Self.ID) >= 0
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[db.Name]
	if g == nil && !isGateway {
		return
	}
	s.pool.SetGatewayCount(db.Name, max(len(gateways), 1))
	if g == nil {
		g = s.startLocked(db)
	}
	g.update(db, isGateway, s.cfg.Log)
}

// stopUnused stops the groups whose database is no longer in the sheet, and those for which this VM is not a
// gateway and on which no unit has begun for unusedRetention.
func (s *Supervisor) stopUnused(index *sheetIndex) {
	s.mu.Lock()
	var stopped []*group
	for name, g := range s.groups {
		_, isKnown := index.databases[name]
		if isKnown && (g.isGateway.Load() || g.isUsedWithin(unusedRetention)) {
			continue
		}
		stopped = append(stopped, g)
		delete(s.groups, name)
	}
	s.mu.Unlock()
	for _, g := range stopped {
		g.close()
	}
}

// Runner returns the group of a database, and starts the group if it is not running on this VM.
func (s *Supervisor) Runner(database string) (exchanger.Runner, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g, ok := s.groups[database]; ok {
		return g, nil
	}
	if s.ctx.Err() != nil {
		return nil, classifier.New(classifier.ShuttingDown, "VM %s is stopping", s.cfg.Self.ID)
	}
	_, sheet, _ := s.cfg.Sheets.Current()
	db, _, ok := sheet.Database(database)
	if !ok {
		return nil, classifier.New(classifier.UnknownDatabase, "database %q is not in the sheet", database)
	}
	return s.startLocked(db), nil
}

// runningGroup returns the group of a database, or nil if it is not running on this VM.
func (s *Supervisor) runningGroup(database string) *group {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.groups[database]
}

func (s *Supervisor) runningGroups() []*group {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*group, 0, len(s.groups))
	for _, g := range s.groups {
		list = append(list, g)
	}
	return list
}

// otherGroups returns the number of other groups that run on this VM, and how many of them have had no
// confirmed round for longer than withoutPrimaryAge.
func (s *Supervisor) otherGroups(database string) (withoutPrimary, total int) {
	for _, g := range s.runningGroups() {
		if g.database == database {
			continue
		}
		total++
		if time.Since(g.sampler.View().ConfirmedAt) > withoutPrimaryAge {
			withoutPrimary++
		}
	}
	return withoutPrimary, total
}

// rank returns the position of this VM among the gateways of a database, starting at 0. A VM that is not a
// gateway ranks after all of them.
func (s *Supervisor) rank(database string) int {
	_, sheet, _ := s.cfg.Sheets.Current()
	db, _, _ := sheet.Database(database)
	gateways := dispatcher.AllGateways(s.cfg.Rank, db)
	if i := memberIndex(gateways, s.cfg.Self.ID); i >= 0 {
		return i
	}
	return len(gateways)
}

// memberIndex returns the index of a VM in a list, or -1 if it is not in it.
func memberIndex(list []tracker.Member, id string) int {
	for i, m := range list {
		if m.ID == id {
			return i
		}
	}
	return -1
}

// logEvent logs a promoter's event and reports a completed replacement to OnPrimaryReplaced.
func (s *Supervisor) logEvent(e promoter.Event) {
	name, ok := logEvents[e.Name]
	if !ok {
		return
	}
	fields := []logger.Field{logger.String("database", e.Database), logger.Int("term", int64(e.Term)), logger.String("instance", e.Instance), logger.String("reason", string(e.Reason)), logger.Millis("took", e.Took)}
	if e.Err != nil {
		s.cfg.Log.Warn(name, append(fields, logger.Err(e.Err))...)
		return
	}
	s.cfg.Log.Info(name, fields...)
	if e.Name == promoter.EventReplaced && s.cfg.OnPrimaryReplaced != nil {
		s.cfg.OnPrimaryReplaced(e.Database, string(e.Reason))
	}
}

// logEvents maps the names of the promoter's events to log events.
var logEvents = map[string]logger.Event{
	promoter.EventDecision: logger.PromoterDecision,
	promoter.EventFenced:   logger.GroupFenced,
	promoter.EventPromoted: logger.PrimaryPromoted,
	promoter.EventReplaced: logger.PrimaryReplaced,
	promoter.EventFailed:   logger.PromotionFailed,
	promoter.EventHeld:     logger.WritesHeld,
	promoter.EventFollow:   logger.InstanceFollows,
}
