package assembler

import (
	"strconv"
	"strings"
	"time"

	"parsleyscale/internal/backend/allotter"
	"parsleyscale/internal/backend/pacer"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/group/replacer"
	"parsleyscale/internal/platform/follower"
	"parsleyscale/internal/statement/carrier"
	"parsleyscale/internal/statement/performer"
	"parsleyscale/internal/telemetry/logger"
	"parsleyscale/internal/telemetry/meter"
)

// isRefusal reports whether err shows that the instance answered the dial but refused the connection.
func isRefusal(err error) bool {
	switch classifier.KindOf(err) {
	case classifier.TooManyConnections, classifier.Overloaded, classifier.AuthenticationFailed:
		return true
	}
	return false
}

func (v *VM) logDial(t carrier.Target, err error) {
	v.log.Sample(logger.DialFailed, string(classifier.KindOf(err)), logger.String("group", t.Group), logger.String("instance", t.Instance), logger.String("address", t.Address), logger.Err(err))
}

// logStoreState logs that calls to the store for a table have begun to fail, or succeed again if err is nil.
func (v *VM) logStoreState(table string, err error) {
	if err == nil {
		v.log.Info(logger.StoreBack, logger.String("table", table))
		return
	}
	v.log.Warn(logger.StoreFault, logger.String("table", table), logger.Err(err))
}

func (v *VM) logMergedChange(peer, table string, version uint64) {
	v.log.Info(logger.ChangeFromPeer, logger.String("peer", peer), logger.String("table", table), logger.Int("version", int64(follower.NumberOf(version))), logger.Int("era", int64(follower.EraOf(version))))
}

// statementEvents maps the performer's events to log events.
var statementEvents = map[string]logger.Event{
	performer.EventServed:  logger.StatementServed,
	performer.EventRetried: logger.StatementRepeated,
	performer.EventRefused: logger.StatementRefused,
	performer.EventUnknown: logger.OutcomeUnknown,
}

func (v *VM) logStatement(e performer.Event) {
	v.meter.Statement(e.Name, e.Group, string(e.Kind), e.Took)
	v.log.Sample(statementEvents[e.Name], string(e.Kind), logger.String("id", e.ID), logger.String("group", e.Group), logger.String("instance", e.Instance),
		logger.String("kind", string(e.Kind)), logger.String("floor", e.Floor.String()), logger.String("reached", e.ReplyPosition.String()), logger.String("primary", e.Primary), logger.Int("candidates", int64(e.Candidates)),
		logger.Int("waiting", int64(e.Waiting)), logger.Int("attempt", int64(e.Attempt)), logger.Millis("took", e.Took))
}

func (v *VM) logSession(reason string) {
	v.meter.Session(reason)
	v.log.Sample(logger.SessionEnded, reason, logger.String("reason", reason))
}

// logTeamWait logs that a request of a team has waited long for a connection. The lines of each team are sampled.
func (v *VM) logTeamWait(t carrier.Target, waited time.Duration) {
	v.log.Sample(logger.TeamWaits, t.Team, logger.String("team", t.Team), logger.String("instance", t.Instance), logger.Millis("waited", waited))
}

func (v *VM) logExplainPanic(err error) { v.log.Warn(logger.ExplainPanicked, logger.Err(err)) }

func (v *VM) logPanic(err error) { v.log.Warn(logger.SessionPanicked, logger.Err(err)) }

func (v *VM) countCall(call string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = string(classifier.KindOf(err))
	}
	v.meter.Call(call, outcome)
}

// gauges returns the gauges of this VM, which are read at each scrape.
func (v *VM) gauges() []meter.Gauge {
	return append([]meter.Gauge{
		{Name: "parsleyscale.sessions", Help: "open sessions", Read: func(observe func(int64, string)) { observe(int64(v.sessionServer.SessionCount()), "") }},
		{Name: "parsleyscale.vms", Help: "VMs listed in the store", Read: func(observe func(int64, string)) { observe(int64(v.members.count()), "") }},
		{Name: "parsleyscale.links", Help: "connections to an instance in use", Read: v.loadGauge(func(l allotter.Load) int { return l.InUse })},
		{Name: "parsleyscale.links.waiting", Help: "requests waiting for a connection to an instance", Read: v.loadGauge(func(l allotter.Load) int { return l.Waiting })},
		{Name: "parsleyscale.links.limit", Help: "limit of the connections to an instance in use", Read: v.loadGauge(func(l allotter.Load) int { return l.MaxInUse })},
		{Name: "parsleyscale.links.open", Help: "open connections to an instance, or to gateways of it", Read: v.loadGauge(func(l allotter.Load) int { return l.Open })},
		{Name: "parsleyscale.links.closed_for_team", Help: "idle connections to an instance closed to open one for another team since the VM started", Read: v.statsGauge(func(s allotter.Stats) uint64 { return s.ClosedForOthers })},
		{Name: "parsleyscale.links.opened", Help: "connections to an instance opened since the VM started", Read: v.statsGauge(func(s allotter.Stats) uint64 { return s.Opened })},
		{Name: "parsleyscale.links.refused", Help: "connections that an instance refused since the VM started", Read: v.statsGauge(func(s allotter.Stats) uint64 { return s.Refused })},
		{Name: "parsleyscale.pace.limit", Help: "limit of the connections in use at an instance that has started or recovered, while it is ramped up", Read: v.readPaceLimits},
		{Name: "parsleyscale.instances.silent", Help: "1 for an instance that this VM excludes because it does not answer the statements that it has", Read: v.excludedGauge(pacer.Silent)},
		{Name: "parsleyscale.instances.unanswered", Help: "1 for an instance that this VM excludes because it has not answered since a failure", Read: v.excludedGauge(pacer.Unanswered)},
		{Name: "parsleyscale.instances.failing", Help: "1 for an instance that this VM excludes because it fails more statements than its peers", Read: v.excludedGauge(pacer.Failing)},
		{Name: "parsleyscale.team.shards_held", Help: "shards of the teams' limits that this VM holds", Read: v.readShardsHeld},
		{Name: "parsleyscale.store.era", Help: "era of the store, which rises with each restore from an older copy; 0: no restore since the VM started", Read: func(observe func(int64, string)) { observe(v.storeEra.Load(), "") }},
		{Name: "parsleyscale.registry.outdated", Help: "registry entries of a restored store that are not used until the instance writes again", Read: func(observe func(int64, string)) { observe(v.outdatedEntries.Load(), "") }},
		{Name: "parsleyscale.floor.age", Help: "milliseconds since the primary of a group last proved its role, by group", Read: v.readPrimaryProofAges},
	}, v.budgetGauges()...)
}

// loadGauge returns a gauge function that reports f of the connection pool's load for each instance.
func (v *VM) loadGauge(f func(allotter.Load) int) func(func(int64, string)) {
	return func(observe func(int64, string)) {
		for id, l := range v.pool.Loads() {
			observe(int64(f(l)), id)
		}
	}
}

// statsGauge returns a gauge function that reports f of the connection pool's statistics for each instance.
func (v *VM) statsGauge(f func(allotter.Stats) uint64) func(func(int64, string)) {
	return func(observe func(int64, string)) {
		for id, s := range v.pool.Stats() {
			observe(int64(f(s)), id)
		}
	}
}

func (v *VM) readPrimaryProofAges(observe func(int64, string)) {
	for _, g := range v.groups.Groups() {
		if age, ok := g.ProofAge(); ok {
			observe(age.Milliseconds(), g.Name())
		}
	}
}

// recordReplacement logs and counts an event of the replacer, and adds the outcome of a promotion to the audit log.
func (v *VM) recordReplacement(e replacer.Event) {
	v.countReplacement(e)
	if e.Name == replacer.EventPromoteSettled {
		v.auditPromote(e)
	}
	name, ok := replacementEvents[e.Name]
	if !ok {
		return
	}
	write := v.log.Info
	if e.Err != nil || isDecisive(e.Name) {
		write = v.log.Warn
	}
	write(name, replacementFields(e)...)
}

// isDecisive reports whether an event shows a change of primary, or a command that has failed to prepare one.
func isDecisive(event string) bool {
	switch event {
	case replacer.EventReplacementBegun, replacer.EventPromoteRequested, replacer.EventReplaced, replacer.EventNotInEffect:
		return true
	}
	return false
}

// countReplacement counts the outcome of a replacement or of one of its attempts, a promote request, or a command that is not
// in effect.
func (v *VM) countReplacement(e replacer.Event) {
	outcome := "done"
	if e.Err != nil {
		outcome = string(classifier.KindOf(e.Err))
	}
	switch e.Name {
	case replacer.EventReplaced, replacer.EventFailed:
		v.meter.Replacement(string(e.Reason), outcome)
	case replacer.EventPromoteRequested:
		if e.Basis != nil {
			v.meter.PromoteRequest(tokenKind(*e.Basis), outcome)
		}
	case replacer.EventNotInEffect:
		v.meter.CommandNotInEffect(string(e.Command))
	}
}

// replacementFields returns the fields that an event of a replacement has.
func replacementFields(e replacer.Event) []logger.Field {
	fields := []logger.Field{logger.String("group", e.Group), logger.String("instance", e.Instance)}
	if e.Reason != "" {
		fields = append(fields, logger.String("reason", string(e.Reason)))
	}
	if e.Term != 0 {
		fields = append(fields, logger.Int("oldTerm", int64(e.Term)))
	}
	if e.Token != 0 {
		fields = append(fields, logger.Int("token", int64(e.Token)))
	}
	fields = append(fields, statusFields(e)...)
	if e.Basis != nil {
		fields = append(fields, basisFields(*e.Basis)...)
	}
	if e.Name == replacer.EventTermSealed {
		fields = append(fields, reportFields(e.Report)...)
	}
	if e.Took != 0 {
		fields = append(fields, logger.Millis("took", e.Took))
	}
	if e.Err != nil {
		fields = append(fields, logger.Err(e.Err))
	}
	return fields
}

// statusFields returns the fields of the command of an event and of its answer.
func statusFields(e replacer.Event) []logger.Field {
	var fields []logger.Field
	if e.Command != "" {
		fields = append(fields, logger.String("command", string(e.Command)))
	}
	if e.Via != "" {
		fields = append(fields, logger.String("via", e.Via))
	}
	switch {
	case e.Command != "" && e.Err == nil:
		fields = append(fields, logger.String("role", roleOf(e.Status)), logger.Int("term", int64(e.Status.Term)), logger.Int("heldTerm", int64(e.Status.HoldTerm)), logger.String("received", e.Status.Received.String()))
	case !e.Status.Received.IsZero():
		fields = append(fields, logger.String("received", e.Status.Received.String()))
	}
	return fields
}

// reportFields returns the fields that describe what VMs have reported.
func reportFields(r registrar.Report) []logger.Field {
	var fields []logger.Field
	if !r.PassedOn.IsZero() {
		fields = append(fields, logger.String("passedOn", r.PassedOn.String()), logger.String("areAllTold", strconv.FormatBool(r.IsComplete)))
	}
	if floor := r.WithoutHolds().DepartureFloor; !floor.IsZero() {
		fields = append(fields, logger.String("departureFloor", floor.String()), logger.Int("silentReplicas", int64(len(r.SilentFloors))))
	}
	if len(r.Missing) > 0 {
		fields = append(fields, logger.String("missing", strings.Join(r.Missing, " ")))
	}
	return fields
}

// basisFields returns the fields that describe what the choice of an instance is based on.
func basisFields(b replacer.Basis) []logger.Field {
	fields := []logger.Field{logger.String("tokenKind", tokenKind(b)), logger.String("endedBy", string(b.EndedBy))}
	if b.Via != "" {
		fields = append(fields, logger.String("via", b.Via))
	}
	fields = append(fields, logger.String("received", b.Received.String()), logger.Int("known", int64(b.Known)), logger.Int("unanswered", int64(b.Unanswered)), logger.Int("unsealed", int64(b.Unsealed)), logger.Int("candidates", int64(b.Candidates)))
	if !b.Demoted.IsZero() {
		fields = append(fields, logger.String("demoted", b.Demoted.String()))
	}
	if b.EarlierChoice != "" {
		fields = append(fields, logger.String("earlierChoice", b.EarlierChoice))
	}
	if len(b.OpenOrders) > 0 {
		fields = append(fields, logger.Int("openOrders", int64(len(b.OpenOrders))))
	}
	if b.RegistryVersion != 0 {
		fields = append(fields, logger.Int("registryVersion", int64(follower.NumberOf(b.RegistryVersion))), logger.Millis("registryAge", b.RegistryAge))
	}
	if b.HasDeparture {
		floor := "unknown"
		if !b.DepartureFloor.IsZero() {
			floor = b.DepartureFloor.String()
		}
		fields = append(fields, logger.String("departureFloor", floor), logger.Int("silentReplicas", int64(b.SilentReplicas)))
	}
	if b.IsDepartureAssumed {
		fields = append(fields, logger.String("assumedFloor", b.AssumedFloor.String()))
	}
	return fields
}

func tokenKind(b replacer.Basis) string {
	if b.IsSpare {
		return "spare"
	}
	return "claim"
}

func roleOf(s carrier.InstanceStatus) string {
	if s.IsPrimary {
		return "primary"
	}
	return "replica"
}

// logPrimaryChange logs that an instance has become known as a primary, or that it is no longer.
func (v *VM) logPrimaryChange(c registrar.PrimaryChange) {
	fields := []logger.Field{logger.String("group", c.Group), logger.String("instance", c.Instance), logger.Int("term", int64(c.Term))}
	if c.LastTerm != 0 {
		fields = append(fields, logger.Int("lastTerm", int64(c.LastTerm)))
	}
	if c.Reason != "" {
		v.log.Info(logger.PrimaryUnknown, append(fields, logger.String("reason", string(c.Reason)))...)
		return
	}
	fields = append(fields, logger.String("reached", c.Position.String()))
	if !c.PassedOn.IsZero() {
		fields = append(fields, logger.String("passedOn", c.PassedOn.String()), logger.Millis("passedOnAgo", c.PassedOnAgo))
	}
	v.log.Info(logger.PrimaryKnown, fields...)
	if c.LacksEntries() {
		v.log.Warn(logger.PrimaryLacksEntries, fields...)
		v.meter.LackingPrimary(c.Group)
	}
}

// replacementEvents maps the replacer's events to log events. Events that are not in it are not logged.
var replacementEvents = map[string]logger.Event{
	replacer.EventReplacementBegun: logger.ReplacementBegun,
	replacer.EventHeld:             logger.ReplicaHeld,
	replacer.EventDemoted:          logger.PrimaryDemoted,
	replacer.EventNotInEffect:      logger.NotInEffect,
	replacer.EventTermSealed:       logger.TermSealed,
	replacer.EventRosterApplied:    logger.RosterApplied,
	replacer.EventPromoteRequested: logger.PromoteOrdered,
	replacer.EventReplaced:         logger.PrimaryReplaced,
	replacer.EventFailed:           logger.PromotionFailed,
}
