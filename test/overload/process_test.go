package overload

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// What the platform gives to the process. Both are below those of the smallest VM (184 MB, 4,200 descriptors), so that
// small crowds suffice.
const (
	memoryMB       = 128
	maxDescriptors = 300
)

// pollInterval is how often the usage of the process is read.
const pollInterval = 5 * time.Millisecond

// startTimeout bounds the time until a process accepts connections and reports itself ready.
const startTimeout = 30 * time.Second

// binaries returns the directory of the programs, which are built once.
var binaries = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "overload")
	if err != nil {
		return "", err
	}
	c := exec.Command("go", "build", "-o", dir, "parsleyscale/cmd/parsleyline", "parsleyscale/cmd/parsleyscale", "parsleyscale/cmd/parsleyctl", "parsleyscale/cmd/parsleystub")
	if out, err := c.CombinedOutput(); err != nil {
		return dir, fmt.Errorf("build: %w\n%s", err, out)
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if dir, _ := binaries(); dir != "" {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// process is a running program.
type process struct {
	name string
	log  string // file with its output
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

// startProcess starts a program, which is killed at the end of the test.
func startProcess(t *testing.T, dir, name, program string, args ...string) *process {
	t.Helper()
	bin, err := binaries()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{name: name, log: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	f, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	p.cmd = exec.Command(filepath.Join(bin, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = f, f
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			t.Logf("end of the log of %s:\n%s", name, p.logEnd())
		}
	})
	return p
}

// logEnd returns the last lines that the process wrote.
func (p *process) logEnd() string {
	b, _ := os.ReadFile(p.log)
	return string(b[max(0, len(b)-1500):])
}

func (p *process) isRunning() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// usage is the largest use of resources by a process so far.
type usage struct{ memoryBytes, descriptors int }

// isWithinBounds reports whether the usage is within what the platform gives to the process.
func (u usage) isWithinBounds() bool {
	return u.memoryBytes <= memoryMB<<20 && u.descriptors <= maxDescriptors
}

// watch follows the usage of a process until stop is called. exceeded is closed once the usage is over the bounds, so
// that a crowd can stop before a faulty process takes the memory of the machine.
type watch struct {
	exceeded chan struct{}
	stopped  chan struct{}
	done     chan struct{}
	peak     usage // read after done
}

func startWatch(p *process) *watch {
	w := &watch{exceeded: make(chan struct{}), stopped: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for hasExceeded := false; ; time.Sleep(pollInterval) {
			if u, err := readUsage(p.cmd.Process.Pid); err == nil {
				w.peak = usage{max(w.peak.memoryBytes, u.memoryBytes), max(w.peak.descriptors, u.descriptors)}
			}
			if !hasExceeded && !w.peak.isWithinBounds() {
				hasExceeded = true
				close(w.exceeded)
			}
			select {
			case <-w.stopped:
				return
			default:
			}
		}
	}()
	return w
}

// stop reads the usage once more and returns the peak.
func (w *watch) stop() usage {
	close(w.stopped)
	<-w.done
	return w.peak
}

// readUsage returns the largest resident memory of a process so far and its open descriptors now.
func readUsage(pid int) (usage, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return usage{}, err
	}
	_, rest, ok := strings.Cut(string(b), "VmHWM:")
	if !ok {
		return usage{}, errors.New("no VmHWM in the status of the process")
	}
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		return usage{}, err
	}
	d, err := os.Open(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return usage{}, err
	}
	defer func() { _ = d.Close() }()
	names, err := d.Readdirnames(-1)
	return usage{memoryBytes: kilobytes << 10, descriptors: len(names)}, err
}

// retry calls f until it succeeds or the limit has passed.
func retry(limit time.Duration, f func() error) error {
	for end := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		err := f()
		if err == nil {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("after %v: %w", limit, err)
		}
	}
}
