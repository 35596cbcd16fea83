package confirmer

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/carrier"
)

func at(index uint64) tokenizer.Position { return tokenizer.Position{Term: 1, Index: index} }

// newGroup returns a group that assumes a departure, with the primary a and the replica b, and the clock that it uses.
func newGroup() *registrar.Group {
	start := time.Now()
	r := registrar.New(func() time.Duration { return time.Since(start) })
	r.AssumeDepartures()
	r.Update(cataloger.Registry{
		"a": {ID: "a", Group: "g", Address: "127.0.0.1:1", IsPrimary: true},
		"b": {ID: "b", Group: "g", Address: "127.0.0.1:2"},
	})
	g := r.Group("g")
	g.RecordProof(registrar.Proof{Instance: "a", SentAt: g.Now(), Position: at(5)})
	return g
}

// receivesAt returns a Config with the replica b, which has received the position 7, and 8 after a time.
func receivesAt(t *testing.T, after time.Duration) Config {
	start := time.Now()
	return Config{Status: func(_ context.Context, target carrier.Target) (carrier.InstanceStatus, error) {
		if target.Instance != "b" {
			t.Errorf("asks %s for what it has received", target.Instance)
		}
		if time.Since(start) >= after {
			return carrier.InstanceStatus{Term: 1, Received: at(8)}, nil
		}
		return carrier.InstanceStatus{Term: 1, Received: at(7)}, nil
	}}
}

// Guards against a group that waits for its failed primary although the replicas hold all commits: while a replica may be missing, a VM
// required the position at the latest acknowledgement, which lies beyond the commit.
func TestAcknowledge(t *testing.T) {
	for _, c := range []struct {
		name         string
		receivedAt   time.Duration // when a replica has received the log up to the position
		others       time.Duration // when another acknowledgement comes; zero: none
		wantFor      time.Duration // for which the acknowledgement waits
		orEarlier    time.Duration // by which it may end before, if the second request and a look fall on the same instant
		wantPassedOn bool
		wantFloor    tokenizer.Position // that a new primary must hold afterwards
	}{
		{"a replica has received the commit", 0, 0, checkInterval, 0, true, at(5)},
		{"a replica receives the commit soon", 3 * time.Millisecond, 0, askInterval + 2*checkInterval, checkInterval, true, at(5)},
		{"no known replica receives the commit, and the primary goes on", time.Hour, receiptTimeout - time.Millisecond, receiptTimeout, 0, true, at(8)},
		{"no known replica receives the commit, and others came at the same time", time.Hour, time.Millisecond, receiptTimeout, 0, false, at(5)},
		{"no known replica receives the commit, and no others come", time.Hour, 0, receiptTimeout, 0, false, at(5)},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, start := newGroup(), time.Now()
				confirmer := New(receivesAt(t, c.receivedAt))
				defer confirmer.Close()
				if c.others > 0 {
					time.AfterFunc(c.others, func() { confirmer.Acknowledge(g, at(5)) })
				}
				if got := confirmer.Acknowledge(g, at(8)); got != c.wantPassedOn {
					t.Errorf("passed on: %t, want %t", got, c.wantPassedOn)
				}
				if got := time.Since(start); got != c.wantFor && got != c.wantFor-c.orEarlier {
					t.Errorf("waits for %v, want %v, or %v less", got, c.wantFor, c.orEarlier)
				}
				below := c.wantFloor
				below.Index--
				if g.IsCoveredDespiteDepartures(below, true, nil) || !g.IsCoveredDespiteDepartures(c.wantFloor, true, nil) {
					t.Errorf("want covered by a replica that holds %s, and by no other", c.wantFloor)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against commits that all wait, or none of which is acknowledged, while only a replica that is not known receives them.
func TestAcknowledgementsWaitOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, start := newGroup(), time.Now()
		confirmer := New(receivesAt(t, time.Hour))
		defer confirmer.Close()
		var passedOn []bool
		for range 100 {
			passedOn = append(passedOn, confirmer.Acknowledge(g, at(9)))
		}
		if passedOn[0] || slices.Contains(passedOn[1:], false) {
			t.Errorf("passed on: %v, want all but the first", passedOn)
		}
		if got := time.Since(start); got != 2*receiptTimeout {
			t.Errorf("100 acknowledgements took %v, want %v", got, 2*receiptTimeout)
		}
		time.Sleep(pauseTime)
		if !confirmer.Acknowledge(g, at(9)) {
			t.Error("not passed on after the pause")
		}
		if got := time.Since(start); got != 3*receiptTimeout+pauseTime {
			t.Errorf("the acknowledgement after the pause came after %v, want %v", got, 3*receiptTimeout+pauseTime)
		}
	})
}

// Guards against an acknowledgement or a request that outlives the VM.
func TestClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, start := newGroup(), time.Now()
		confirmer := New(Config{Status: func(ctx context.Context, _ carrier.Target) (carrier.InstanceStatus, error) {
			<-ctx.Done()
			return carrier.InstanceStatus{}, ctx.Err()
		}})
		time.AfterFunc(time.Millisecond, confirmer.Close)
		if confirmer.Acknowledge(g, at(8)) || time.Since(start) != time.Millisecond {
			t.Errorf("passed on, or not refused at the end but %v later", time.Since(start)-time.Millisecond)
		}
	})
}
