package soak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed")
	runs      = flag.Int("runs", 2, "number of seeds")
	length    = flag.Duration("length", 8*time.Second, "time of the faults of a run")
	vmCount   = flag.Int("vms", 4, "VMs")
	groups    = flag.Int("groups", 0, "groups of instances; 0: one or two by the seed")
	clients   = flag.Int("clients", 3, "clients for each VM")
	logs      = flag.String("logs", "", "directory for the logs and timelines of failing seeds")
	keepAll   = flag.Bool("keep", false, "keep the logs and timelines of all seeds")
	only      = flag.String("kinds", "", "kinds of faults to draw from, separated by commas; if empty, a third of all by the seed")
	program   = flag.String("parsleyline", "", "program of the VMs; built from this tree if it is empty")
)

// settleTime is how long the clients go on after the last fault, until late promotions were carried out.
const settleTime = 4 * time.Second

// built is the directory with the program that is built from this tree.
var built = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return "", err
	}
	if out, err := exec.Command("go", "build", "-o", dir, "parsleyscale/cmd/parsleyline").CombinedOutput(); err != nil {
		return dir, fmt.Errorf("build: %w\n%s", err, out)
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	if *program == "" {
		if dir, _ := built(); dir != "" {
			_ = os.RemoveAll(dir)
		}
	}
	os.Exit(code)
}

// TestSoak guards against acknowledged commits that a promoted instance lacks, writes that were promised not to be kept but
// are, writes that take effect twice and reads that lack the session's own writes, under faults that overlap.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	p := *program
	if p == "" {
		dir, err := built()
		if err != nil {
			t.Fatal(err)
		}
		p = filepath.Join(dir, "parsleyline")
	}
	for k := range *runs {
		seed := *firstSeed + uint64(k)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { soak(t, seed, p) })
	}
}

// soak plays a seed.
func soak(t *testing.T, seed uint64, p string) {
	dir := t.TempDir()
	n := *groups
	if n == 0 {
		n = 1 + int(seed%2)
	}
	s := newSystem(t, dir, p, *vmCount, n)
	c := startCrowd(s, *clients**vmCount, seed)
	s.play(newPlan(seed, *length, n), p)
	time.Sleep(settleTime)
	c.stop()
	v := judge(s, &c.ledger)
	all, unknown := s.gates.sources.counts()
	t.Logf("%v; %d of %d connections from unknown VMs", v, unknown, all)
	for _, text := range v.findings() {
		t.Error(text)
	}
	if v.acked == 0 {
		t.Error("no write was acknowledged")
	}
	if *logs == "" || v.isClean() && !*keepAll {
		return
	}
	if err := s.keep(filepath.Join(*logs, fmt.Sprintf("seed-%d", seed)), v); err != nil {
		t.Error(err)
	}
}

// keep writes the timeline, the findings and the logs of the VMs to a directory.
func (s *system) keep(dir string, v *verdict) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, vm := range s.vms {
		if err := s.timeline.addLog(vm.id, vm.logFile); err != nil {
			return err
		}
		b, err := os.ReadFile(vm.logFile)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, vm.id+".log"), b, 0o644); err != nil {
			return err
		}
	}
	f, err := os.Create(filepath.Join(dir, "timeline.txt"))
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(f, v)
	for _, text := range v.findings() {
		_, _ = fmt.Fprintln(f, text)
	}
	_, _ = fmt.Fprintln(f)
	s.timeline.write(f)
	return f.Close()
}
