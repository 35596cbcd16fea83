package budgeter

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/failure/classifier"
)

// fakeConn records how a session was ended.
type fakeConn struct{ isClosed, isWoken bool }

func (c *fakeConn) Close() error                    { c.isClosed = true; return nil }
func (c *fakeConn) SetReadDeadline(time.Time) error { c.isWoken = true; return nil }

// Guards against a decision that closes ordinary clients: those that wait, those whose message or answer has just begun, and
// those that keep little. Guards also against one that leaves the heaviest and slowest open.
func TestChoose(t *testing.T) {
	usage := func(r Resource, n int64, s Stage, age time.Duration) Usage {
		u := Usage{Stage: s, Age: age}
		u.Amounts[r] = n
		return u
	}
	for name, c := range map[string]struct {
		resource Resource
		excess   int64
		usages   []Usage
		want     []int
	}{
		"slowest of two":     {Received, 1, []Usage{usage(Received, 100, Receiving, 2*time.Second), usage(Received, 100, Receiving, 5*time.Second)}, []int{1}},
		"heaviest of two":    {Answers, 1, []Usage{usage(Answers, 900, Sending, 2*time.Second), usage(Answers, 100, Sending, 2*time.Second)}, []int{0}},
		"as many as needed":  {Received, 150, []Usage{usage(Received, 100, Receiving, 2*time.Second), usage(Received, 100, AwaitingStart, 3*time.Second), usage(Received, 100, Receiving, 4*time.Second)}, []int{2, 1}},
		"served":             {Received, 1, []Usage{usage(Received, 100, Idle, time.Minute)}, nil},
		"in transit":         {Received, 1, []Usage{usage(Received, 100, Receiving, stallTime/2)}, nil},
		"keeps little":       {Kept, 1, []Usage{usage(Kept, minKeptToClose-1, Idle, time.Hour), usage(Kept, minKeptToClose, Idle, 2*time.Second)}, []int{1}},
		"link keeps much":    {Kept, 1, []Usage{{Amounts: Amounts{Kept: 1 << 20}, Age: time.Hour, Stage: Idle, IsPeer: true}}, nil},
		"idle connection":    {Connections, 1, []Usage{usage(Connections, 1, Idle, time.Hour), usage(Connections, 1, AwaitingStart, 2*time.Second)}, []int{1}},
		"has just connected": {Starting, 1, []Usage{usage(Starting, 1, AwaitingStart, stallTime/2)}, nil},
	} {
		if got := Choose(c.resource, c.excess, c.usages); !slices.Equal(got, c.want) {
			t.Errorf("%s: chose %v, want %v", name, got, c.want)
		}
	}
}

// Guards against limits that clients within the limits of the protocol reach on the smallest VM, and against budgets that do not
// fit into its memory and descriptors.
func TestLimitsOfSmallestVM(t *testing.T) {
	const memoryMB, descriptors, sessions = 184, 4300, 3940
	l := LimitsFor(memoryMB, descriptors)
	if p := l.Process; p[Connections] < sessions || p[Connections]+l.ExtraForPeer >= descriptors {
		t.Errorf("limit of %d connections, want at least %d sessions, and descriptors that are left of %d", p[Connections], sessions, descriptors)
	}
	if sum := l.Process[Received] + l.Process[Answers] + l.Process[Kept]; sum > memoryMB<<20/4 {
		t.Errorf("clients may occupy %d bytes, more than a quarter of the memory", sum)
	}
	const message = 1 << 20
	if l.Process[Received] < 4*message || l.Process[Answers] < 4*message || l.KeptBySession < message+EntryBytes {
		t.Errorf("limits %+v leave no room for a few messages of the largest size", l)
	}
	if l.Process[Kept] < sessions*5*(EntryBytes+100) { // five values or names of statements for each session
		t.Errorf("limit of %d bytes for values, too few for %d ordinary sessions", l.Process[Kept], sessions)
	}
}

// Guards against a request that is refused although a stalled client could be closed for it, against one that is let through
// above the budget, and against amounts that are still accounted for after their connection has ended.
func TestReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var events []Event
		b := New(Limits{Process: Amounts{100, 100, 100, 10, 10}}, func(e Event) { events = append(events, e) })
		var conns [3]fakeConn
		var accounts [3]*Account
		for i := range conns {
			accounts[i], _ = b.Open(&conns[i])
			accounts[i].Started()
			accounts[i].Enter(Receiving)
		}
		stalled, second, third := accounts[0], accounts[1], accounts[2]
		if err := stalled.Reserve(Received, 90); err != nil {
			t.Fatal(err)
		}
		if err := second.Reserve(Received, 20); !classifier.Is(err, classifier.Overloaded) || classifier.RetryAfter(err) == 0 || conns[0].isClosed {
			t.Errorf("above the budget, without a stalled client: %v, want a refusal with the time after which to retry", err)
		}
		time.Sleep(2 * stallTime)
		second.Enter(Receiving)
		if err := second.Reserve(Received, 20); err != nil || !conns[0].isClosed {
			t.Errorf("%v, stalled client closed: %t; want it closed in favour of another one", err, conns[0].isClosed)
		}
		if err := third.Reserve(Received, 20); err == nil {
			t.Error("more was accepted than closed connections have yet to release")
		}
		stalled.Close()
		third.Enter(Receiving)
		if err := third.Reserve(Received, 20); err != nil {
			t.Errorf("after the closed connection has released its part: %v", err)
		}
		second.Close()
		third.Close()
		for r := range ResourceCount {
			if b.Used(r) != 0 {
				t.Errorf("%d of %s are accounted for without a connection", b.Used(r), r)
			}
		}
		if b.Closed(Received) != 1 || b.Refused(Received) != 2 || len(events) != 3 {
			t.Errorf("%d closed, %d refused, events %+v", b.Closed(Received), b.Refused(Received), events)
		}
	})
}

// Guards against a session that is cut off while its statement runs, so that the outcome of a write is lost.
func TestIdleSessionIsWoken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Limits{Process: Amounts{Kept: 1 << 20, Starting: 10, Connections: 10}, KeptBySession: 1 << 20}, nil)
		var first, second fakeConn
		holder, _ := b.Open(&first)
		holder.Started()
		if err := holder.Keep(1 << 19); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * stallTime)
		other, _ := b.Open(&second)
		if err := other.Keep(1<<19 + 1<<10); err != nil || !holder.MustEnd() || !first.isWoken || first.isClosed {
			t.Errorf("%v, must end: %t, woken: %t, closed: %t", err, holder.MustEnd(), first.isWoken, first.isClosed)
		}
	})
}

// Guards against a text that is charged for each session that keeps it, or for none after the first one has ended, and against one
// session that keeps more than it may.
func TestKeepText(t *testing.T) {
	b := New(Limits{Process: Amounts{Kept: 10_000, Starting: 10, Connections: 10}, KeptBySession: 2000}, nil)
	text := strings.Repeat("x", 1000)
	first, _ := b.Open(&fakeConn{})
	second, _ := b.Open(&fakeConn{})
	for _, a := range []*Account{first, second} {
		if _, err := a.KeepText(strings.Clone(text)); err != nil {
			t.Fatal(err)
		}
	}
	if used := b.Used(Kept); used != 1000+2*EntryBytes {
		t.Errorf("%d bytes for a text of 1,000 bytes that two sessions keep", used)
	}
	if _, err := first.KeepText(text + "y"); !classifier.Is(err, classifier.MessageTooLarge) {
		t.Errorf("above the limit of a session: %v", err)
	}
	first.UnkeepText(text)
	first.Close()
	if used := b.Used(Kept); used != 1000+EntryBytes {
		t.Errorf("%d bytes after one of two sessions has ended", used)
	}
	second.UnkeepText(text)
	second.Close()
	if used := b.Used(Kept); used != 0 || len(b.texts) != 0 {
		t.Errorf("%d bytes and %d texts after both sessions have ended", used, len(b.texts))
	}
}
