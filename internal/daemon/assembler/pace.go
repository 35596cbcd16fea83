package assembler

import (
	"time"

	"parsleyscale/internal/backend/allotter"
	"parsleyscale/internal/backend/pacer"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/request/ranker"
	"parsleyscale/internal/statement/carrier"
	"parsleyscale/internal/statement/performer"
	"parsleyscale/internal/telemetry/logger"
)

// avoidedProbeInterval is the time between two reads that a gateway lets pass to an instance that it avoids, to find out whether
// the fault has passed. A silent instance gets none for a while: the statements that it has show whether it answers.
const avoidedProbeInterval = 500 * time.Millisecond

// avoid returns the error with which this VM, as a gateway, refuses a read of another VM for a fault of the instance, or nil. The
// statements of all VMs pass through the gateways, so that these notice a fault after a few statements, and the other VMs need not
// wait for replies. A primary is never avoided: the read may be one that only it can serve.
func (v *VM) avoid(t carrier.Target) error {
	g := v.groups.Group(t.Group)
	view, ok := g.View(t.Instance)
	l := v.pool.Load(t)
	if !ok || g.Primary().Instance == t.Instance || !hasFault(view, l) {
		return nil
	}
	verdict := v.judge(g)[t.Instance]
	mayProbe := verdict.Fault != pacer.Silent || l.Silence >= pacer.StaleSilence
	if !verdict.IsExcluded || mayProbe && g.RecordProbe(t.Instance, avoidedProbeInterval) {
		return nil
	}
	v.log.Sample(logger.InstanceAvoided, t.Instance, logger.String("group", t.Group), logger.String("instance", t.Instance), logger.String("reason", string(verdict.Fault)))
	kind := classifier.Overloaded
	if verdict.Fault == pacer.Unanswered && l.Idle+l.InUse == 0 {
		kind = classifier.NoInstance // as when no connection could be opened; the other VM does not try the instance for a while
	}
	return classifier.New(kind, "%s is avoided for a fault: %s", t.Instance, verdict.Fault)
}

// hasFault reports whether an instance has a fault without a comparison with its peers, which can only excuse it.
func hasFault(view registrar.View, l allotter.Load) bool {
	list := ranker.Observations([]ranker.Candidate{{View: view, Load: l}})
	return pacer.Judge(list, time.Now())[0].Fault != ""
}

// judge returns the verdicts on the instances of a group by ID.
func (v *VM) judge(g *registrar.Group) map[string]pacer.Verdict {
	views := g.Views()
	list := make([]ranker.Candidate, len(views))
	for k, view := range views {
		list[k] = ranker.Candidate{View: view, Load: v.pool.Load(registrar.NewTarget(view.Instance))}
	}
	verdicts := make(map[string]pacer.Verdict, len(list))
	for _, verdict := range pacer.Judge(ranker.Observations(list), time.Now()) {
		verdicts[verdict.ID] = verdict
	}
	return verdicts
}

// recordForwardedOutcome records the outcome of a statement that this VM has passed on for another one.
func (v *VM) recordForwardedOutcome(t carrier.Target, r carrier.Reply, err error) {
	v.groups.Group(t.Group).RecordOutcome(t.Instance, err == nil && performer.IsExecuted(r))
}

// logRamp logs that an instance that has started or recovered gets a lower share of the load for a while.
func (v *VM) logRamp(t carrier.Target, reason pacer.Reason) {
	v.log.Sample(logger.RampBegun, t.Instance, logger.String("group", t.Group), logger.String("instance", t.Instance), logger.String("reason", string(reason)))
}

// excludedGauge returns a gauge function that reports 1 for each instance that this VM excludes for a fault.
func (v *VM) excludedGauge(f pacer.Fault) func(func(int64, string)) {
	return func(observe func(int64, string)) {
		for _, g := range v.groups.Groups() {
			for id, verdict := range v.judge(g) {
				if verdict.IsExcluded && verdict.Fault == f {
					observe(1, id)
				}
			}
		}
	}
}

// readPaceLimits is the gauge of the limits that are lowered by a ramp, by instance.
func (v *VM) readPaceLimits(observe func(int64, string)) {
	for id, l := range v.pool.Loads() {
		if l.Ramp != "" {
			observe(int64(l.MaxInUse), id)
		}
	}
}
