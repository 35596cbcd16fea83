package claimer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/platform/follower"
)

// fakeStore is a Store with one table, in memory.
type fakeStore struct {
	rows        map[string]follower.Row
	version     uint64
	err         error // of every call; nil: none
	losesAnswer bool  // a write takes effect, but the call returns an error
}

func (f *fakeStore) Swap(_ context.Context, _, key string, value []byte, version uint64) (uint64, follower.Row, error) {
	if f.err != nil {
		return 0, follower.Row{}, f.err
	}
	if r := f.rows[key]; r.Version != version {
		return 0, r, classifier.New(classifier.Conflict, "key %s: present version is %d, want %d", key, r.Version, version)
	}
	f.version++
	f.rows[key] = follower.Row{Key: key, Value: value, Version: f.version}
	if f.losesAnswer {
		return 0, follower.Row{}, classifier.New(classifier.PlatformUnavailable, "answer lost")
	}
	return f.version, follower.Row{}, nil
}

// Guards against two VMs that replace a primary at the same time, tokens that do not increase, and a failed VM
// whose claim blocks the group.
func TestClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{rows: map[string]follower.Row{}}
		a, b := New(f, "vm-a", 0), New(f, "vm-b", 0)
		ctx := context.Background()
		first, err := a.Claim(ctx, "g", 1)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := b.Claim(ctx, "g", 1); !classifier.Is(err, classifier.Conflict) {
			t.Errorf("Claim of the same term by a second VM = %v, want kind conflict", err)
		}
		second, err := a.Claim(ctx, "g", 1)
		if err != nil || second.FencingToken <= first.FencingToken {
			t.Errorf("second Claim by the same VM: token %d, %v; want a token above %d", second.FencingToken, err, first.FencingToken)
		}
		if _, err := b.Claim(ctx, "g", 2); err != nil {
			t.Errorf("Claim of a later term by a second VM = %v, want nil", err)
		}
		if _, err := a.Claim(ctx, "g", 2); !classifier.Is(err, classifier.Conflict) {
			t.Errorf("Claim of a term that a second VM has claimed = %v, want kind conflict", err)
		}
		time.Sleep(claimTTL + time.Millisecond)
		if third, err := a.Claim(ctx, "g", 2); err != nil || third.FencingToken <= second.FencingToken {
			t.Errorf("Claim after the other claim expired: %v, %v; want a token above %d", third, err, second.FencingToken)
		}
	})
}

// Guards against a claim that blocks its own VM because the answer to its write was lost.
func TestClaimWithLostAnswer(t *testing.T) {
	f := &fakeStore{rows: map[string]follower.Row{}, losesAnswer: true}
	a := New(f, "vm-a", 0)
	if _, err := a.Claim(context.Background(), "g", 1); !classifier.Is(err, classifier.PlatformUnavailable) {
		t.Fatal(err)
	}
	f.losesAnswer = false
	if result, err := a.Claim(context.Background(), "g", 1); err != nil || result.FencingToken != 2 {
		t.Errorf("Claim after a lost answer: %v, %v; want token 2 of a second write", result, err)
	}
}

// Guards against two VMs that request the promotion of different instances for one term: the VM with the later claim
// must know the earlier choice, or the VM with the earlier claim must not request a promotion. Confirmed writes were
// lost when claims expired during slow attempts.
func TestRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{rows: map[string]follower.Row{}}
		a, b := New(f, "vm-a", 0), New(f, "vm-b", 0)
		ctx := context.Background()
		first, err := a.Claim(ctx, "g", 1)
		if err != nil || first.ChosenInstance != "" {
			t.Fatalf("first Claim: %+v, %v; want no choice", first, err)
		}
		token, err := a.Record(ctx, "g", 1, first.FencingToken, "i-1")
		if err != nil || token <= first.FencingToken {
			t.Fatalf("Record: token %d, %v; want a token above %d", token, err, first.FencingToken)
		}
		time.Sleep(claimTTL + time.Millisecond)
		_, _ = b.Claim(ctx, "g", 1) // b first sees the claim here, so it expires claimTTL later
		time.Sleep(claimTTL + time.Millisecond)
		second, err := b.Claim(ctx, "g", 1)
		if err != nil || second.ChosenInstance != "i-1" {
			t.Errorf("Claim after the earlier one expired: %+v, %v; want choice i-1", second, err)
		}
		if _, err := a.Record(ctx, "g", 1, token, "i-2"); !classifier.Is(err, classifier.Conflict) {
			t.Errorf("Record after a later claim of another VM = %v, want kind conflict", err)
		}
		if next, err := b.Claim(ctx, "g", 2); err != nil || next.ChosenInstance != "" {
			t.Errorf("Claim of the next term: %+v, %v; want no choice", next, err)
		}
	})
}

// Guards against a claim on a term that has ended, whose promote request would undo a replacement: a VM that had missed
// the replacement promoted the old primary again, and 89 acknowledged commits were lost.
func TestEndedTermCannotBeClaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{rows: map[string]follower.Row{}}
		a, b := New(f, "vm-a", 0), New(f, "vm-b", 0)
		if _, err := a.Claim(t.Context(), "g", 2); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Hour)
		if _, err := b.Claim(t.Context(), "g", 1); !classifier.Is(err, classifier.Conflict) {
			t.Errorf("Claim of term 1 after one of term 2 = %v, want kind conflict", err)
		}
	})
}

// Guards against a promote request that is carried out after the next replacement, where the platform does not check the
// tokens: the instance would lack the commits that were acknowledged in between.
func TestNextTermWaitsForUnansweredRequest(t *testing.T) {
	for _, c := range []struct {
		name      string
		lifetime  time.Duration
		isSettled bool
		wait      time.Duration
		wantErr   bool
	}{
		{"a request is unanswered", UnfencedRequestLifetime, false, time.Second, true},
		{"an unanswered request is too old to be carried out", UnfencedRequestLifetime, false, UnfencedRequestLifetime + time.Millisecond, false},
		{"all requests were answered", UnfencedRequestLifetime, true, 0, false},
		{"tokens are checked", 0, false, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeStore{rows: map[string]follower.Row{}}
				a, b := New(f, "vm-a", c.lifetime), New(f, "vm-b", c.lifetime)
				ctx := t.Context()
				r, err := a.Claim(ctx, "g", 1)
				if err != nil {
					t.Fatal(err)
				}
				token, err := a.Record(ctx, "g", 1, r.FencingToken, "i")
				if err != nil {
					t.Fatal(err)
				}
				if c.isSettled {
					if err := a.Settle(ctx, "g", 1, token, "i"); err != nil {
						t.Fatal(err)
					}
				}
				_, _ = b.Claim(ctx, "g", 2) // the age of the claim counts from here
				time.Sleep(c.wait)
				if _, err := b.Claim(ctx, "g", 2); (err != nil) != c.wantErr || err != nil && !classifier.Is(err, classifier.Conflict) {
					t.Errorf("Claim of the next term = %v, want a conflict: %t", err, c.wantErr)
				}
			})
		})
	}
}

// Guards against VMs that take turns to claim a term, each of which takes the claims of the others for promote requests: the number of a choice
// is that of its record, which a later claim does not raise.
func TestChoiceNumberIsThatOfRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{rows: map[string]follower.Row{}}
		a, b, c := New(f, "vm-a", 0), New(f, "vm-b", 0), New(f, "vm-c", 0)
		ctx := context.Background()
		first, err := a.Claim(ctx, "g", 1)
		if err != nil {
			t.Fatal(err)
		}
		number, err := a.Record(ctx, "g", 1, first.FencingToken, "x")
		if err != nil {
			t.Fatal(err)
		}
		for _, vm := range []*Claimer{b, c, b, c} {
			_, _ = vm.Claim(ctx, "g", 1) // it sees the claim before, which then expires
			time.Sleep(claimTTL + time.Millisecond)
			r, err := vm.Claim(ctx, "g", 1)
			if err != nil || r.ChosenInstance != "x" || r.ChoiceNumber != number {
				t.Errorf("Claim by %s = choice %s with number %d, %v; want x with %d", vm.self, r.ChosenInstance, r.ChoiceNumber, err, number)
			}
		}
	})
}
