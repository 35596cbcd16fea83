package runner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jackc/pgx/v5"

	"parsleyscale/internal/bench/builder"
	"parsleyscale/internal/bench/checker"
	"parsleyscale/internal/bench/driver"
	"parsleyscale/internal/platform/emulator"
	"parsleyscale/internal/sheet/parser"
	"parsleyscale/internal/telemetry/logger"
)

const (
	warmUp       = 700 * time.Millisecond // of load before the first fault
	readTimeout  = 30 * time.Second
	pollInterval = 5 * time.Millisecond
	// failoverWriters keep the acknowledgements of a database a few milliseconds apart.
	failoverWriters = 4
	steadyWriters   = 1
)

// Config holds the settings of a run.
type Config struct {
	Scenario   string
	Deployment string
	Seed       uint64
	Duration   time.Duration
	Callers    int // with mixed work; zero: as the deployment's load says
	Log        *logger.Logger
	Progress   func(elapsed time.Duration, acknowledged, reads int64) // nil: none
}

// Run runs a scenario and checks what callers saw.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	sc, err := Find(cfg.Scenario)
	if err != nil {
		return nil, err
	}
	d, err := builder.Named(cfg.Deployment)
	if err != nil {
		return nil, err
	}
	sys, err := builder.Start(d, cfg.Log)
	if err != nil {
		return nil, err
	}
	r := &run{cfg: cfg, sys: sys, rng: rand.New(rand.NewPCG(cfg.Seed, 0)), service: sys.Sheet().Services[0]}
	res, err := r.measure(ctx, sc)
	return res, errors.Join(err, sys.Close())
}

// run is one run of a scenario.
type run struct {
	cfg     Config
	sys     *builder.System
	service parser.Service
	load    *driver.Driver
	rng     *rand.Rand
	ctx     context.Context
	end     time.Time
	next    int // database of the next failure
	faults  []string
	sheets  []time.Duration // from the change of a sheet until it was in force on all VMs
	leaving []leave
}

func (r *run) measure(ctx context.Context, sc Scenario) (*Result, error) {
	if err := r.startLoad(sc); err != nil {
		return nil, err
	}
	r.end = time.Now().Add(r.cfg.Duration)
	var cancel context.CancelFunc
	r.ctx, cancel = context.WithDeadline(ctx, r.end)
	defer cancel()
	linkBytes := r.sys.Net.RegionBytes()
	w := r.watch()
	if r.sleep(min(warmUp, r.cfg.Duration/4)) {
		if err := sc.run(r); err != nil {
			r.faults = append(r.faults, err.Error())
		}
		<-r.ctx.Done()
	}
	res := &Result{Scenario: sc.Name, Deployment: r.cfg.Deployment, Seed: r.cfg.Seed, Seconds: r.cfg.Duration.Seconds()}
	res.RegionLinkBytes = r.sys.Net.RegionBytes() - linkBytes
	r.heal()
	res.summarize(r.load.Stop())
	end := r.load.Now()
	res.Changes = w.stop()
	res.measureGaps(end)
	final, err := r.readFinal()
	if err != nil {
		return nil, err
	}
	c := checker.Check(res.History, final)
	res.Counts, res.Findings = c.Counts, c.Findings[:min(len(c.Findings), maxFindings)]
	res.FaultErrors = r.faults
	res.addSheets(r.sheets, r.leaving)
	return res, ctx.Err()
}

func (r *run) startLoad(sc Scenario) error {
	shape, err := driver.ShapeOf(r.cfg.Deployment)
	if err != nil {
		return err
	}
	term, err := driver.TermOf(builder.TokenKey)
	if err != nil {
		return err
	}
	r.load, err = driver.Start(driver.Config{
		Seed: r.cfg.Seed, Shape: shape, Service: r.service, Places: r.dataCentres(), AddHost: r.sys.AddCaller,
		VMs: r.readyVMs, Term: term, Clerks: r.cfg.Callers, Writers: sc.writers,
	})
	return err
}

func (r *run) readyVMs() []driver.VM {
	var list []driver.VM
	for _, e := range r.sys.Ready() {
		list = append(list, driver.VM(e))
	}
	return list
}

func (r *run) dataCentres() []string {
	var list []string
	for _, g := range r.sys.Sheet().Regions {
		list = append(list, g.DataCentres...)
	}
	return list
}

// sleep waits and reports whether the run goes on.
func (r *run) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.ctx.Done():
		return false
	}
}

// left returns the time that is left.
func (r *run) left() time.Duration { return time.Until(r.end) }

// heal ends all faults, so that every caller can settle its last request.
func (r *run) heal() {
	for _, a := range r.dataCentres() {
		for _, b := range r.dataCentres() {
			r.sys.Net.Heal(a, b)
			r.sys.Net.SetExtraDelay(a, b, 0)
		}
	}
	r.healHosts()
	r.sys.Platform.SetFaults(emulator.Faults{})
	for _, db := range r.service.Databases {
		for _, m := range db.Instances {
			r.note(r.restore(m.Name))
		}
	}
	for _, v := range r.sys.VMs() {
		r.sys.ResumeVM(v)
		if !r.sys.IsRunning(v) {
			r.note(r.sys.RestartVM(v))
		}
	}
}

// healHosts ends the cuts between the hosts of instances and all others.
func (r *run) healHosts() {
	for _, db := range r.service.Databases {
		for _, m := range db.Instances {
			r.note(r.reconnect(m.Name))
		}
	}
}

// restore resumes an instance and starts it if it is killed.
func (r *run) restore(name string) error {
	i, err := r.sys.Instance(name)
	if err != nil {
		return err
	}
	r.sys.ResumeInstance(i)
	if r.sys.IsUp(i) {
		return nil
	}
	return r.sys.RestartInstance(i)
}

// note keeps an error of the experiment itself, which does not end the run.
func (r *run) note(err error) {
	if err != nil {
		r.faults = append(r.faults, err.Error())
	}
}

// readFinal reads what each database holds, directly from the primary of its highest term.
func (r *run) readFinal() (map[string]checker.Final, error) {
	for _, v := range r.sys.VMs() { // they hold connections that the reader needs
		r.note(r.sys.KillVM(v))
	}
	shape, err := driver.ShapeOf(r.cfg.Deployment)
	if err != nil {
		return nil, err
	}
	m := map[string]checker.Final{}
	for _, db := range r.service.Databases {
		f, err := r.readDatabase(shape, db.Name)
		if err != nil {
			return nil, fmt.Errorf("final rows of %s: %w", db.Name, err)
		}
		m[db.Name] = f
	}
	return m, nil
}

func (r *run) readDatabase(shape driver.Shape, database string) (checker.Final, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	f := checker.Final{Names: map[string]int64{}, Counters: map[string]int64{}}
	i, err := r.sys.Primary(database)
	if err != nil {
		return f, err
	}
	f.Term = r.sys.Terms()[database].Number
	c, err := pgx.Connect(ctx, "postgres://bench@"+i.Config.Listen+"/"+database+"?sslmode=disable")
	if err != nil {
		return f, err
	}
	defer c.Close(ctx)
	rows, err := c.Query(ctx, "SELECT request, part, page FROM "+shape.Entries)
	if err != nil {
		return f, err
	}
	if f.Entries, err = pgx.CollectRows(rows, pgx.RowToStructByPos[checker.Entry]); err != nil {
		return f, err
	}
	return f, errors.Join(readValues(ctx, c, "SELECT id, revision FROM "+shape.Names, f.Names), readValues(ctx, c, "SELECT id, n FROM "+shape.Counters, f.Counters))
}

func readValues(ctx context.Context, c *pgx.Conn, sql string, m map[string]int64) error {
	rows, err := c.Query(ctx, sql)
	if err != nil {
		return err
	}
	defer rows.Close()
	for rows.Next() {
		var id string
		var n int64
		if err := rows.Scan(&id, &n); err != nil {
			return err
		}
		m[id] = n
	}
	return rows.Err()
}
