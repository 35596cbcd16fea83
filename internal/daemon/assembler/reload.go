package assembler

import (
	"context"

	"parsleyscale/internal/config/loader"
	"parsleyscale/internal/telemetry/logger"
)

// Reload tells a VM when its settings have changed, and loads them.
type Reload struct {
	Signal <-chan struct{}
	Load   func() (loader.LineSettings, error)
}

// watchSettings reloads the settings on each signal until ctx ends. If they are not valid, the previous settings stay
// in force.
func (v *VM) watchSettings(ctx context.Context, r Reload) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Signal:
		}
		cfg, err := r.Load()
		if err != nil {
			v.log.Warn(logger.SettingsFault, logger.Err(err))
			continue
		}
		v.latestSettings.Store(&cfg)
		v.log.Info(logger.SettingsInForce, logger.Millis("stopGrace", cfg.StopGrace.Std()), logger.Millis("stopNotice", cfg.StopNotice.Std()))
	}
}
