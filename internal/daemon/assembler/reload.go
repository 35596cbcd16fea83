package assembler

import (
	"context"

	"parsleyscale/internal/config/loader"
	"parsleyscale/internal/telemetry/logger"
)

// Reload is a source of new settings.
type Reload struct {
	Signal <-chan struct{}
	Load   func() (loader.LineSettings, error)
}

// watchSettings takes over changed settings until ctx ends. Settings that fail a check change nothing.
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
		v.limits.Store(&cfg)
		v.log.Info(logger.SettingsInForce, logger.Millis("stopGrace", cfg.StopGrace.Std()), logger.Millis("stopNotice", cfg.StopNotice.Std()))
	}
}
