package assembler

import (
	"context"
	"time"

	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/team/authenticator"
	"parsleyscale/internal/telemetry/logger"
)

// authentication returns the rule by which callers are identified.
func (v *VM) authentication() authenticator.Rule {
	return authenticator.Rule{FailClosed: v.cfg.FailClosed, KeyRevocation: v.cfg.KeyRevocation.Std()}
}

// recordSourceAnswer records that the store, a reader or another VM has answered, so that this VM would have learned of a
// newer configuration.
func (v *VM) recordSourceAnswer() { v.sourceAnswerAt.Store(int64(v.platform.Clock())) }

// silentFor returns the time since the store or another VM last answered, or since the start of the VM if none has. It
// includes the time during which the VM was suspended.
func (v *VM) silentFor() time.Duration {
	return v.platform.Clock() - time.Duration(v.sourceAnswerAt.Load())
}

// refusesAll reports whether the VM refuses the operations of all callers because it is without a source.
func (v *VM) refusesAll() bool {
	return v.configuration.Load().HasTeams() && v.authentication().IsCutOff(v.silentFor())
}

// isConfigurationOverdue reports whether neither the store nor a reader has confirmed the configuration for a while, so that
// another VM must be found soon that knows of a removed key. The answer of one VM does not suffice: it may lack it too.
func (v *VM) isConfigurationOverdue() bool {
	return v.configuration.Load().HasTeams() && time.Since(v.followers[0].AnsweredAt()) > readerSilenceTimeout
}

// maxTeamWait returns the longest wait of a call for changes of a configuration with teams. The store may drop a waiting call
// in an outage, so that a removed key is noticed only after the wait and the call's time-out of a second, with the next call.
// All of it must fit into the time for the removal.
func (v *VM) maxTeamWait() time.Duration { return v.cfg.KeyRevocation.Std() / 3 }

// notifyTeamsChanged makes closeRemovedSessions look at the configuration that has come into force.
func (v *VM) notifyTeamsChanged() {
	select {
	case v.teamsChanged <- struct{}{}:
	default: // it has not looked yet since an earlier change
	}
}

// closeRemovedSessions closes the idle sessions whose key is removed by a change of the configuration, until ctx ends.
func (v *VM) closeRemovedSessions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.teamsChanged:
			v.sessionServer.CloseRemoved()
		}
	}
}

// logTeams logs the teams of a configuration that has come into force, and its unreadable parts.
func (v *VM) logTeams(c *cataloger.Configuration) {
	for _, fault := range c.Faults {
		v.log.Warn(logger.SheetFault, logger.Int("version", int64(c.Version)), logger.String("error", fault))
	}
	if c.HasTeams() {
		v.log.Info(logger.TeamsInForce, logger.Int("version", int64(c.Version)), logger.Int("teams", int64(len(c.Teams))), logger.Int("keys", int64(c.KeyCount())))
	}
}

func (v *VM) recordTeamRefusal(r authenticator.Reason, database string) {
	v.meter.TeamRefusal(string(r))
	v.log.Sample(logger.TeamRefused, string(r), logger.String("reason", string(r)), logger.String("database", database))
}
