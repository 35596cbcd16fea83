package runner

import (
	"context"
	"time"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/member/tracker"
	"parsleyscale/internal/telemetry/logger"
)

// sourceCheckInterval is the interval at which the sources of the sheet are checked for errors.
const sourceCheckInterval = time.Second

// startWatchers starts the goroutines that log changes of the sheet, changes of the states of the VMs, and failures of
// the sheet's sources.
func (d *Daemon) startWatchers() error {
	d.watchCtx, d.cancelWatch = context.WithCancel(context.Background())
	d.watchers.Go(d.watchSheet)
	d.watchers.Go(d.watchMembers)
	d.watchers.Go(d.watchSources)
	return nil
}

// watchSheet logs each sheet that comes into force, and that the VM is ready at the first one.
func (d *Daemon) watchSheet() {
	var lastVersion uint64
	for {
		changed := d.sheets.Changed()
		if version, _, ok := d.sheets.Current(); ok && version != lastVersion {
			if lastVersion == 0 {
				d.log.Info(logger.VMReady)
			}
			d.log.Info(logger.SheetInForce, logger.Int("version", int64(version)))
			lastVersion = version
		}
		select {
		case <-d.watchCtx.Done():
			return
		case <-changed:
		}
	}
}

// watchMembers logs each VM whose state has changed.
func (d *Daemon) watchMembers() {
	states := map[string]tracker.State{}
	for {
		changed := d.members.Changed()
		for _, m := range d.members.Members() {
			if states[m.ID] != m.State {
				states[m.ID] = m.State
				d.log.Info(logger.MemberChanged, logger.String("member", m.ID), logger.String("state", string(m.State)))
			}
		}
		select {
		case <-d.watchCtx.Done():
			return
		case <-changed:
		}
	}
}

// watchSources logs the error when the sources of the sheet, which are the store and the peers, begin to fail, once for
// each outage.
func (d *Daemon) watchSources() {
	isFailing := false
	for sleeper.Sleep(d.watchCtx, sourceCheckInterval) {
		err := d.sheets.LastError()
		if err != nil && !isFailing {
			d.log.Warn(logger.SheetFault, logger.Err(err))
		}
		isFailing = err != nil
	}
}
