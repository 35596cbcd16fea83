package integration

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// casesAtOnce bounds the processes: a case has at most ten.
const casesAtOnce = 2

// logTail is the part of each process's log that is printed after a failure, in bytes.
const logTail = 16 << 10

type systemKey struct{}

// TestCases runs the cases in testdata. Each says which failure it guards against.
func TestCases(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	bin := build(t)
	slots := make(chan struct{}, casesAtOnce)
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Cmds:                commands(),
		Setup: func(env *testscript.Env) error {
			slots <- struct{}{}
			s := newSystem(bin, env.WorkDir)
			env.Values[systemKey{}] = s
			env.Defer(func() {
				defer func() { <-slots }()
				end(env.T().(reporter), s)
			})
			return nil
		},
	})
}

// reporter is the part of testing.T that the end of a case needs.
type reporter interface {
	Errorf(format string, args ...any)
	Failed() bool
	Log(args ...any)
}

// end stops a case's system and prints the logs of its processes if the case failed.
func end(t reporter, s *system) {
	if err := s.close(); err != nil {
		t.Errorf("end of the case: %v", err)
	}
	if t.Failed() {
		t.Log(s.logs())
	}
}

// build builds the programs once.
func build(t *testing.T) string {
	bin := t.TempDir()
	c := exec.Command("go", "build", "-o", bin, "parsleyscale/cmd/parsleyscale", "parsleyscale/cmd/parsleyctl", "parsleyscale/cmd/parsleystub")
	if out, err := c.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

// logs returns the ends of the processes' logs and what the load saw.
func (s *system) logs() string {
	var b strings.Builder
	files, _ := filepath.Glob(filepath.Join(s.dir, "*.log"))
	slices.Sort(files)
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			text = []byte(err.Error())
		}
		fmt.Fprintf(&b, "-- %s --\n%s\n", filepath.Base(f), text[max(0, len(text)-logTail):])
	}
	if s.load != nil {
		b.WriteString("-- load --\n" + s.load.summary())
	}
	return b.String()
}

// ctl runs parsleyctl and returns its exit code and its output.
func (s *system) ctl(args ...string) (code int, stdout, stderr string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	c := exec.CommandContext(ctx, filepath.Join(s.bin, "parsleyctl"), args...)
	c.Env = append(os.Environ(), "PARSLEYSCALE_PLATFORM=http://"+s.address("platform", platformPort), "USER=lindiwe")
	c.Dir = s.dir
	var out, text bytes.Buffer
	c.Stdout, c.Stderr = &out, &text
	err = c.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		err = nil
	}
	return c.ProcessState.ExitCode(), out.String(), text.String(), err
}

// createTable makes the table of the load.
func (s *system) createTable() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	p := map[string]string{}
	if s.isSecure {
		p = map[string]string{"tls": "authority", "password": callerPassword}
	}
	return retry(startTimeout, func() error {
		c, err := s.connect(ctx, s.vms[0], p)
		if err != nil {
			return err
		}
		defer c.Close(ctx)
		return query(ctx, c, "CREATE TABLE IF NOT EXISTS entries (value text NOT NULL)").err
	})
}

// rows returns the entries that an instance holds, sorted, past the proxy.
func (s *system) rows(instance string) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := s.direct(ctx, instance)
	if err != nil {
		return nil, err
	}
	defer c.Close(ctx)
	a := query(ctx, c, "SELECT value FROM entries ORDER BY value")
	return a.rows, a.err
}
