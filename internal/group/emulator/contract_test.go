package emulator_test

import (
	"fmt"
	"testing"
	"time"

	"parsleyscale/internal/group/connector/contracttest"
	"parsleyscale/internal/group/emulator"
)

// TestContract guards against an emulator that behaves unlike what the proxy assumes of an instance.
func TestContract(t *testing.T) {
	contracttest.Run(t, startGroup)
}

// startGroup starts a primary and two replicas.
func startGroup(t *testing.T) [3]contracttest.Member {
	var members [3]contracttest.Member
	upstream := ""
	for i := range members {
		cfg := emulator.Config{Name: fmt.Sprintf("i%d", i), Dir: t.TempDir(), Primary: i == 0, Upstream: upstream}
		r := &running{cfg: cfg}
		r.start(t)
		if i == 0 {
			upstream = r.server.Addr()
		}
		members[i] = contracttest.Member{Address: r.server.Addr(), Restart: r.restart, SetDelays: r.setDelays}
	}
	return members
}

// running is an instance that can be restarted at its address.
type running struct {
	cfg    emulator.Config
	server *emulator.Server
}

func (r *running) start(t *testing.T) {
	t.Helper()
	s, err := emulator.Start(r.cfg)
	if err != nil {
		t.Fatal(err)
	}
	r.server, r.cfg.Listen = s, s.Addr()
	t.Cleanup(func() { s.Close() })
}

func (r *running) restart(t *testing.T) {
	t.Helper()
	if err := r.server.Close(); err != nil {
		t.Fatal(err)
	}
	r.start(t)
}

func (r *running) setDelays(receive, apply time.Duration) {
	r.server.SetReceiveDelay(receive)
	r.server.SetApplyDelay(apply)
}
