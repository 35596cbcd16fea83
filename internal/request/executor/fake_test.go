package executor

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/group/sampler"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/parser"
)

// fenceCode is the fake's SQLSTATE for a commit that was refused by the fence.
const fenceCode = "PSF01"

// scriptedFault is one failure of a fake instance. It happens once unless Times is set.
type scriptedFault struct {
	Instance string `json:"instance"`
	On       string `json:"on"`      // prefix of the statement
	Skip     int    `json:"skip"`    // statements with the prefix before it
	Times    int    `json:"times"`   // further times
	Act      string `json:"act"`     // closeBefore, closeAfter, cutRows, silent, silentAfter, slow, locked, rebuilding, thenRefuse, fence (promotes before the statement); empty: none
	Promote  string `json:"promote"` // new primary after the act
	Lose     bool   `json:"lose"`    // commits are not replicated from now on, until the promotion
}

// group is a fake database group. An entry of the log is a commit.
type group struct {
	mu        sync.Mutex
	term      uint64
	primary   string
	lose      bool
	members   map[string]*fakeInstance
	changed   chan struct{}
	faults    []scriptedFault
	reports   int
	canceled  int
	refuse    int // connections to refuse with 53300
	maxOpen   int
	confirmed int
	blind     bool        // rounds are not confirmed
	small     atomic.Bool // small socket buffers, set before the first connection

	sweeps     []int64  // limits of the removals of keys
	violations []string // of the rules of the protocol between executor and instance
}

type entry struct {
	at   tokenizer.Position
	runs []string
	keys map[string][4]string // fingerprint, createdMs, state, answer
}

type fakeInstance struct {
	g        *group
	name     string
	address  string
	log      []entry
	keys     map[string][4]string // of the log
	table    bool
	fenced   bool
	running  map[string]chan struct{} // keys of open transactions
	open     int
	sessions map[uint32]*session
	listener net.Listener
}

func newGroup(t testing.TB, names ...string) *group {
	g := &group{term: 1, primary: names[0], members: map[string]*fakeInstance{}, changed: make(chan struct{})}
	var wg sync.WaitGroup
	for _, n := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		in := &fakeInstance{g: g, name: n, address: l.Addr().String(), keys: map[string][4]string{}, running: map[string]chan struct{}{}, sessions: map[uint32]*session{}, listener: l}
		in.log = []entry{{at: tokenizer.Position{Term: 1, Index: 1}}}
		g.members[n] = in
		wg.Go(func() { in.serve(&wg) })
	}
	t.Cleanup(func() {
		for _, in := range g.members {
			in.stop()
		}
		wg.Wait()
	})
	return g
}

func (in *fakeInstance) serve(wg *sync.WaitGroup) {
	for {
		c, err := in.listener.Accept()
		if err != nil {
			return
		}
		wg.Go(func() { in.session(c) })
	}
}

func (in *fakeInstance) stop() {
	_ = in.listener.Close()
	in.g.mu.Lock()
	defer in.g.mu.Unlock()
	for _, s := range in.sessions {
		_ = s.c.Close()
	}
}

func (in *fakeInstance) last() tokenizer.Position { return in.log[len(in.log)-1].at }

func (g *group) touch() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// promote makes an instance primary of the next term; the others drop what it lacks.
func (g *group) promote(name string) {
	g.term++
	g.primary, g.lose = name, false
	p := g.members[name]
	p.fenced = false
	p.log = append(p.log, entry{at: tokenizer.Position{Term: g.term, Index: p.last().Index + 1}})
	for _, in := range g.members {
		if in != p {
			in.fenced = true
			in.log, in.table, in.keys = append([]entry(nil), p.log...), p.table, maps.Clone(p.keys)
		}
	}
	g.touch()
}

// runs counts how often each write was committed on the primary.
func (g *group) runs() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := map[string]int{}
	for _, e := range g.members[g.primary].log {
		for _, r := range e.runs {
			m[r]++
		}
	}
	return m
}

// View, Next, Confirm, Report and Changed make the group its own sampler.
func (g *group) View() sampler.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := sampler.View{Database: "db", Term: g.term, Primary: g.primary}
	if g.primary != "" {
		v.Confirmed = g.members[g.primary].last()
	}
	if !g.blind {
		v.ConfirmedAt = time.Now()
	}
	for _, n := range []string{"a", "b", "c"} {
		in, ok := g.members[n]
		if !ok {
			continue
		}
		i := parser.Instance{Name: n, Address: in.address, Connections: 8, Slots: 2}
		v.Instances = append(v.Instances, sampler.InstanceView{Instance: i, Reachable: true, FreshAsOf: time.Now(), Status: connector.Status{Applied: in.last()}})
	}
	return v
}

func (g *group) Next(ctx context.Context) (sampler.View, error) { return g.View(), ctx.Err() }

func (g *group) Confirm(ctx context.Context, p tokenizer.Position) error {
	for {
		g.mu.Lock()
		held, changed := g.isHeld(p), g.changed
		stale := p.Term < g.term
		g.confirmed++
		g.mu.Unlock()
		switch {
		case held:
			return nil
		case stale:
			return classifier.New(classifier.PrimaryReplaced, "term %d is over", p.Term)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (g *group) isHeld(p tokenizer.Position) bool {
	n := 0
	for _, in := range g.members {
		for _, e := range in.log {
			if e.at == p {
				n++
			}
		}
	}
	return 2*n > len(g.members)
}

func (g *group) Report(string, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reports++
}

func (g *group) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

func (g *group) openCount(instance string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members[instance].open
}

func (g *group) fault(instance, sql string) scriptedFault {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range g.faults {
		f := &g.faults[i]
		if f.Instance != instance || f.On == "" || !strings.HasPrefix(sql, f.On) {
			continue
		}
		if f.Skip--; f.Skip < 0 {
			hit := *f
			if f.Times--; f.Times < 0 {
				f.On = ""
			}
			return hit
		}
	}
	return scriptedFault{}
}

func (g *group) apply(f scriptedFault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f.Lose {
		g.lose = true
	}
	if f.Promote != "" {
		g.promote(f.Promote)
	}
}

// session is one connection to a fake instance.
type session struct {
	in       *fakeInstance
	c        net.Conn
	b        *pgproto3.Backend
	tx       *entry
	held     []string // keys that the open transaction inserted
	sql      string   // of the last Parse
	failed   bool     // skip messages until Sync
	set      bool     // SET was run
	canceled chan struct{}
}

var errCut = errors.New("connection cut by the script")

func (in *fakeInstance) session(c net.Conn) {
	defer func() { _ = c.Close() }()
	if in.g.small.Load() {
		shrinkBuffers(c)
	}
	s := &session{in: in, c: c, b: pgproto3.NewBackend(c, c), canceled: make(chan struct{})}
	pid, ok := s.startUp()
	if !ok {
		return
	}
	defer in.forget(pid, s)
	for {
		m, err := s.b.Receive()
		if err != nil {
			return
		}
		if err := s.handle(m); err != nil {
			return
		}
	}
}

// shrinkBuffers makes a socket block early, as on a slow link.
func shrinkBuffers(c net.Conn) {
	_ = c.(*net.TCPConn).SetReadBuffer(16 << 10)
	_ = c.(*net.TCPConn).SetWriteBuffer(16 << 10)
}

func (s *session) startUp() (uint32, bool) {
	m, err := s.b.ReceiveStartupMessage()
	g := s.in.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if c, ok := m.(*pgproto3.CancelRequest); ok && err == nil {
		g.canceled++
		if o := s.in.sessions[c.ProcessID]; o != nil {
			close(o.canceled)
		}
		return 0, false
	}
	if err != nil {
		return 0, false
	}
	if g.refuse > 0 {
		g.refuse--
		s.b.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300", Message: "too many connections"})
		_ = s.b.Flush()
		return 0, false
	}
	s.in.open++
	g.maxOpen = max(g.maxOpen, s.in.open)
	pid := uint32(len(s.in.sessions) + 1)
	s.in.sessions[pid] = s
	s.b.Send(&pgproto3.AuthenticationOk{})
	s.b.Send(&pgproto3.BackendKeyData{ProcessID: pid, SecretKey: []byte{1, 2, 3, 4}})
	s.ready()
	return pid, s.b.Flush() == nil
}

func (in *fakeInstance) forget(_ uint32, s *session) {
	in.g.mu.Lock()
	defer in.g.mu.Unlock()
	in.open--
	s.end()
}

func (s *session) ready() {
	status := byte('I')
	if s.tx != nil {
		status = 'T'
	}
	s.b.Send(&pgproto3.ReadyForQuery{TxStatus: status})
}

func (s *session) handle(m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Query:
		if err := s.run(m.String, true); err != nil {
			return err
		}
		s.failed = false
		s.ready()
		return s.b.Flush()
	case *pgproto3.Sync:
		s.failed = false
		s.ready()
		return s.b.Flush()
	case *pgproto3.Flush:
		return s.b.Flush()
	case *pgproto3.Terminate:
		return errCut
	}
	if s.failed {
		return nil
	}
	switch m := m.(type) {
	case *pgproto3.Parse:
		s.sql = m.Query
		s.b.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		for _, p := range m.Parameters {
			s.sql += " " + string(p)
		}
		s.b.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		s.b.Send(&pgproto3.NoData{})
	case *pgproto3.Execute:
		return s.run(s.sql, false)
	}
	return nil
}

// run runs a statement with the fault that the script has for it.
func (s *session) run(sql string, simple bool) error {
	f := s.in.g.fault(s.in.name, sql)
	if f.Lose {
		s.in.g.mu.Lock()
		s.in.g.lose = true
		s.in.g.mu.Unlock()
	}
	switch f.Act {
	case "closeBefore":
		s.in.g.apply(f)
		return errCut
	case "silent":
		s.in.g.apply(f)
		return s.beSilent()
	case "rebuilding":
		s.fail("57P03", "instance rebuilds its rows")
		return nil
	case "locked":
		s.fail("55P03", "lock not available")
		return nil
	case "slow":
		time.Sleep(50 * time.Millisecond)
	case "fence":
		s.in.g.apply(f)
		s.execute(sql, simple, false)
		return nil
	}
	s.execute(sql, simple, f.Act == "cutRows")
	s.in.g.apply(f)
	switch f.Act {
	case "thenRefuse":
		s.fail(fenceCode, "fenced")
	case "closeAfter":
		return errCut
	case "cutRows":
		_ = s.b.Flush()
		return errCut
	case "silentAfter":
		return s.beSilent()
	}
	return nil
}

// beSilent leaves the connection open until the caller closes it, and counts
// every further message as reuse of an uncertain connection. The open
// transaction stays until a cancel request arrives, as behind a network that lost the close.
func (s *session) beSilent() error {
	// Messages of the same batch were sent before the silence could be noticed.
	for start := time.Now(); ; {
		if _, err := s.b.Receive(); err != nil {
			break
		}
		if time.Since(start) > 50*time.Millisecond {
			s.in.g.violate("message on a connection whose state is uncertain")
		}
	}
	select {
	case <-s.canceled:
	case <-time.After(10 * time.Second):
	}
	return errCut
}

func (g *group) violate(text string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.violations = append(g.violations, text)
}

var (
	insertKey = regexp.MustCompile(`^INSERT INTO parsleyscale_requests.* VALUES \('([^']*)', ?'([^']*)', ?(\d+), ?'([^']*)', ?'([^']*)'\)`)
	updateKey = regexp.MustCompile(`^UPDATE parsleyscale_requests SET answer ?= ?'([^']*)' WHERE key ?= ?'([^']*)'`)
	sweepKeys = regexp.MustCompile(`^DELETE FROM parsleyscale_requests .*createdMs < (\d+) LIMIT`)
	selectKey = regexp.MustCompile(`^SELECT .* FROM parsleyscale_requests WHERE key ?= ?'([^']*)'`)
)

func (s *session) execute(sql string, simple, cut bool) {
	word, rest, _ := strings.Cut(sql, " ")
	g := s.in.g
	if m := insertKey.FindStringSubmatch(sql); m != nil {
		s.lockKey(m[1])
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case strings.HasPrefix(sql, "CREATE "):
		s.in.table = true
		s.done("CREATE TABLE")
	case strings.Contains(sql, "parsleyscale_requests"):
		s.keyStatement(sql)
	case word == "BEGIN":
		if s.tx != nil {
			g.violations = append(g.violations, "transaction begun inside another caller's")
		}
		s.tx = &entry{keys: map[string][4]string{}}
		s.done("BEGIN")
	case word == "COMMIT":
		s.commit("COMMIT")
	case word == "ROLLBACK":
		s.end()
		s.done("ROLLBACK")
	case word == "READ":
		s.rows(rest, simple, cut)
	case word == "FAIL":
		s.fail("23505", "duplicate")
	case word == "WRITE":
		s.write(rest, simple)
	case word == "COPY":
		s.copyIn()
	case word == "SET":
		s.set = s.set || !strings.HasPrefix(rest, "LOCAL ") // a local setting ends with its transaction
		s.done(word)
	case word == "SHOW" && s.set:
		g.violations = append(g.violations, "session state of another caller")
		s.done(word)
	default:
		s.done(word)
	}
}

// lockKey waits while another open transaction holds the key.
func (s *session) lockKey(key string) {
	for {
		s.in.g.mu.Lock()
		other := s.in.running[key]
		if other == nil && s.tx != nil {
			s.in.running[key] = make(chan struct{})
			s.held = append(s.held, key)
		}
		s.in.g.mu.Unlock()
		if other == nil {
			return
		}
		<-other
	}
}

func (s *session) end() {
	for _, k := range s.held {
		close(s.in.running[k])
		delete(s.in.running, k)
	}
	s.tx, s.held = nil, nil
}

func (s *session) copyIn() {
	s.b.Send(&pgproto3.CopyInResponse{})
	_ = s.b.Flush()
	n := 0
	for {
		m, err := s.b.Receive()
		if _, ok := m.(*pgproto3.CopyDone); ok || err != nil {
			s.done("COPY " + strconv.Itoa(n))
			return
		}
		n++
	}
}

func (s *session) done(tag string) { s.b.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)}) }

func (s *session) fail(code, text string) {
	s.failed = true
	s.b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: text})
}

func (s *session) keyStatement(sql string) {
	if !s.in.table {
		s.fail("42P01", "no such table")
		return
	}
	if m := selectKey.FindStringSubmatch(sql); m != nil {
		s.selectKey(m[1])
		return
	}
	auto := s.tx == nil
	if auto {
		s.tx = &entry{keys: map[string][4]string{}}
	}
	tag := "UPDATE 1"
	if m := insertKey.FindStringSubmatch(sql); m != nil {
		tag = "INSERT 0 1"
		if _, ok := s.in.keys[m[1]]; ok {
			tag = "INSERT 0 0"
		} else {
			s.tx.keys[m[1]] = [4]string(m[2:])
		}
	} else if m := updateKey.FindStringSubmatch(sql); m != nil {
		r := s.tx.keys[m[2]]
		r[3] = m[1]
		s.tx.keys[m[2]] = r
	} else {
		m := sweepKeys.FindStringSubmatch(sql)
		limit, _ := strconv.ParseInt(m[1], 10, 64)
		s.in.g.sweeps = append(s.in.g.sweeps, limit)
		tag = "DELETE 0"
	}
	if auto && tag == "INSERT 0 1" {
		s.commit(tag)
		return
	}
	if auto {
		s.end()
	}
	s.done(tag)
}

func (s *session) selectKey(k string) {
	s.b.Send(&pgproto3.RowDescription{Fields: make([]pgproto3.FieldDescription, 3)})
	r, ok := s.in.keys[k]
	if ok {
		s.b.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(r[2]), []byte(r[0]), []byte(r[3])}})
	}
	s.done("SELECT 1")
}

func (s *session) commit(tag string) {
	in, g := s.in, s.in.g
	tx := s.tx
	if in.fenced {
		s.end()
		s.fail(fenceCode, "fenced")
		return
	}
	if tx == nil || len(tx.runs) == 0 && len(tx.keys) == 0 {
		s.end()
		s.done(tag)
		return
	}
	tx.at = tokenizer.Position{Term: g.term, Index: in.last().Index + 1}
	tx.keys = maps.Clone(tx.keys)
	for _, o := range g.members {
		if o == in || !g.lose {
			o.log = append(o.log, *tx)
			maps.Copy(o.keys, tx.keys)
			o.table = in.table
		}
	}
	s.end()
	s.b.Send(&pgproto3.ParameterStatus{Name: connector.ParameterPosition, Value: in.last().String()})
	s.done(tag)
}

func (s *session) write(rest string, simple bool) {
	id, returning, _ := strings.Cut(rest, " ")
	auto := s.tx == nil
	if auto {
		s.tx = &entry{}
	}
	s.tx.runs = append(s.tx.runs, id)
	if n, ok := strings.CutPrefix(returning, "RETURNING "); ok {
		s.sendRows(n, simple, false)
	}
	if auto {
		s.commit("INSERT 0 1")
		return
	}
	s.done("INSERT 0 1")
}

func (s *session) rows(rest string, simple, cut bool) {
	n := s.sendRows(rest, simple, cut)
	if !cut {
		s.done("SELECT " + strconv.Itoa(n))
	}
}

func (s *session) sendRows(text string, simple, cut bool) int {
	n, _ := strconv.Atoi(strings.TrimSpace(text))
	if simple {
		s.b.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25}}})
	}
	for i := range n {
		if cut && i >= n/2 {
			break
		}
		if i%10 == 9 {
			_ = s.b.Flush() // as an instance does when its output buffer is full
		}
		s.b.Send(&pgproto3.DataRow{Values: [][]byte{fmt.Appendf(nil, "%s row %090d", s.in.name, i)}})
	}
	return n
}
