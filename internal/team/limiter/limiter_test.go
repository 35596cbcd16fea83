package limiter

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/team/messenger"
	"parsleyscale/internal/team/sharder"
)

// newLimiter returns a limiter of a deployment whose only VM answers requests with answer, after a latency.
func newLimiter(latency time.Duration, answer func(q messenger.Request) messenger.Response) *Limiter {
	base := time.Now().Add(-time.Hour)
	self := sharder.VM{ID: "vm", Region: "r", Address: "vm"}
	return New(Config{
		Self: self, Sharder: sharder.New(map[string]string{"d": "r"}, sharder.Excess{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, TokenLifetime(5*time.Second, 0.1)), Clock: func() time.Duration { return time.Since(base) },
		TokenLifetime: TokenLifetime(5*time.Second, 0.1), VMs: func() []sharder.VM { return []sharder.VM{self} },
		Send: func(_ context.Context, _ string, q messenger.Request) (messenger.Response, error) {
			time.Sleep(latency)
			return answer(q), nil
		},
		Observe: func(string, time.Duration, error) {},
	})
}

var team = cataloger.Team{Name: "t", Rate: 100, Burst: 100}

// Guards against a token that is used later than its lifetime after the request was sent: the holder's bucket may have been refilled
// since. The answer is on its way for half of the lifetime.
func TestTokensExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var requests atomic.Int64
		l := newLimiter(50*time.Millisecond, func(q messenger.Request) messenger.Response {
			requests.Add(1)
			return messenger.Response{Grants: []messenger.Grant{{Count: q.Asks[0].Count}}}
		})
		l.teams["t"] = &state{name: "t", until: map[string]time.Duration{}, rate: 100, rateAt: l.cfg.Clock()} // it asks for tokens in advance
		if err := l.Admit(t.Context(), team); err != nil {
			t.Fatal(err)
		}
		if n, _ := l.Remaining("t"); n == 0 {
			t.Fatal("no tokens in hand")
		}
		time.Sleep(60 * time.Millisecond)
		if n, _ := l.Remaining("t"); n != 0 || requests.Load() != 1 {
			t.Errorf("%d tokens in hand 110 ms after the first of %d requests was sent, want none", n, requests.Load())
		}
	})
}

// Load: 100 operations of each of two teams at once. Guards against a call to the holder for each of them.
func TestRequestsShareCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var requests atomic.Int64
		l := newLimiter(5*time.Millisecond, func(q messenger.Request) messenger.Response {
			requests.Add(1)
			a := messenger.Response{}
			for _, ask := range q.Asks {
				a.Grants = append(a.Grants, messenger.Grant{Count: ask.Count})
			}
			return a
		})
		var wg sync.WaitGroup
		for range 100 {
			for _, name := range []string{"t", "u"} {
				wg.Go(func() {
					if err := l.Admit(t.Context(), cataloger.Team{Name: name, Rate: 100, Burst: 100}); err != nil {
						t.Error(err)
					}
				})
			}
		}
		wg.Wait()
		if requests.Load() > 8 {
			t.Errorf("%d calls, want at most 8", requests.Load())
		}
	})
}

// Failure: each answer takes longer than a token may be used. Guards against an operation that waits for ever.
func TestAnswersTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(400*time.Millisecond, func(q messenger.Request) messenger.Response {
			return messenger.Response{Grants: []messenger.Grant{{Count: q.Asks[0].Count}}}
		})
		if err := l.Admit(t.Context(), team); !classifier.Is(err, classifier.Overloaded) {
			t.Errorf("error %v, want kind overloaded", err)
		}
	})
}

// Failure: nobody answers, or nobody holds a shard. Operations must be refused with the time after which to return, without a
// request for each of them.
func TestNoHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var requests atomic.Int64
		l := newLimiter(time.Millisecond, func(messenger.Request) messenger.Response {
			requests.Add(1)
			return messenger.Response{Grants: []messenger.Grant{{IsAbsent: true}}}
		})
		for range 100 {
			if err := l.Admit(t.Context(), team); !classifier.Is(err, classifier.Overloaded) || classifier.RetryAfter(err) == 0 {
				t.Fatalf("error %v, want kind overloaded with a time", err)
			}
		}
		if requests.Load() != 1 {
			t.Errorf("%d requests for 100 operations, want 1", requests.Load())
		}
	})
}

// Guards against an explanation that takes a token, asks a holder or counts an operation, and against one that differs from
// what Admit answers next.
func TestExplainTakesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var requests atomic.Int64
		tokens := 1
		l := newLimiter(5*time.Millisecond, func(q messenger.Request) messenger.Response {
			requests.Add(1)
			a := messenger.Response{Held: []int{0, 1, 2, 3, 4, 5, 6, 7}}
			for range q.Asks {
				a.Grants = append(a.Grants, messenger.Grant{Count: tokens, WaitMillis: 200})
			}
			return a
		})
		explain := func() View {
			first, before := l.Explain(team), requests.Load()
			rate := 0.0
			if s := l.teams["t"]; s != nil {
				rate = s.rate
			}
			for range 1000 {
				if v := l.Explain(team); v.InHand != first.InHand || v.IsGranted != first.IsGranted || v.Wait != first.Wait {
					t.Fatalf("explanation %+v, then %+v", first, v)
				}
			}
			if s := l.teams["t"]; requests.Load() != before || s != nil && s.rate != rate {
				t.Errorf("%d requests to holders, %v operations per second; want none and %v", requests.Load()-before, s.rate, rate)
			}
			return first
		}
		if v := explain(); len(l.teams) != 0 || v.IsGranted || v.Err != nil {
			t.Errorf("team that has not been seen: %+v, %d teams are known; want a request to a holder and none", v, len(l.teams))
		}
		if err := l.Admit(t.Context(), team); err != nil {
			t.Fatal(err)
		}
		l.mu.Lock()
		s := l.teams["t"]
		l.recordGrant(s, "vm", l.cfg.Clock(), messenger.Grant{Count: 2}, 2, nil)
		l.mu.Unlock()
		if v := explain(); v.InHand != 2 || !v.IsGranted {
			t.Errorf("%+v, want 2 tokens in hand", v)
		}
		tokens = 0
		time.Sleep(time.Second)
		if err := l.Admit(t.Context(), team); !classifier.Is(err, classifier.Overloaded) {
			t.Fatalf("%v, want overloaded", err)
		}
		v := explain()
		if err := l.Admit(t.Context(), team); v.Err == nil || v.Err.Error() != err.Error() || classifier.RetryAfter(v.Err) != classifier.RetryAfter(err) || v.Holders[0].Address != "vm" || v.Holders[0].Wait == 0 {
			t.Errorf("%+v, Admit refuses with %v; want the same, and a holder that is not asked", v, err)
		}
	})
}

// The answer of a slow holder arrives after the lifetime of its tokens. Guards against the refusal of an operation that has waited
// for them, and against tokens of that answer that stay in hand for later operations.
func TestLateTokensServeWaitingOperations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(120*time.Millisecond, func(q messenger.Request) messenger.Response {
			return messenger.Response{Grants: []messenger.Grant{{Count: q.Asks[0].Count}}}
		})
		if err := l.Admit(t.Context(), team); err != nil {
			t.Errorf("an operation that waited for its token is refused: %v", err)
		}
		if n, _ := l.Remaining("t"); n != 0 {
			t.Errorf("%d tokens in hand after their lifetime, want none", n)
		}
	})
}
