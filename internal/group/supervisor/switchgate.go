package supervisor

import (
	"context"
	"time"

	"parsleyscale/internal/group/promoter"
	"parsleyscale/internal/group/sampler"
)

// minHoldWait is a threshold: if BeginUnit blocks for at least minHoldWait, writes are assumed to have been on hold.
const minHoldWait = time.Millisecond

// switchGate makes the executor of a group wait for the end of a planned switchover before it runs a write unit.
type switchGate struct {
	writeGate *promoter.WriteGate
	sampler   *sampler.Sampler
}

// Wait blocks while a hold keeps new write units back. It does not count a unit as running.
func (s switchGate) Wait(ctx context.Context) error {
	if err := s.await(ctx); err != nil {
		return err
	}
	s.writeGate.EndUnit()
	return nil
}

// Begin counts a write unit as running. If a hold has begun since Wait, it first blocks until the
// hold ends, for at most promoter.HoldTime.
func (s switchGate) Begin() { _ = s.await(context.Background()) }

// End counts a write unit as finished.
func (s switchGate) End() { s.writeGate.EndUnit() }

// await blocks while there is a hold, and then counts a unit as running. After a hold it also waits for a
// new sampling round, because the view may still show the old primary.
func (s switchGate) await(ctx context.Context) error {
	start := time.Now()
	if err := s.writeGate.BeginUnit(ctx); err != nil {
		return err
	}
	if time.Since(start) < minHoldWait {
		return nil
	}
	roundCtx, cancel := context.WithTimeout(ctx, promoter.HoldTime)
	defer cancel()
	_, _ = s.sampler.NextRound(roundCtx)
	return nil
}
