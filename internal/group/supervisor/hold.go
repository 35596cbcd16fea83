package supervisor

import (
	"context"
	"time"

	"parsleyscale/internal/group/promoter"
	"parsleyscale/internal/group/sampler"
)

// heldAfter is the wait from which on a hold was in force.
const heldAfter = time.Millisecond

// hold lets the executor of a group wait for the end of a planned switch.
type hold struct {
	holder  *promoter.Holder
	sampler *sampler.Sampler
}

// Wait blocks while new write units are held.
func (h hold) Wait(ctx context.Context) error {
	if err := h.await(ctx); err != nil {
		return err
	}
	h.holder.Done()
	return nil
}

// Begin counts a running write unit. A hold that began after Wait delays it, for
// at most promoter.HoldTime.
func (h hold) Begin() { _ = h.await(context.Background()) }

// End ends a running write unit.
func (h hold) End() { h.holder.Done() }

// await counts a running unit once there is no hold. After a hold it waits for a
// new round, because the view may still show the old primary.
func (h hold) await(ctx context.Context) error {
	start := time.Now()
	if err := h.holder.Wait(ctx); err != nil {
		return err
	}
	if time.Since(start) < heldAfter {
		return nil
	}
	limit, cancel := context.WithTimeout(ctx, promoter.HoldTime)
	defer cancel()
	_, _ = h.sampler.Next(limit)
	return nil
}
