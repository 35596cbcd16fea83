package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is a commit in the log of an instance. Of long data only the beginning is kept.
type entry struct {
	term, index uint64
	item, data  string
	id          string    // of the client's statement that committed it
	appliedAt   time.Time // on a replica
}

// run is a statement that an instance ran.
type run struct {
	at       time.Time
	instance string
	id, text string
	values   map[string]string // session values of the connection
	lacks    func(id string) bool
}

// group is a stand-in for a service: a primary and replicas that speak the line protocol.
type group struct {
	name           string
	slots, queue   int
	maxConnections int
	work           time.Duration // of a read, a write or a commit
	lag            time.Duration // until a replica applies what it received
	onRun          func(run)

	mu        sync.Mutex
	term      uint64
	primary   *instance
	instances []*instance
}

type instance struct {
	g        *group
	id, zone string
	listener net.Listener
	born     int64

	log      []entry // guarded by g.mu
	conns    int
	admitted int
	slot     chan struct{}
	signed   uint64
}

func startGroup(g *group, zones []string) error {
	g.term = 1
	for k, z := range zones {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		i := &instance{g: g, id: fmt.Sprintf("i-%s-%d", g.name, k+1), zone: z, listener: l, born: time.Now().UnixMilli(), slot: make(chan struct{}, g.slots)}
		g.instances = append(g.instances, i)
		go i.accept()
	}
	g.primary = g.instances[0]
	return nil
}

// entryOf returns the registry entry of an instance.
func (i *instance) entryOf(sequence int) any {
	i.g.mu.Lock()
	defer i.g.mu.Unlock()
	role := "replica"
	if i.leads() {
		role = "primary"
	}
	return map[string]any{
		"service": i.g.name, "address": i.listener.Addr().String(), "zone": i.zone, "version": "v1", "capacity": i.g.slots,
		"state": "ready", "warmup_left_ms": 0, "sequence": sequence, "born": i.born, "db_role": role,
	}
}

// register writes the entries of all instances at the heartbeat interval.
func (g *group) register(put func(table, key string, value any), interval time.Duration) {
	for n := 1; ; n++ {
		for _, i := range g.instances {
			put("servers", i.id, i.entryOf(n))
		}
		time.Sleep(interval)
	}
}

// leads reports whether the instance is the primary. The caller holds g.mu.
func (i *instance) leads() bool { return i.g.primary == i }

func (i *instance) accept() {
	for {
		c, err := i.listener.Accept()
		if err != nil {
			return
		}
		go i.serve(c)
	}
}

// position returns the newest entry that the instance has applied. The caller holds g.mu.
func (i *instance) position() string { return positionOf(i.applied()) }

func positionOf(log []entry) string {
	if len(log) == 0 {
		return "1.0"
	}
	e := log[len(log)-1]
	return fmt.Sprintf("%d.%d", e.term, e.index)
}

// applied returns the part of the log that the instance has applied. The caller holds g.mu.
func (i *instance) applied() []entry {
	n := len(i.log)
	if i.g.primary != i {
		for n > 0 && time.Now().Before(i.log[n-1].appliedAt) {
			n--
		}
	}
	return i.log[:n]
}

func covers(have, want string) bool {
	a, b := parse(have), parse(want)
	if a[0] != b[0] {
		return a[0] > b[0]
	}
	return a[1] >= b[1]
}

func parse(p string) (n [2]uint64) {
	term, index, _ := strings.Cut(p, ".")
	n[0], _ = strconv.ParseUint(term, 10, 64)
	n[1], _ = strconv.ParseUint(index, 10, 64)
	return n
}

// conn is the state of one connection.
type conn struct {
	i         *instance
	w         *bufio.Writer
	values    map[string]string
	prepared  map[string]string // READ or WRITE, by name
	state     string            // I, T or E
	readWrite bool
	pending   []entry
}

func (i *instance) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, w := bufio.NewReaderSize(c, 64<<10), bufio.NewWriter(c)
	line, err := r.ReadString('\n')
	f := strings.Fields(line)
	switch {
	case err != nil:
		return
	case len(f) < 3 || f[0] != "START" || f[1] != i.g.name || len(f) > 3 && f[3] != i.id:
		_, _ = fmt.Fprintf(c, "ERR MISROUTED %s\r\n", i.id)
		return
	}
	i.g.mu.Lock()
	full := i.conns >= i.g.maxConnections
	if !full {
		i.conns++
	}
	i.g.mu.Unlock()
	if full {
		_, _ = fmt.Fprintf(c, "ERR TOOMANY %s\r\n", i.id)
		return
	}
	defer func() {
		i.g.mu.Lock()
		i.conns--
		i.g.mu.Unlock()
	}()
	s := &conn{i: i, w: w, values: map[string]string{}, prepared: map[string]string{}, state: "I"}
	s.ready()
	for w.Flush() == nil {
		line, err := r.ReadString('\n')
		line = strings.TrimSuffix(line, "\r\n")
		if err != nil || line == "BYE" {
			return
		}
		f := strings.SplitN(line, " ", 3)
		if len(f) < 3 || f[0] != "QUERY" {
			return
		}
		s.query(f[1], f[2])
		s.ready()
	}
}

func (s *conn) ready() {
	s.i.g.mu.Lock()
	defer s.i.g.mu.Unlock()
	_, _ = fmt.Fprintf(s.w, "READY %s %s\r\n", s.state, s.i.position())
}

func (s *conn) done(signature string) { _, _ = fmt.Fprintf(s.w, "DONE %s\r\n", signature) }

func (s *conn) fail(code string) {
	if s.state == "T" {
		s.state = "E"
	}
	_, _ = fmt.Fprintf(s.w, "ERR %s %s\r\n", code, s.i.id)
}

// sign returns a signature for a statement that the instance ran.
func (s *conn) sign() string {
	s.i.g.mu.Lock()
	defer s.i.g.mu.Unlock()
	s.i.signed++
	return fmt.Sprintf("%s.%d", s.i.id, s.i.signed)
}

func (s *conn) query(id, text string) {
	after := ""
	if strings.HasPrefix(text, "AFTER ") {
		f := strings.SplitN(text, " ", 3)
		after, text = f[1], f[2]
	}
	word, rest, _ := strings.Cut(text, " ")
	if s.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		s.fail("BAD")
		return
	}
	switch word {
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = short(value)
		s.done("-")
	case "RESET":
		s.values, s.prepared = map[string]string{}, map[string]string{}
		s.done("-")
	case "PREPARE":
		f := strings.SplitN(rest, " ", 3)
		s.prepared[f[0]] = f[1]
		s.done("-")
	case "FORGET":
		delete(s.prepared, rest)
		s.done("-")
	case "BEGIN":
		s.begin(rest, after)
	case "ROLLBACK":
		s.state, s.pending = "I", nil
		s.done("-")
	case "COMMIT":
		s.commit(id)
	case "STATUS", "HOLD", "DEMOTE", "RESUME":
		s.control(word, rest)
	case "READ", "WRITE", "EXEC":
		s.statement(id, text, word, rest, after)
	default:
		s.fail("BAD")
	}
}

// short returns the beginning of a value, which identifies it.
func short(v string) string { return v[:min(len(v), 24)] }

func (s *conn) begin(rest, after string) {
	s.i.g.mu.Lock()
	behind, leads := after != "" && !covers(s.i.position(), after), s.i.leads()
	s.i.g.mu.Unlock()
	switch {
	case s.state != "I":
		s.fail("BAD")
	case behind:
		s.fail("BEHIND")
	case rest == "" && !leads:
		s.fail("READONLY")
	default:
		s.state, s.readWrite = "T", rest == ""
		s.done("-")
	}
}

// occupy occupies a slot for the time of a statement. It returns false if the queue is full.
func (s *conn) occupy() bool {
	i := s.i
	i.g.mu.Lock()
	full := i.admitted >= i.g.slots+i.g.queue
	if !full {
		i.admitted++
	}
	i.g.mu.Unlock()
	if full {
		return false
	}
	i.slot <- struct{}{}
	time.Sleep(i.g.work)
	<-i.slot
	i.g.mu.Lock()
	i.admitted--
	i.g.mu.Unlock()
	return true
}

func (s *conn) statement(id, text, word, rest, after string) {
	if word == "EXEC" {
		name, args, _ := strings.Cut(rest, " ")
		verb, ok := s.prepared[name]
		if !ok {
			s.fail("NOSTMT")
			return
		}
		word, rest = verb, args
	}
	i, g := s.i, s.i.g
	g.mu.Lock()
	behind, leads := after != "" && !covers(i.position(), after), i.leads()
	g.mu.Unlock()
	switch {
	case behind:
		s.fail("BEHIND")
		return
	case (word == "WRITE" || s.state == "T" && s.readWrite) && !leads:
		s.fail("READONLY")
		return
	case !s.occupy():
		s.fail("BUSY")
		return
	}
	item, data, hasData := strings.Cut(rest, " ")
	if hasData != (word == "WRITE") {
		s.fail("BAD") // a prepared statement of the other kind
		return
	}
	g.mu.Lock()
	log := append([]entry(nil), i.applied()...)
	g.mu.Unlock()
	values := map[string]string{}
	for k, v := range s.values {
		values[k] = v
	}
	g.onRun(run{at: time.Now(), instance: i.id, id: id, text: text, values: values, lacks: func(id string) bool {
		for _, e := range log {
			if e.id == id {
				return false
			}
		}
		return true
	}})
	if word == "READ" {
		row := "none"
		for k := len(log) - 1; k >= 0; k-- {
			if log[k].item == item {
				row = log[k].data
				break
			}
		}
		_, _ = fmt.Fprintf(s.w, "ROW %s\r\n", row)
		s.done(s.sign())
		return
	}
	s.pending = append(s.pending, entry{item: item, data: short(data)})
	if s.state == "T" {
		s.done(s.sign())
		return
	}
	s.append(id)
}

func (s *conn) commit(id string) {
	if s.state == "I" {
		s.fail("BAD")
		return
	}
	failed := s.state == "E"
	s.state = "I"
	switch {
	case failed:
		s.pending = nil
		s.fail("ABORTED")
	case len(s.pending) == 0:
		s.done(s.sign())
	case !s.occupy():
		s.pending = nil
		s.fail("BUSY")
	default:
		s.append(id)
	}
}

// append commits the pending writes. Both replicas receive them at once and apply them later.
func (s *conn) append(id string) {
	i, g := s.i, s.i.g
	writes := s.pending
	s.pending = nil
	g.mu.Lock()
	if !i.leads() {
		g.mu.Unlock()
		s.fail("READONLY")
		return
	}
	for k, e := range writes {
		e.term, e.index, e.id = g.term, uint64(len(i.log)+1), id
		if k < len(writes)-1 {
			e.id = ""
		}
		i.log = append(i.log, e)
		e.appliedAt = time.Now().Add(g.lag)
		for _, r := range g.instances {
			if r != i {
				r.log = append(r.log, e)
			}
		}
	}
	g.mu.Unlock()
	s.done(s.sign())
}

// control answers a control command. The cases need no replacement of a primary, so that a hold or a demotion has no effect
// beyond its answer; the run is then given up.
func (s *conn) control(word, _ string) {
	g, i := s.i.g, s.i
	if word != "STATUS" {
		giveUp("an instance got " + word)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	role := "replica"
	if i.leads() {
		role = "primary"
	}
	_, _ = fmt.Fprintf(s.w, "ROW %s %d %s %d 0 %d %d\r\n", role, g.term, positionOf(i.log), 0, i.admitted, i.conns)
	s.done("-")
}

// startOrders starts the platform's call that promotes an instance.
func startOrders() (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			giveUp("a promotion was requested")
			w.WriteHeader(http.StatusConflict)
		}))
	}()
	return l.Addr().String(), nil
}
