package soak

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"parsleyscale/platform/emulator"
)

const (
	answerTimeout = 7 * time.Second        // after which a client gives up a session
	longestThink  = 40 * time.Millisecond  // between the operations of a client
	retryPause    = 100 * time.Millisecond // after a refused connection
)

// promises are the codes which say that nothing of the attempt is kept.
var promises = map[string]bool{"BUSY": true, "ABORTED": true, "BEHIND": true, "READONLY": true, "MISROUTED": true, "TOOMANY": true}

// attempt is a write, or one of a transaction, with what its client was told.
type attempt struct {
	group          int
	data           string // also the item
	vm, session    string
	code           string // of the answer; empty: DONE
	sentAt, doneAt time.Time
}

// ledger collects what the clients were told.
type ledger struct {
	mu       sync.Mutex
	acked    []attempt
	promised []attempt // the VM has promised that nothing is kept, or no commit was requested
	unknown  int
	reads    int
	stale    []staleRead
}

// staleRead is a read that did not return a write which had been acknowledged in its session.
type staleRead struct{ data, text string }

// record records attempts whose answer had a code, with isKept unset if the client has not asked to keep them.
func (l *ledger) record(list []attempt, code string, isComplete, isAsked bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range list {
		a.code, a.doneAt = code, time.Now()
		switch {
		case !isAsked, isComplete && promises[code]:
			l.promised = append(l.promised, a)
		case isComplete && code == "":
			l.acked = append(l.acked, a)
		default:
			l.unknown++
		}
	}
}

// recordRead checks a read of an acknowledged write.
func (l *ledger) recordRead(s *session, data string, ok bool, row string, sentAt time.Time) {
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if row != data {
		l.stale = append(l.stale, staleRead{data, fmt.Sprintf("%s %s: read of %s in session %s to %s returned %q at %s", clock(sentAt), s.vm.id, data, s.id, s.database, row, clock(time.Now()))})
	}
}

// crowd is the clients of a run.
type crowd struct {
	s       *system
	ledger  ledger
	stopped chan struct{}
	wg      sync.WaitGroup
}

// startCrowd starts n clients.
func startCrowd(s *system, n int, seed uint64) *crowd {
	c := &crowd{s: s, stopped: make(chan struct{})}
	for k := range n {
		c.wg.Go(func() { c.run(k, rand.New(rand.NewPCG(seed, uint64(k)))) })
	}
	return c
}

// stop ends the clients and waits for them.
func (c *crowd) stop() {
	close(c.stopped)
	c.wg.Wait()
}

func (c *crowd) isStopped() bool {
	select {
	case <-c.stopped:
		return true
	default:
		return false
	}
}

// run opens sessions with random VMs, each of which is used until it ends.
func (c *crowd) run(k int, rng *rand.Rand) {
	for n := 0; !c.isStopped(); n++ {
		group := rng.IntN(len(c.s.groups))
		database := []string{"current", "own"}[rng.IntN(2)] + c.s.groups[group].Name
		s, err := dial(c.s.vms[rng.IntN(len(c.s.vms))], database)
		if err != nil {
			time.Sleep(retryPause)
			continue
		}
		s.group, s.id = group, fmt.Sprintf("c%d.%d", k, n)
		for op := 0; !c.isStopped() && !s.isBroken && rng.IntN(300) > 0; op++ {
			c.operate(s, op, rng)
			time.Sleep(time.Duration(rng.Int64N(int64(longestThink))))
		}
		_ = s.conn.Close()
	}
}

// operate runs one operation.
func (c *crowd) operate(s *session, op int, rng *rand.Rand) {
	data := fmt.Sprintf("%s.%d", s.id, op)
	switch x := rng.IntN(100); {
	case x < 50:
		a := s.attempt(data)
		code, _, err := s.query("WRITE " + data + " " + data)
		c.ledger.record([]attempt{a}, code, err == nil, true)
		if err == nil && code == "" {
			s.latest = data
		}
	case x < 70:
		c.transact(s, data, x < 53)
	case s.latest != "":
		sentAt, want := time.Now(), s.latest
		code, row, err := s.query("READ " + want)
		c.ledger.recordRead(s, want, err == nil && code == "", row, sentAt)
	}
}

// transact runs a transaction of two writes.
func (c *crowd) transact(s *session, data string, rollsBack bool) {
	if code, _, err := s.query("BEGIN"); err != nil || code != "" {
		return
	}
	var list []attempt
	for k := range 2 {
		d := fmt.Sprintf("%s.t%d", data, k)
		list = append(list, s.attempt(d))
		if code, _, err := s.query("WRITE " + d + " " + d); err != nil || code != "" {
			c.ledger.record(list, code, err == nil, false)
			_, _, _ = s.query("ROLLBACK")
			return
		}
	}
	if rollsBack {
		_, _, _ = s.query("ROLLBACK")
		c.ledger.record(list, "", true, false)
		return
	}
	code, _, err := s.query("COMMIT")
	c.ledger.record(list, code, err == nil, true)
	if err == nil && code == "" {
		s.latest = list[1].data
	}
}

// session is one session of a client.
type session struct {
	vm           *vm
	id, database string
	group        int
	conn         net.Conn
	r            *bufio.Reader
	queryCount   int
	latest       string // latest write that was acknowledged in the session
	isBroken     bool
}

var errBroken = errors.New("session has ended")

// dial opens a session for a database.
func dial(v *vm, database string) (*session, error) {
	conn, err := net.DialTimeout("tcp", v.callerAddress, time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{vm: v, database: database, conn: conn, r: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err = fmt.Fprintf(conn, "START %s u1\r\n", database); err == nil {
		var line string
		if line, err = s.r.ReadString('\n'); err == nil && !strings.HasPrefix(line, "READY I ") {
			err = errors.New(strings.TrimSpace(line))
		}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return s, nil
}

// attempt returns a write that is about to be sent.
func (s *session) attempt(data string) attempt {
	return attempt{group: s.group, data: data, vm: s.vm.id, session: s.id, sentAt: time.Now()}
}

// query runs a statement and returns the code of the answer, which is empty after DONE, and the last row.
func (s *session) query(text string) (code, row string, err error) {
	if s.isBroken {
		return "", "", errBroken
	}
	defer func() { s.isBroken = s.isBroken || err != nil }()
	s.queryCount++
	_ = s.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(s.conn, "QUERY %s-%d %s\r\n", s.id, s.queryCount, text); err != nil {
		return "", "", err
	}
	isDone := false
	for {
		line, err := s.r.ReadString('\n')
		if err != nil {
			return "", "", err
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "ROW":
			row = rest
		case "DONE":
			isDone = true
		case "ERR":
			code, _, _ = strings.Cut(rest, " ")
		case "READY":
			if !isDone && code == "" {
				return "", "", fmt.Errorf("READY without DONE or ERR after %s", text)
			}
			return code, row, nil
		default:
			return "", "", fmt.Errorf("unexpected line %q", line)
		}
	}
}

// instanceOf returns the primary of a group, or the replica that x in [0, 1) picks.
func instanceOf(g *emulator.Group, isPrimary bool, x float64) *emulator.Instance {
	p := g.Primary()
	if isPrimary {
		return p
	}
	var others []*emulator.Instance
	for _, i := range g.Instances() {
		if i != p {
			others = append(others, i)
		}
	}
	return others[int(x*float64(len(others)))]
}
