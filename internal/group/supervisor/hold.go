package supervisor

import (
	"context"

	"parsleyscale/internal/group/promoter"
)

// hold lets the executor of a group wait for the end of a planned switch.
type hold struct {
	holder *promoter.Holder
}

// Wait blocks while new write units are held.
func (h hold) Wait(ctx context.Context) error {
	if err := h.holder.Wait(ctx); err != nil {
		return err
	}
	h.holder.Done()
	return nil
}

// Begin counts a running write unit. A hold that began after Wait delays it, for
// at most promoter.HoldTime.
func (h hold) Begin() { _ = h.holder.Wait(context.Background()) }

// End ends a running write unit.
func (h hold) End() { h.holder.Done() }
