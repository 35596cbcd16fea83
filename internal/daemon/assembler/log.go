package assembler

import (
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/replacer"
	"parsleyscale/internal/statement/carrier"
	"parsleyscale/internal/statement/performer"
	"parsleyscale/internal/telemetry/logger"
)

// isRefusal reports whether an instance answered a dial, if only to refuse it.
func isRefusal(err error) bool {
	switch classifier.KindOf(err) {
	case classifier.TooManyConnections, classifier.Overloaded, classifier.AuthenticationFailed:
		return true
	}
	return false
}

func (v *VM) logDial(t carrier.Target, err error) {
	v.log.Warn(logger.DialFailed, logger.String("group", t.Group), logger.String("instance", t.Instance), logger.String("address", t.Address), logger.Err(err))
}

func (v *VM) logStore(table string, err error) {
	if err == nil {
		v.log.Info(logger.StoreBack, logger.String("table", table))
		return
	}
	v.log.Warn(logger.StoreFault, logger.String("table", table), logger.Err(err))
}

func (v *VM) logStatement(e performer.Event) {
	if e.Name == performer.EventServed {
		return
	}
	name := logger.StatementRepeated
	switch e.Name {
	case performer.EventRefused:
		name = logger.StatementRefused
	case performer.EventUnknown:
		name = logger.OutcomeUnknown
	}
	v.log.Warn(name, logger.String("id", e.ID), logger.String("group", e.Group), logger.String("instance", e.Instance), logger.String("kind", string(e.Kind)),
		logger.String("floor", e.Floor.String()), logger.Int("attempt", int64(e.Attempt)), logger.Millis("took", e.Took))
}

func (v *VM) logReplacement(e replacer.Event) {
	name, ok := replacements[e.Name]
	if !ok {
		return
	}
	fields := []logger.Field{
		logger.String("group", e.Group), logger.String("instance", e.Instance), logger.String("reason", string(e.Reason)),
		logger.Int("token", int64(e.Token)), logger.String("received", e.Status.Received.String()), logger.Millis("took", e.Took),
	}
	if e.Err != nil {
		v.log.Warn(name, append(fields, logger.Err(e.Err))...)
		return
	}
	v.log.Info(name, fields...)
}

var replacements = map[string]logger.Event{
	replacer.EventBegun:    logger.ReplacementBegun,
	replacer.EventHeld:     logger.ReplicaHeld,
	replacer.EventDemoted:  logger.PrimaryDemoted,
	replacer.EventOrdered:  logger.PromoteOrdered,
	replacer.EventReplaced: logger.PrimaryReplaced,
	replacer.EventFailed:   logger.PromotionFailed,
}
