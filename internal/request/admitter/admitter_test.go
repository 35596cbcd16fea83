package admitter

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/failure/classifier"
)

func newAdmitter(limit, queue int) *Admitter {
	return New(Config{Queue: queue, Limit: func(string) int { return limit }})
}

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func admit(t *testing.T, a *Admitter, p Priority) Ticket {
	t.Helper()
	k, err := a.Admit(within(t, time.Minute), "a", p)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// Writes must not wait behind reads that came earlier.
func TestPriorityOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(1, 10)
		first := admit(t, a, Rest)
		order := make(chan Priority, 4)
		for _, p := range []Priority{Rest, Current, Write, Write} {
			go func() {
				k := admit(t, a, p)
				order <- p
				k.Done()
			}()
			synctest.Wait()
		}
		first.Done()
		synctest.Wait()
		for i, want := range []Priority{Write, Write, Current, Rest} {
			if got := <-order; got != want {
				t.Errorf("unit %d has priority %d, want %d", i, got, want)
			}
		}
		if s := a.Stats()["a"]; s.Running != 0 || s.Waiting != 0 {
			t.Errorf("units left over: %+v", s)
		}
	})
}

// More units than the limit on one instance would only queue inside it.
func TestLimitForEachInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(2, 10)
		admit(t, a, Rest)
		admit(t, a, Rest)
		if _, err := a.Admit(within(t, time.Minute), "b", Rest); err != nil {
			t.Fatal(err)
		}
		ctx := within(t, time.Second)
		_, err := a.Admit(ctx, "a", Rest)
		if !classifier.Is(err, classifier.Overloaded) || ctx.Err() == nil {
			t.Errorf("third unit: got %v, context %v", err, ctx.Err())
		}
		if s := a.Stats()["a"]; s.Running != 2 || s.Waiting != 0 || s.Shed != 1 {
			t.Errorf("got %+v", s)
		}
	})
}

// A unit that cannot start in time must be refused at once, with a hint.
func TestShedsHopelessUnits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(1, 10)
		for range 60 {
			k := admit(t, a, Rest)
			time.Sleep(100 * time.Millisecond)
			k.Done()
		}
		admit(t, a, Rest)
		start := time.Now()
		_, err := a.Admit(within(t, 50*time.Millisecond), "a", Write)
		if !classifier.Is(err, classifier.Overloaded) || time.Since(start) > 0 {
			t.Fatalf("got %v after %s", err, time.Since(start))
		}
		if m := classifier.Message(err); !strings.Contains(m, "repeat after 99 ms") {
			t.Errorf("message %q has no hint of 99 ms", m)
		}
	})
}

// A full queue must refuse reads rather than writes.
func TestFullQueueEvictsLowerPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(1, 1)
		running := admit(t, a, Rest)
		evicted := make(chan error, 1)
		go func() {
			_, err := a.Admit(within(t, time.Minute), "a", Rest)
			evicted <- err
		}()
		synctest.Wait()
		if _, err := a.Admit(within(t, time.Minute), "a", Rest); !classifier.Is(err, classifier.Overloaded) {
			t.Errorf("second read: got %v", err)
		}
		go func() { admit(t, a, Write).Done() }()
		synctest.Wait()
		if err := <-evicted; !classifier.Is(err, classifier.Overloaded) {
			t.Errorf("evicted read: got %v", err)
		}
		running.Done()
		synctest.Wait()
		if s := a.Stats()["a"]; s.Running != 0 || s.Waiting != 0 {
			t.Errorf("units left over: %+v", s)
		}
	})
}

// Retries must stay near a tenth of the requests once the reserve is used up.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget()
		for range 1000 {
			b.Earn()
		}
		spent := 0
		for b.Spend() {
			spent++
		}
		if want := 100 + DefaultRetryMinimum; spent < want-1 || spent > want {
			t.Errorf("%d retries for 1000 requests, want %d", spent, want)
		}
		time.Sleep(time.Second)
		if !b.Spend() {
			t.Error("no retry although the minimum has come back")
		}
	})
}
