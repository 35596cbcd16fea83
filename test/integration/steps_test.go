package integration

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"parsleyscale/internal/group/connector"
)

// step is a command of a case. A nil error is success; the text goes to the
// script's standard output and the error to its standard error.
type step struct {
	use string // arguments, for the error of a wrong call
	min int    // number of arguments
	run func(s *system, o stepOptions, args []string) (string, error)
}

// stepOptions are what a step's arguments begin with.
type stepOptions struct {
	within time.Duration
	system options
	setenv func(name, value string)
}

// steps is the table of the commands that cases use. A command that waits takes -within=D.
var steps = map[string]step{
	"start":    {"[-vms=DC,...] [-receive=D] [-apply=D] [-connections=N] [-notice=D] [-secure]", 0, start},
	"addvm":    {"VM DC", 2, addVM},
	"launch":   {"PROCESS", 1, launch},
	"signal":   {"KILL|STOP|CONT|TERM PROCESS", 2, signalProcess},
	"exits":    {"CODE PROCESS", 2, exits},
	"ready":    {"VM", 1, ready},
	"cut":      {"DC DC (from the first to the second)", 2, cut},
	"heal":     {"DC DC", 2, heal},
	"silence":  {"PROCESS", 1, silence},
	"delay":    {"D (added to each direction between data centres)", 1, delay},
	"faults":   {"JSON (of the platform's stand-in)", 1, faults},
	"open":     {"SESSION VM [PARAMETER=VALUE]...", 2, openSession},
	"close":    {"SESSION", 1, closeSession},
	"sql":      {"SESSION SQL", 2, runSQL},
	"key":      {"SESSION (gives the next write a new key)", 1, setKey},
	"send":     {"SESSION SQL (in the background)", 2, sendSQL},
	"receive":  {"SESSION", 1, receiveSQL},
	"load":     {"VM...", 1, startLoad},
	"advance":  {"COUNT (until the load has got this many more acknowledgements)", 1, advance},
	"check":    {"(ends the load and compares its entries with all instances)", 0, checkLoad},
	"gap":      {"(fails when the load had a longer gap than -within)", 0, checkGap},
	"role":     {"primary|replica INSTANCE", 2, checkRole},
	"replaced": {"INSTANCE (until another instance is primary)", 1, replaced},
	"agree":    {"(until all instances hold the same log and rows)", 0, agree},
	"errors":   {"REGEXP (that all errors of the load must match)", 1, checkErrors},
	"pauseon":  {"EVENT (stop the VM that logs the event first; sets $PAUSED)", 1, pauseOn},
	"gateways": {"DC (sets $ENTRY, $GATEWAY1 and $GATEWAY2)", 1, gateways},
	"ended":    {"SESSION CODE (the VM ended the idle session)", 2, checkEnded},
	"cancel":   {"SESSION VM (that gets the cancel request)", 2, cancelSession},
	"avoids":   {"SESSION INSTANCE COUNT (reads are not served by the instance)", 3, avoids},
	"uses":     {"INSTANCE COUNT (ordinary connections at most)", 2, uses},
	"token":    {"SESSION (sets $TOKEN)", 1, token},
	"forge":    {"SESSION (sets $FORGED to its token with another floor)", 1, forge},
	"raw":      {"VM HEX (after the start-up)", 2, sendRaw},
	"oversize": {"SESSION BYTES", 2, oversize},
	"peer":     {"VM authority|other|none (TLS connection to the peer address)", 2, dialPeer},
	"variant":  {"FILE NAME (the sheet with one more read kind)", 2, variant},
	"race":     {"BASE FILE... (all applied at once, one wins)", 2, race},
	"audit":    {"COUNT (versions in the audit trail)", 1, checkAudit},
	"watch":    {"(from now on, no VM may go back to an older version)", 0, watch},
	"version":  {"NUMBER VM...", 2, checkVersion},
	"ctl":      {"CODE ARGUMENT... (parsleyctl and its exit code)", 2, runCtl},
	"sleep":    {"D", 1, sleep},
}

func commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	m := map[string]func(ts *testscript.TestScript, neg bool, args []string){}
	for name, c := range steps {
		m[name] = func(ts *testscript.TestScript, neg bool, args []string) { c.do(ts, name, neg, args) }
	}
	return m
}

func systemOf(ts *testscript.TestScript) *system { return ts.Value(systemKey{}).(*system) }

func (c step) do(ts *testscript.TestScript, name string, neg bool, args []string) {
	var o stepOptions
	f := flag.NewFlagSet(name, flag.ContinueOnError)
	f.SetOutput(io.Discard)
	f.DurationVar(&o.within, "within", 0, "")
	vms := f.String("vms", "burgos,palencia,santander", "")
	f.DurationVar(&o.system.receiveDelay, "receive", 0, "")
	f.DurationVar(&o.system.applyDelay, "apply", 0, "")
	f.DurationVar(&o.system.stopNotice, "notice", 500*time.Millisecond, "")
	f.IntVar(&o.system.connections, "connections", 40, "")
	f.BoolVar(&o.system.isSecure, "secure", false, "")
	if err := f.Parse(args); err != nil || f.NArg() < c.min {
		ts.Fatalf("usage: %s %s", name, c.use)
	}
	o.setenv = ts.Setenv
	o.system.vms = strings.Split(*vms, ",")
	begun := time.Now()
	text, err := c.run(systemOf(ts), o, f.Args())
	fmt.Fprint(ts.Stdout(), text)
	if err != nil {
		fmt.Fprintln(ts.Stderr(), textOf(err))
	}
	ts.Logf("[%d ms]", time.Since(begun).Milliseconds())
	if neg && err == nil {
		ts.Fatalf("%s: unexpected success", name)
	}
	if !neg && err != nil {
		ts.Fatalf("%s: %s", name, textOf(err))
	}
}

func start(s *system, o stepOptions, _ []string) (string, error) { return "", s.start(o.system) }

func addVM(s *system, _ stepOptions, args []string) (string, error) {
	if err := s.listVM(args[0], args[1]); err != nil {
		return "", err
	}
	return "", s.launch(args[0])
}

func launch(s *system, _ stepOptions, args []string) (string, error) { return "", s.launch(args[0]) }

var signals = map[string]syscall.Signal{"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM}

func (s *system) process(name string) (*process, error) {
	p, ok := s.running[name]
	if !ok {
		return nil, fmt.Errorf("unknown process %q", name)
	}
	return p, nil
}

func signalProcess(s *system, _ stepOptions, args []string) (string, error) {
	p, err := s.process(args[1])
	if err != nil {
		return "", err
	}
	if args[0] == "KILL" {
		return "", p.kill()
	}
	return "", p.signal(signals[args[0]])
}

func exits(s *system, o stepOptions, args []string) (string, error) {
	p, err := s.process(args[1])
	if err != nil {
		return "", err
	}
	code, err := p.exitCode(o.within)
	if err == nil && strconv.Itoa(code) != args[0] {
		err = fmt.Errorf("%s: exit code %d", args[1], code)
	}
	return "", err
}

func ready(s *system, o stepOptions, args []string) (string, error) {
	return "", retry(o.within, func() error { return s.ready(args[0]) })
}

func cut(s *system, _ stepOptions, args []string) (string, error) {
	s.net.Cut(args[0], args[1])
	return "", nil
}

func heal(s *system, _ stepOptions, args []string) (string, error) {
	s.net.Heal(args[0], args[1])
	return "", nil
}

func silence(s *system, _ stepOptions, args []string) (string, error) {
	a, ok := s.hosts[args[0]]
	if !ok {
		return "", fmt.Errorf("unknown process %q", args[0])
	}
	s.net.SilenceHost(a)
	return "", nil
}

func delay(s *system, _ stepOptions, args []string) (string, error) {
	d, err := time.ParseDuration(args[0])
	for _, a := range dataCentres {
		for _, b := range dataCentres {
			if a != b {
				s.net.SetExtraDelay(a.DataCentre, b.DataCentre, d)
			}
		}
	}
	return "", err
}

func faults(s *system, _ stepOptions, args []string) (string, error) {
	return "", s.control("faults", rawJSON(args[0]))
}

type rawJSON string

// MarshalJSON implements json.Marshaler.
func (r rawJSON) MarshalJSON() ([]byte, error) { return []byte(r), nil }

func sleep(_ *system, _ stepOptions, args []string) (string, error) {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return "", err
}

func startLoad(s *system, _ stepOptions, args []string) (string, error) {
	if s.load != nil {
		return "", errors.New("a load runs already")
	}
	s.load = s.startLoad(args)
	return "", nil
}

func advance(s *system, o stepOptions, args []string) (string, error) {
	more, err := strconv.Atoi(args[0])
	if err != nil {
		return "", err
	}
	want := s.load.acknowledged() + more
	return "", retry(o.within, func() error {
		if n := s.load.acknowledged(); n < want {
			return fmt.Errorf("%d writes are acknowledged, want %d", n, want)
		}
		return nil
	})
}

func checkLoad(s *system, _ stepOptions, _ []string) (string, error) {
	s.load.stop()
	if err := retry(5*time.Second, s.agreement); err != nil {
		return "", err
	}
	p, err := s.primary()
	if err != nil {
		return "", err
	}
	rows, err := s.rows(p.Name)
	if err != nil {
		return "", err
	}
	return s.load.summary(), s.load.check(rows)
}

func checkGap(s *system, o stepOptions, _ []string) (string, error) {
	if g := s.load.gap(); g > o.within {
		return "", fmt.Errorf("no write was acknowledged for %v", g)
	}
	return "", nil
}

func checkRole(s *system, o stepOptions, args []string) (string, error) {
	return "", retry(o.within, func() error {
		st, err := s.status(args[1])
		if err == nil && st.Role != args[0] {
			err = fmt.Errorf("%s is %s", args[1], st.Role)
		}
		return err
	})
}

func replaced(s *system, o stepOptions, args []string) (string, error) {
	var name string
	err := retry(o.within, func() error {
		p, err := s.primary()
		if err == nil && p.Name == args[0] {
			err = fmt.Errorf("%s is primary", p.Name)
		}
		name = p.Name
		return err
	})
	o.setenv("PRIMARY", name)
	return name + "\n", err
}

func agree(s *system, o stepOptions, _ []string) (string, error) {
	return "", retry(o.within, s.agreement)
}

// agreement reports the first running instance whose log or rows differ from the primary's.
func (s *system) agreement() error {
	p, err := s.primary()
	if err != nil {
		return err
	}
	want, err := s.rows(p.Name)
	if err != nil {
		return err
	}
	for _, i := range s.sheet.Services[0].Databases[0].Instances {
		if i.Name == p.Name || !s.running[i.Name].isRunning() {
			continue
		}
		st, err := s.status(i.Name)
		if err != nil {
			return err
		}
		if st.Role != connector.RoleReplica || st.Last != p.Last || st.Applied != p.Last {
			return fmt.Errorf("%s: role %s, last %v, applied %v; primary %s: last %v", i.Name, st.Role, st.Last, st.Applied, p.Name, p.Last)
		}
		rows, err := s.rows(i.Name)
		if err != nil {
			return err
		}
		if !slices.Equal(rows, want) {
			return fmt.Errorf("%s has %d entries, primary %s has %d", i.Name, len(rows), p.Name, len(want))
		}
	}
	return nil
}

func runCtl(s *system, o stepOptions, args []string) (string, error) {
	var text string
	err := retry(o.within, func() error {
		code, out, errText, err := s.ctl(args[1:]...)
		text = out + errText
		if err == nil && strconv.Itoa(code) != args[0] {
			err = fmt.Errorf("parsleyctl: exit code %d: %s", code, errText)
		}
		return err
	})
	return text, err
}

// checkErrors reports an error of the load that is not among the expected ones.
func checkErrors(s *system, _ stepOptions, args []string) (string, error) {
	expected, err := regexp.Compile(args[0])
	if err != nil {
		return "", err
	}
	s.load.stop()
	for text, n := range s.load.errs {
		if !expected.MatchString(text) {
			return "", fmt.Errorf("%d times: %s", n, text)
		}
	}
	return "", nil
}
