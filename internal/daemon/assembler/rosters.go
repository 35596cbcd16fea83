package assembler

import (
	"context"

	"parsleyscale/internal/group/enroller"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/telemetry/logger"
)

// startEnroller starts to keep the rosters of the groups.
func (v *VM) startEnroller() {
	v.enroller = enroller.Start(enroller.Config{
		Groups: v.groups, Store: v.platform.Store, Rank: v.members.rank, IsConfigured: v.isConfigured,
		IsReady: func() bool { return v.members.areAllRead() && v.hasRegistry.Load() && v.isRegistryComplete() },
		RegistryVersion: func() uint64 {
			version, _ := v.registryState()
			return version
		},
		Sample:  v.performer.SamplePrimaryPosition,
		OnWrite: v.logRoster,
	})
}

// roster returns the roster of a group from the store.
func (v *VM) roster(ctx context.Context, group string) (registrar.Roster, error) {
	return enroller.Read(ctx, v.platform.Store, group)
}

func (v *VM) logRoster(group string, r registrar.Roster, err error) {
	fields := []logger.Field{logger.String("group", group), logger.Int("instances", int64(len(r.Instances))), logger.String("instance", r.Primary), logger.Int("term", int64(r.Term)), logger.String("floor", r.Floor.String())}
	if err != nil {
		fields = append(fields, logger.Err(err))
	}
	v.log.Info(logger.RosterWritten, fields...)
}
