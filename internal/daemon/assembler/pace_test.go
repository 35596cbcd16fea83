package assembler

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/backend/allotter"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/carrier"
	"parsleyscale/internal/telemetry/logger"
)

// Guards against a gateway that lets all reads wait for an instance that fails, against one that sends more than one probe at a time, that
// avoids a primary, or that avoids all instances of a group.
func TestGatewayAvoidsFaultyInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		v := &VM{groups: registrar.New(func() time.Duration { return time.Since(start) }), log: logger.New(io.Discard, "vm")}
		v.pool = allotter.New(allotter.Config{Limits: func(carrier.Target) allotter.Limits { return allotter.Limits{Open: 1} }})
		defer v.pool.Close()
		registry := cataloger.Registry{}
		for _, id := range []string{"p", "r1", "r2"} {
			registry[id] = cataloger.Instance{ID: id, Group: "g", IsPrimary: id == "p"}
		}
		v.groups.Update(registry)
		target := func(id string) carrier.Target { return carrier.Target{Instance: id, Group: "g"} }
		record := func(id string, kind classifier.Kind, n int) {
			for range n {
				v.recordForwardedOutcome(target(id), carrier.Reply{Kind: kind}, nil)
			}
		}
		passes := func(id string, n int) (passed int) {
			for range n {
				if v.avoid(target(id)) == nil {
					passed++
				}
			}
			return passed
		}
		record("r1", "", 20)
		record("r2", "", 20)
		if n := passes("r1", 10); n != 10 {
			t.Errorf("%d of 10 reads pass to an instance without a fault, want all", n)
		}
		record("r1", classifier.StatementFailed, 10)
		if n := passes("r1", 10); n != 1 {
			t.Errorf("%d of 10 reads pass to an instance that fails a third of them, want one probe", n)
		}
		record("p", classifier.StatementFailed, 10)
		if n := passes("p", 10); n != 10 {
			t.Errorf("%d of 10 reads pass to a primary, want all", n)
		}
		record("r2", classifier.StatementFailed, 10)
		if n := passes("r1", 10) + passes("r2", 10); n != 20 {
			t.Errorf("%d of 20 reads pass while all instances fail, want all", n)
		}
	})
}
