package confirmer

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/carrier"
)

func at(index uint64) tokenizer.Position { return tokenizer.Position{Term: 1, Index: index} }

// Guards against a group that waits for its failed primary although the replicas hold all commits: while a replica may be missing, a VM
// required the position at the latest acknowledgement, which lies beyond the commit.
func TestAcknowledge(t *testing.T) {
	for _, c := range []struct {
		name         string
		receivedAt   time.Duration // when a replica has received the log up to the position
		primaryFails bool
		wantFor      time.Duration // for which the acknowledgement waits
		wantPassedOn bool
		wantFloor    tokenizer.Position // that a new primary must hold afterwards
	}{
		{"a replica has received the commit", 0, false, askInterval, true, at(5)},
		{"a replica receives the commit soon", 11 * time.Millisecond, false, 7 * askInterval, true, at(5)},
		{"no replica receives the commit, and the primary leads", time.Hour, false, receiptTimeout, true, at(8)},
		{"no replica receives the commit, and the primary fails", time.Hour, true, receiptTimeout, false, at(5)},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				r := registrar.New(func() time.Duration { return time.Since(start) })
				r.AssumeDepartures()
				r.Update(cataloger.Registry{
					"a": {ID: "a", Group: "g", Address: "127.0.0.1:1", IsPrimary: true},
					"b": {ID: "b", Group: "g", Address: "127.0.0.1:2"},
				})
				g := r.Group("g")
				g.RecordProof(registrar.Proof{Instance: "a", SentAt: g.Now(), Position: at(5)})
				confirmer := New(Config{
					Status: func(_ context.Context, target carrier.Target) (carrier.InstanceStatus, error) {
						if target.Instance != "b" {
							t.Errorf("asks %s for what it has received", target.Instance)
						}
						if time.Since(start) >= c.receivedAt {
							return carrier.InstanceStatus{Term: 1, Received: at(8)}, nil
						}
						return carrier.InstanceStatus{Term: 1, Received: at(7)}, nil
					},
					Sample: func(context.Context, *registrar.Group) error {
						if c.primaryFails {
							return errors.New("no answer")
						}
						return nil
					},
				})
				if got := confirmer.Acknowledge(g, at(8)); got != c.wantPassedOn {
					t.Errorf("passed on: %t, want %t", got, c.wantPassedOn)
				}
				if got := time.Since(start); got != c.wantFor {
					t.Errorf("waits for %v, want %v", got, c.wantFor)
				}
				below := c.wantFloor
				below.Index--
				if g.IsCoveredDespiteDepartures(below, true) || !g.IsCoveredDespiteDepartures(c.wantFloor, true) {
					t.Errorf("want covered by a replica that holds %s, and by no other", c.wantFloor)
				}
				synctest.Wait()
			})
		})
	}
}

// Guards against a group whose replicas receive nothing, and each of whose commits waits.
func TestAcknowledgementsWaitOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		r := registrar.New(func() time.Duration { return time.Since(start) })
		r.AssumeDepartures()
		r.Update(cataloger.Registry{"a": {ID: "a", Group: "g", Address: "127.0.0.1:1", IsPrimary: true}})
		g := r.Group("g")
		confirmer := New(Config{Sample: func(context.Context, *registrar.Group) error { return nil }})
		for n := range uint64(100) {
			confirmer.Acknowledge(g, at(n))
		}
		if got := time.Since(start); got != receiptTimeout {
			t.Errorf("100 acknowledgements took %v, want %v", got, receiptTimeout)
		}
		time.Sleep(pauseTime)
		confirmer.Acknowledge(g, at(100))
		if got := time.Since(start); got != 2*receiptTimeout+pauseTime {
			t.Errorf("the acknowledgement after the pause came after %v, want %v", got, 2*receiptTimeout+pauseTime)
		}
	})
}
