// Package assembler runs an entry VM on the users' platform. Clients and instances speak a line protocol, and the
// configuration, the registry of instances and the fencing tokens are kept in the platform's store.
package assembler

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"parsleyscale/internal/backend/allotter"
	"parsleyscale/internal/client/budgeter"
	"parsleyscale/internal/config/loader"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/claimer"
	"parsleyscale/internal/group/commander"
	"parsleyscale/internal/group/confirmer"
	"parsleyscale/internal/group/enroller"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/group/replacer"
	"parsleyscale/internal/group/sealer"
	"parsleyscale/internal/operator/auditor"
	"parsleyscale/internal/platform/follower"
	"parsleyscale/internal/platform/reconciler"
	"parsleyscale/internal/platform/replicator"
	"parsleyscale/internal/request/admitter"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/carrier"
	"parsleyscale/internal/statement/conductor"
	"parsleyscale/internal/statement/forwarder"
	"parsleyscale/internal/statement/namer"
	"parsleyscale/internal/statement/performer"
	"parsleyscale/internal/team/holder"
	"parsleyscale/internal/telemetry/logger"
	"parsleyscale/internal/telemetry/meter"
)

// Store is the platform's table service.
type Store interface {
	follower.Source
	claimer.Store
	// ReadFrom returns the rows of a table by key from one on, at most limit, and reports whether these are all.
	ReadFrom(ctx context.Context, table, key string, limit int) (follower.Page, bool, error)
	// Put writes a row and returns the version of that write, which is unique and higher than all before.
	Put(ctx context.Context, table, key string, value []byte) (uint64, error)
}

// Platform holds the services and formats of the users' platform that a VM needs.
type Platform struct {
	Store      Store
	Limits     holder.Store // of the shards of the teams' limits
	Dialer     carrier.Dialer
	Accept     func(c net.Conn, a *budgeter.Account) conductor.ClientConn
	AcceptPort func(c net.Conn, a *budgeter.Account) forwarder.Conn
	Promote    func(ctx context.Context, group, instance, holder string, token uint64) error

	FormatError func(r carrier.Reply) string // returns the line by which a client is told of a refusal

	ParseCondition func(row string) (carrier.InstanceStatus, error)

	ConfigurationTable string
	ConfigurationKey   string
	ParseConfiguration func(b []byte) (*cataloger.Configuration, error)
	RegistryTable      string
	ParseEntry         func(id string, b []byte) (cataloger.Instance, error)

	// UseBudget sets the budget that connections to instances account in; called before the first dial.
	UseBudget func(b *budgeter.Budget)
	// OnCall sets the function that is called after each call to the platform.
	OnCall func(f func(call string, err error))
	// OnRestore sets the function that is called with each new era of the store, which begins when it is restored from an older
	// copy; nil if the store has none.
	OnRestore func(f func(era uint64))
	Clock     func() time.Duration // monotonic, and includes the time during which the VM was suspended
}

// absentInstance is the identity of no instance. The platform refuses to promote it, but has then seen the token.
const absentInstance = "-"

// VM is a running entry VM.
type VM struct {
	cfg      loader.LineSettings
	platform Platform
	log      *logger.Logger

	// latestSettings holds the settings as last reloaded. Only stopGrace and stopNotice are read from it; all other
	// settings stay as they were at the start.
	latestSettings atomic.Pointer[loader.LineSettings]
	configuration  atomic.Pointer[cataloger.Configuration]
	configuring    sync.Mutex          // held while a configuration is put into force
	registry       reconciler.Registry // accessed only by the follower of the registry table
	hasRegistry    atomic.Bool
	registryLoaded chan struct{} // closed when hasRegistry becomes true
	openSealsRead  chan struct{} // closed once the open seals of other VMs are known, or openSealsTimeout has passed
	sealer         *sealer.Sealer
	isStopping     atomic.Bool
	teamsChanged   chan struct{} // signals closeRemovedSessions
	sourceAnswerAt atomic.Int64  // on Platform.Clock, when the store or another VM last answered; see silentFor

	groups            *registrar.Registrar
	budget            *budgeter.Budget // of what clients and other VMs' connections use
	pool              *allotter.Allotter
	gateways          *gatewayDialer
	statementNames    namer.Namer
	forwardServer     *forwarder.Server // nil if the settings have no link address
	performer         *performer.Performer
	confirmer         *confirmer.Confirmer
	replacer          *replacer.Replacer
	claims            *claimer.Claimer
	storeEra          atomic.Int64              // 0 until the store is restored
	restoredAt        atomic.Pointer[time.Time] // when the VM learned of the latest restore of the store; nil: none
	seenRestoreAt     atomic.Pointer[time.Time] // the same if the VM has seen it itself
	outdatedEntries   atomic.Int64              // of the registry, which are not used
	members           *members
	enroller          *enroller.Enroller
	startedAt         time.Time
	limits            *limits
	auditor           *auditor.Auditor
	sessionServer     *conductor.Server
	tableCopies       map[string]*replicator.TableCopy // by table
	configurationCopy *replicator.TableCopy            // one of tableCopies
	tableSource       *replicator.Source
	readyServer       *http.Server
	peerServer        *http.Server
	metricsServer     *http.Server // nil if the settings have no admin address
	meter             *meter.LineMeter
	followers         []*follower.Follower // of the configuration table and the registry table, in this order
	summarizer        *summarizer
	registryFollower  atomic.Pointer[follower.Follower]
	vmFollower        *follower.Follower // of the list of VMs; nil if this VM is no reader
	puller            *replicator.Puller
	refresher         atomic.Pointer[replicator.Refresher] // of the registry; nil until the followers have started
}

// Run runs a VM until ctx ends, then stops it gracefully.
func Run(ctx context.Context, cfg loader.LineSettings, p Platform, reload Reload, log *logger.Logger) error {
	v, err := start(cfg, p, log)
	if err != nil {
		return err
	}
	go v.watchSettings(ctx, reload)
	go v.closeRemovedSessions(ctx)
	served := make(chan error, 1)
	go func() { served <- v.sessionServer.Serve() }()
	select {
	case err := <-served:
		return errors.Join(err, errors.New("client listener stopped"))
	case <-ctx.Done():
	}
	v.stop()
	return nil
}

func start(cfg loader.LineSettings, p Platform, log *logger.Logger) (*VM, error) {
	v := &VM{cfg: cfg, platform: p, log: log, startedAt: time.Now(), registryLoaded: make(chan struct{}), openSealsRead: make(chan struct{}), teamsChanged: make(chan struct{}, 1)}
	v.latestSettings.Store(&cfg)
	v.recordSourceAnswer()
	v.budget = budgeter.New(budgeter.LimitsFor(cfg.MemoryMB, cfg.MaxDescriptors), v.logBudget)
	p.UseBudget(v.budget)
	var err error
	if v.meter, err = meter.NewLineMeter(v.gauges()...); err != nil {
		return nil, err
	}
	p.OnCall(v.countCall)
	v.groups = registrar.New(p.Clock)
	v.groups.Observe(v.logPrimaryChange)
	v.groups.AssumeDepartures()
	v.gateways = &gatewayDialer{vm: v, failed: map[string]time.Time{}, probing: map[string]bool{}}
	v.tableSource = v.newSource()
	v.members = newMembers(cfg, p.Store, v.tableSource)
	v.summarizer = newSummarizer(p.Store, v.isLarge)
	go v.members.refreshLoop(context.Background())
	v.auditor = auditor.Start(p.Store, cfg.ID)
	v.claims = claimer.New(p.Store, cfg.ID, v.promoteRequestLifetime())
	if p.OnRestore != nil {
		p.OnRestore(v.handleRestore)
	}
	v.pool = allotter.New(allotter.Config{Dialer: v.gateways, Limits: v.gateways.connectionLimits, Observe: v.recordDial, Route: v.gateways.route, PeekRoute: v.gateways.peekRoute, PeekLimits: v.gateways.peekLimits, ObserveWait: v.logTeamWait, ObserveRamp: v.logRamp})
	controller := commander.Controller{Pool: v.pool, Parse: p.ParseCondition}
	peers := commander.Peers{Dialer: p.Dialer, Addresses: v.gateways.linkAddresses, Parse: p.ParseCondition}
	v.performer = performer.New(performer.Config{
		DataCentre: cfg.DataCentre, Region: cfg.Region, RegionOf: func(dc string) string { return cfg.DataCentres[dc] },
		Groups: v.groups, Pool: v.pool, RetryBudget: admitter.NewRetryBudget(), Observe: v.logStatement, Unfenced: v.unfenced(controller), Acknowledge: v.acknowledge,
	})
	v.confirmer = confirmer.New(confirmer.Config{Status: controller.Status})
	v.sealer = &sealer.Sealer{Client: replicator.NewClient(), Addresses: v.writerAddresses, RefreshAddresses: v.members.refreshIfOld, AreAddressesKnown: v.members.areAllRead}
	go v.readOpenSeals()
	v.replacer = replacer.Start(replacer.Config{
		Groups: v.groups, Controller: controller, Tokens: v.members, Claims: v.claims, IsUnfenced: !cfg.Fencing, Probe: v.performer.Probe, Sample: v.performer.SamplePrimaryPosition, Rank: v.members.rank, IsConfigured: v.isConfigured, Roster: v.roster,
		Promote: func(ctx context.Context, group, instance string, token uint64) error {
			return p.Promote(ctx, group, instance, cfg.ID, token)
		},
		Fence: func(ctx context.Context, group string, token uint64) error {
			err := p.Promote(ctx, group, absentInstance, cfg.ID, token)
			if classifier.Is(err, classifier.Conflict) {
				return nil // the instance is not running, or a higher token was seen, which the promote request will meet as well
			}
			return err
		},
		RefreshInstances:  v.refreshRegistry,
		Self:              cfg.ID,
		Sealer:            v.sealer,
		Peers:             peers,
		DemoteAt:          peers.Demote,
		AnswersDirectly:   v.gateways.answersDirectly,
		OnInstanceRemoved: v.performer.Forget,
		Observe:           v.recordReplacement,
		RegistryState:     v.registryState,
	})
	v.startFollowers()
	v.startEnroller()
	v.startLimits()
	clientListener, err := net.Listen("tcp", cfg.CallerAddress)
	if err != nil {
		return nil, err
	}
	v.sessionServer = conductor.NewServer(conductor.Config{
		Listener: clientListener, Accept: p.Accept, Budget: v.budget, Configuration: v.configuration.Load, Performer: v.performer, Clock: p.Clock, MaxSessions: cfg.Callers, Names: &v.statementNames, OnEnd: v.logSession, OnPanic: v.logPanic,
		Authentication: v.authentication(), SilentFor: v.silentFor, OnRefuse: v.recordTeamRefusal, Admitter: v.limits,
	})
	readyListener, err := net.Listen("tcp", cfg.ReadyAddress)
	if err != nil {
		return nil, err
	}
	v.readyServer = &http.Server{Handler: http.HandlerFunc(v.serveReady), ReadHeaderTimeout: time.Second}
	go func() { _ = v.readyServer.Serve(readyListener) }()
	if err := errors.Join(v.servePeers(), v.serveForwarding(), v.serveMetrics()); err != nil {
		return nil, err
	}
	log.Info(logger.VMStarted, logger.String("callerAddress", cfg.CallerAddress))
	return v, nil
}

// unfenced returns what the verification of primaries needs, or nil where a promotion ends the lead of the old primary.
func (v *VM) unfenced(c commander.Controller) *performer.Unfenced {
	if v.cfg.Fencing {
		return nil
	}
	return &performer.Unfenced{Status: c.Status, SyncReplicas: func(group string) int {
		return v.groupConfiguration(group).SyncReplicas
	}}
}

// promoteRequestLifetime returns how long a promote request without an answer may still be carried out, or 0 if the
// platform refuses it once it has seen a later token.
func (v *VM) promoteRequestLifetime() time.Duration {
	if v.cfg.Fencing {
		return 0
	}
	return claimer.UnfencedRequestLifetime
}

// stop stops the VM gracefully. The VM reports not ready at once, but closes its sessions only after stopNotice, which
// gives the load balancer time to remove the VM.
func (v *VM) stop() {
	v.isStopping.Store(true)
	v.log.Info(logger.VMStopping, logger.Int("sessions", int64(v.sessionServer.SessionCount())))
	settings := v.latestSettings.Load()
	v.sessionServer.Stop(settings.StopNotice.Std(), settings.StopGrace.Std())
	v.limits.close()
	v.replacer.Close()
	v.enroller.Close()
	v.auditor.Close()
	v.confirmer.Close() // last, as other VMs may still use this one as a gateway
	v.log.Info(logger.VMStopped)
}

// serveMetrics serves the metrics on the admin address, if the settings have one.
func (v *VM) serveMetrics() error {
	if v.cfg.AdminAddress == "" {
		return nil
	}
	l, err := net.Listen("tcp", v.cfg.AdminAddress)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", v.meter.Handler())
	v.metricsServer = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = v.metricsServer.Serve(l) }()
	return nil
}

func (v *VM) isReady() bool {
	return !v.isStopping.Load() && v.configuration.Load() != nil && v.hasRegistry.Load() && !v.refusesAll()
}

func (v *VM) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !v.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// applyConfiguration puts the configuration in rows into force if its version is higher than the current one.
func (v *VM) applyConfiguration(rows []follower.Row, _ uint64) {
	v.configuring.Lock()
	defer v.configuring.Unlock()
	for _, r := range rows {
		if r.Key != v.platform.ConfigurationKey || r.IsRemoved {
			continue
		}
		c, err := v.platform.ParseConfiguration(r.Value)
		if err != nil {
			v.log.Warn(logger.SheetFault, logger.Err(err))
			continue
		}
		if old := v.configuration.Load(); old != nil && old.Version >= c.Version {
			continue
		}
		v.configuration.Store(c)
		v.notifyTeamsChanged()
		v.configurationCopy.SetInForce(replicator.InForce{Key: r.Key, Value: r.Value, Version: c.Version})
		v.auditConfiguration(c.Version)
		v.logTeams(c)
		v.log.Info(logger.SheetInForce, logger.Int("version", int64(c.Version)), logger.Int("routes", int64(len(c.Routes))))
	}
}

// replaceRegistry replaces the registry by all rows of its table.
func (v *VM) replaceRegistry(rows []follower.Row, version uint64) {
	if v.registry.IsRestoredAt(version) {
		v.groups.RecordRestore()
	}
	v.updateRegistry(v.registry.WithTable(v.entries(rows), version))
	if !v.hasRegistry.Swap(true) {
		close(v.registryLoaded)
	}
}

// applyRegistryChanges applies changed rows to the registry.
func (v *VM) applyRegistryChanges(rows []follower.Row, _ uint64) {
	entries := v.entries(rows)
	unseen, ok := v.registry.Unseen(entries)
	if !ok {
		v.recordRegistryGap("")
	}
	for _, group := range unseen {
		v.recordRegistryGap(group)
	}
	v.updateRegistry(v.registry.WithChanges(entries))
}

// recordRegistryGap records that an instance of a group, or of any group if the name is empty, may have joined and left without a state of the
// registry that shows it.
func (v *VM) recordRegistryGap(group string) {
	v.log.Info(logger.RegistryGap, logger.String("group", group))
	if group == "" {
		v.groups.RecordGap()
		return
	}
	v.groups.Group(group).RecordGap()
}

// recordDial records what the result of a dial shows about the state of an instance.
func (v *VM) recordDial(t carrier.Target, p tokenizer.Position, _ time.Duration, err error) {
	g := v.groups.Group(t.Group)
	if err == nil {
		if !v.gateways.isBehindGateway(t) { // a gateway accepts connections even if it cannot reach the instance
			g.RecordAnswer(t.Instance, p, 0)
		}
		return
	}
	v.logDial(t, err)
	if !isRefusal(err) {
		g.RecordFailure(t.Instance)
	}
}
