package assembler

import (
	"context"
	"math/rand/v2"
	"time"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/group/replacer"
	"parsleyscale/internal/platform/follower"
	"parsleyscale/internal/platform/reconciler"
	"parsleyscale/internal/platform/replicator"
	"parsleyscale/internal/telemetry/logger"
)

const (
	// lossWindow is how long before a restore what a VM has written may be lost. A copy is some seconds old; the rest covers the outage
	// of the store and the time until the VM learns of the restore.
	lossWindow = time.Minute
	// rewriteJitter is the longest time after which a VM writes its own row again, so that not all VMs call the store at once.
	rewriteJitter = 2 * time.Second
	// startAskTimeout bounds how long a VM that starts asks other VMs before it uses the configuration of the store.
	startAskTimeout = 250 * time.Millisecond
)

// handleRestore is called when the store is in a new era: it was restored from an older copy. What this VM has written shortly before
// is written again in this order: its claims, as soon as a replacement needs them, before any promote request; its row in the list of
// VMs; its entries of the audit trail. Readers write the summaries again when they see the restored list.
func (v *VM) handleRestore(era uint64) {
	v.recordRestore(era)
	v.seenRestoreAt.Store(v.restoredAt.Load())
	go v.writeAgain(context.Background())
}

// recordRestore records that the store was restored a short time ago.
func (v *VM) recordRestore(era uint64) {
	v.storeEra.Store(int64(era))
	now := time.Now()
	v.restoredAt.Store(&now)
	v.log.Warn(logger.StoreRestored, logger.Int("era", int64(era)))
	v.claims.RecordRestore(era)
	v.members.recordRestore()
}

// recentRestoreAge is how long after a restore other VMs that start are told of it. It covers the time in which a choice may be lost.
const recentRestoreAge = 10 * time.Second

// recentRestore returns the era of the store if this VM has seen a short time ago that it was restored, and 0 otherwise. What it was
// told at its start doesn't count, so that VMs that start one after the other don't pass it on for ever.
func (v *VM) recentRestore() uint64 {
	if at := v.seenRestoreAt.Load(); at == nil || time.Since(*at) > recentRestoreAge {
		return 0
	}
	return uint64(v.storeEra.Load())
}

// isRegistryComplete reports whether the instances have had the time to write their registry entries again since the store was restored.
func (v *VM) isRegistryComplete() bool {
	at := v.restoredAt.Load()
	return at == nil || time.Since(*at) >= replacer.EntriesBackTime
}

// writeAgain writes again what the restored store may have lost.
func (v *VM) writeAgain(ctx context.Context) {
	if !sleeper.Sleep(ctx, rand.N(rewriteJitter)) {
		return
	}
	for v.members.writeAgain(ctx) != nil && sleeper.Sleep(ctx, rewriteJitter/2+rand.N(rewriteJitter)) {
	}
	v.auditor.WriteAgain(lossWindow)
}

// exchange tells other VMs which version of the configuration is in force here, and puts a later one of theirs in force.
func (v *VM) exchange() replicator.Exchange {
	return replicator.Exchange{Table: v.platform.ConfigurationTable, Version: v.configurationVersion, OnRow: func(r follower.Row) {
		v.applyConfiguration([]follower.Row{r}, 0)
	}}
}

func (v *VM) configurationVersion() uint64 {
	if c := v.configuration.Load(); c != nil {
		return c.Version
	}
	return 0
}

// replaceConfiguration puts the configuration of a whole table into force. A VM that starts while the store is in a later era than
// the first one asks other VMs before: the store may have been restored just now, from a copy with an earlier configuration.
func (v *VM) replaceConfiguration(rows []follower.Row, version uint64) {
	if v.configuration.Load() == nil && follower.EraOf(version) > 0 {
		e := v.exchange()
		read := v.versionIn(rows)
		e.OnRestore = v.recordRestore
		e.Version = func() uint64 { return max(read, v.configurationVersion()) }
		e.Ask(context.Background(), replicator.NewClient(), v.members.peerAddresses(), version, startAskTimeout)
	}
	v.applyConfiguration(rows, version)
}

// versionIn returns the operator's version of the configuration in rows, or 0 if there is none.
func (v *VM) versionIn(rows []follower.Row) uint64 {
	for _, r := range rows {
		if r.Key == v.platform.ConfigurationKey {
			if c, err := v.platform.ParseConfiguration(r.Value); err == nil {
				return c.Version
			}
		}
	}
	return 0
}

// entries parses rows of the registry. An entry that cannot be parsed counts as removed.
func (v *VM) entries(rows []follower.Row) []reconciler.Entry {
	list := make([]reconciler.Entry, 0, len(rows))
	for _, r := range rows {
		e := reconciler.Entry{ID: r.Key, Version: r.Version}
		if !r.IsRemoved {
			i, err := v.platform.ParseEntry(r.Key, r.Value)
			if err != nil {
				v.log.Warn(logger.EntryFault, logger.String("instance", r.Key), logger.Err(err))
				e.IsUnusable = true
			} else {
				e.Instance = &i
			}
		}
		list = append(list, e)
	}
	return list
}

// updateRegistry puts a state of the registry into force.
func (v *VM) updateRegistry(r reconciler.Registry) {
	if n := r.OutdatedCount(); n != v.registry.OutdatedCount() {
		v.outdatedEntries.Store(int64(n))
		v.log.Info(logger.EntriesOutdated, logger.Int("entries", int64(n)))
	}
	v.registry = r
	v.groups.Update(r.Instances())
}
