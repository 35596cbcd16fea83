package runner

import (
	"context"
	"errors"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/telemetry/logger"
)

// leaveTimeout bounds the time to announce to the peers that this VM is leaving.
const leaveTimeout = time.Second

var errStopping = classifier.New(classifier.ShuttingDown, "VM is stopping")

// Stop stops the VM gracefully: it reports not ready, tells the peers that it is leaving, gives the load balancer the
// time stopNotice to remove the VM, ends idle sessions, and waits up to stopWait for the units of work in progress.
func (d *Daemon) Stop() error {
	d.isStopping.Store(true)
	d.log.Info(logger.VMStopping, logger.Int("callers", int64(d.listener.Clients())))
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	leaveErr := d.members.Leave(ctx)
	cancel()
	time.Sleep(d.cfg.Limits.StopNotice.Std())
	ctx, cancel = context.WithTimeout(context.Background(), d.cfg.Limits.StopWait.Std())
	defer cancel()
	drainErr := errors.Join(d.listener.Drain(ctx), d.peerServer.Drain(ctx))
	closeErr := d.Close()
	d.log.Info(logger.VMStopped, logger.Err(errors.Join(leaveErr, drainErr, closeErr)))
	return errors.Join(drainErr, closeErr)
}

// Close stops all components at once and waits for them. Units of work in progress are aborted.
func (d *Daemon) Close() error {
	d.isStopping.Store(true)
	var errs []error
	if d.cancelWatch != nil {
		d.cancelWatch()
		d.watchers.Wait()
	}
	if d.listener != nil {
		errs = append(errs, d.listener.Close())
	}
	if d.peerServer != nil {
		errs = append(errs, d.peerServer.Close())
	}
	if d.groups != nil {
		d.groups.Close()
	}
	if d.sheets != nil {
		d.sheets.Close()
	}
	if d.members != nil {
		d.members.Close()
	}
	if d.platform != nil {
		d.platform.Close()
	}
	if d.peerHTTP != nil {
		d.peerHTTP.CloseIdleConnections()
	}
	if d.admin != nil {
		errs = append(errs, d.admin.close())
	}
	if d.meter != nil {
		errs = append(errs, d.meter.Close())
	}
	return errors.Join(errs...)
}
