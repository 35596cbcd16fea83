package capacity

import (
	"context"
	"flag"
	"net"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

var (
	isMeasuring = flag.Bool("measure", false, "run the measurements of this package")
	window      = flag.Duration("window", 10*time.Second, "length of one measurement")
)

const settle = 4 * time.Second // after readiness, in which connections open and garbage of the start goes

// TestSlopes measures the use of a VM at several sizes and fits slopes. It guards
// against figures in docs/CAPACITY.md that nobody can repeat.
func TestSlopes(t *testing.T) {
	if !*isMeasuring {
		t.Skip("runs with -measure only")
	}
	program := build(t)
	t.Run("gateways", func(t *testing.T) { measureGateways(t, program) })
	t.Run("vms", func(t *testing.T) { measureVMs(t, program) })
	t.Run("sheet", func(t *testing.T) { measureSheet(t, program) })
	t.Run("callers", func(t *testing.T) { measureCallers(t, program) })
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) { measureStatements(t, program, k) })
	}
}

func build(t *testing.T) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "parsleyscale")
	if b, err := exec.Command("go", "build", "-o", file, "parsleyscale/cmd/parsleyscale").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, b)
	}
	return file
}

// series collects the points of one slope.
type series struct {
	unit string
	x    []float64
	r    []rates
}

func (s *series) add(t *testing.T, x int, r rates) {
	t.Helper()
	s.x, s.r = append(s.x, float64(x)), append(s.r, r)
	t.Logf("%d %s: %v; machine load %s", x, s.unit, r, machineLoad())
}

// run measures one size. There is no slope when a size fails.
func (s *series) run(t *testing.T, x int, f func(t *testing.T)) {
	t.Helper()
	if !t.Run(strconv.Itoa(x), f) {
		t.FailNow()
	}
}

// log fits a line for each figure.
func (s *series) log(t *testing.T) {
	t.Helper()
	for _, f := range []struct {
		name string
		of   func(rates) float64
	}{
		{"cpu, % of a core", func(r rates) float64 { return r.cpu }},
		{"resident, MB", func(r rates) float64 { return r.resident }},
		{"in, bytes/s", func(r rates) float64 { return r.in }},
		{"out, bytes/s", func(r rates) float64 { return r.out }},
		{"writes/s", func(r rates) float64 { return r.writes }},
	} {
		y := make([]float64, len(s.r))
		for i, r := range s.r {
			y[i] = f.of(r)
		}
		at0, slope := fit(s.x, y)
		t.Logf("slope of %s: %.4g + %.4g for each of the %s", f.name, at0, slope, s.unit)
	}
}

// measureGateways measures two VMs that are both gateways of all databases.
func measureGateways(t *testing.T, program string) {
	line := &series{unit: "databases as gateway"}
	for _, n := range []int{1, 7, 20} {
		line.run(t, n, func(t *testing.T) {
			s := start(t, program, size{databases: n, vms: 2})
			time.Sleep(settle)
			line.add(t, n, mean(s.measure(*window)))
		})
	}
	line.log(t)
}

// measureVMs measures VMs of one data centre that are no gateways, because the only database is away.
func measureVMs(t *testing.T, program string) {
	line := &series{unit: "VMs"}
	for _, n := range []int{4, 8, 16} {
		line.run(t, n, func(t *testing.T) {
			s := start(t, program, size{away: 1, vms: n})
			time.Sleep(settle)
			line.add(t, n, mean(s.measure(*window)))
		})
	}
	line.log(t)
}

// measureSheet measures two VMs with a sheet of databases of which they are no gateways.
func measureSheet(t *testing.T, program string) {
	line := &series{unit: "databases in the sheet"}
	for _, n := range []int{1, 1000, 8300} {
		line.run(t, n, func(t *testing.T) {
			s := start(t, program, size{away: n, vms: 2})
			time.Sleep(settle)
			line.add(t, n, mean(s.measure(*window)))
		})
	}
	line.log(t)
}

// measureCallers measures a VM with idle callers.
func measureCallers(t *testing.T, program string) {
	line := &series{unit: "idle callers"}
	s := start(t, program, size{databases: 1, vms: 1})
	open := 0
	for _, n := range []int{0, 1000, 4000} {
		for ; open < n; open++ {
			c := connect(t, s.vms[0])
			defer c.Close()
		}
		time.Sleep(settle)
		line.add(t, n, s.measure(*window)[0])
	}
	line.log(t)
}

// connect opens a session and leaves its connection to the test.
func connect(t *testing.T, v *vm) net.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	c, err := pgconn.Connect(ctx, urlOf(v))
	if err != nil {
		t.Fatal(err)
	}
	h, err := c.Hijack()
	if err != nil {
		t.Fatal(err)
	}
	return h.Conn
}

func urlOf(v *vm) string { return "postgres://capacity@" + v.caller + "/orders0?sslmode=disable" }

// kind is a kind of statement.
type kind struct{ name, parameters, text string }

var kinds = []kind{
	{"plainReads", "&parsleyscale.read=catalogue", "SELECT 1"},
	// Each of these reads needs a round that began after it arrived.
	{"sessionReads", "&parsleyscale.session=clerk", "SELECT 1"},
	{"writes", "&parsleyscale.session=clerk", "INSERT INTO entries VALUES ('plume')"},
}

// measureStatements measures an entry VM that forwards statements to a gateway in another data centre.
func measureStatements(t *testing.T, program string, k kind) {
	entry, gateway := &series{unit: "statements/s at the entry VM"}, &series{unit: "statements/s at the gateway"}
	s := start(t, program, size{databases: 1, vms: 1, others: 1})
	createTable(t, s.vms[1])
	time.Sleep(settle)
	for _, callers := range []int{1, 4, 16} {
		l := startLoad(t, urlOf(s.vms[1])+k.parameters, k.text, callers)
		time.Sleep(time.Second)
		before, at := l.done.Load(), time.Now()
		r := s.measure(*window)
		perSecond := int(float64(l.done.Load()-before) / time.Since(at).Seconds())
		l.stop()
		t.Logf("%d callers: %d statements/s, errors %d, microseconds of processor time for each: entry %.1f, gateway %.1f",
			callers, perSecond, l.failed.Load(), 1e4*r[1].cpu/float64(perSecond), 1e4*r[0].cpu/float64(perSecond))
		t.Logf("bytes in and out for each: entry %.0f, gateway %.0f", (r[1].in+r[1].out)/float64(perSecond), (r[0].in+r[0].out)/float64(perSecond))
		entry.add(t, perSecond, r[1])
		gateway.add(t, perSecond, r[0])
	}
	entry.log(t)
	gateway.log(t)
}

func createTable(t *testing.T, v *vm) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	c, err := pgconn.Connect(ctx, urlOf(v))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close(ctx)
	if _, err := c.Exec(ctx, "CREATE TABLE entries (value text)").ReadAll(); err != nil {
		t.Fatal(err)
	}
}

// load is a number of callers that repeat a statement without a pause.
type load struct {
	url, text    string
	done, failed atomic.Int64
	cancel       context.CancelFunc
	wg           sync.WaitGroup
}

func startLoad(t *testing.T, url, text string, callers int) *load {
	l := &load{url: url, text: text}
	var ctx context.Context
	ctx, l.cancel = context.WithCancel(t.Context())
	for range callers {
		l.wg.Go(func() { l.run(ctx) })
	}
	return l
}

func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
}

func (l *load) run(ctx context.Context) {
	c, err := pgconn.Connect(ctx, l.url)
	if err != nil {
		l.failed.Add(1)
		return
	}
	defer c.Close(context.Background())
	for ctx.Err() == nil {
		if _, err := c.Exec(ctx, l.text).ReadAll(); err != nil {
			if ctx.Err() == nil {
				l.failed.Add(1)
			}
			return
		}
		l.done.Add(1)
	}
}
