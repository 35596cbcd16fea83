package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"parsleyscale/platform/emulator"
)

const (
	daemon   = "target/parsleyline"    // as the build line of deploy/system.toml places it
	template = "deploy/settings.jsonc" // that the platform fills in
	group    = "plume-ledger"
	database = "cortege"
	// startTimeout bounds the time until a VM reports itself ready.
	startTimeout = 10 * time.Second
)

// record is the log of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	w     io.Writer
	start time.Time
}

func newRecord(w io.Writer) *record { return &record{w: w, start: time.Now()} }

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// deployment is a platform with a database and two VMs, all on loopback addresses.
type deployment struct {
	record *record
	dir    string
	group  *emulator.Group
	store  *emulator.Store
	vms    []*vm
}

// vm is an entry VM, which runs the daemon as a process.
type vm struct {
	id, dir                  string
	ip                       string
	front, ready, peer, link int

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{} // closed when the process has ended
}

func startDeployment(r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, dir: dir}
	if err := d.start(); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) start() (err error) {
	d.group, err = emulator.StartGroup(emulator.Options{
		Name: group, Zones: []string{"castilla-burgos", "castilla-palencia", "cantabria-santander"}, Slots: 2, Connections: 16,
		StatementDuration: 3 * time.Millisecond, Lag: 8 * time.Millisecond, PromoteTime: 600 * time.Millisecond, SyncReplicas: 1,
	})
	if err != nil {
		return err
	}
	if d.store, err = emulator.StartStore(d.group); err != nil {
		return err
	}
	d.store.Put("op", "config", map[string]any{
		"version":  7,
		"routes":   []any{map[string]any{"name": "r1", "host": database, "type": "primary", "timeout_ms": 800, "target_latency_ms": 300, "priority": 1, "service": group}},
		"services": []any{map[string]any{"name": group, "max_connections": 16, "sync_replicas": 1}},
		"limits":   map[string]any{"tx_idle_ms": 4000},
	})
	for k, zone := range []string{"castilla-burgos", "castilla-palencia"} {
		v := &vm{id: fmt.Sprintf("frontend-%s-%d", zone, k+1), dir: d.dir, ip: fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), rand.IntN(250), 2+rand.IntN(200))}
		if err := v.writeSettings(zone, d.vms, d.store.Address()); err != nil {
			return err
		}
		d.vms = append(d.vms, v)
	}
	for _, v := range d.vms {
		if err := v.run(); err != nil {
			return err
		}
	}
	for _, v := range d.vms {
		if err := v.awaitReady(); err != nil {
			return err
		}
		d.record.printf("%s is ready at %s, process %d", v.id, v.frontAddress(), v.pid())
	}
	return nil
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	for _, v := range d.vms {
		v.kill()
	}
	if d.store != nil {
		d.store.Close()
	}
	if d.group != nil {
		d.group.Close()
	}
	_ = os.RemoveAll(d.dir)
}

// hasWrite reports whether the log of any instance has a write.
func (d *deployment) hasWrite(item, data string) bool {
	for _, i := range d.group.Instances() {
		if d.group.HasWrite(i, item, data) {
			return true
		}
	}
	return false
}

// writeSettings fills in the template as the platform does. The first VM is the only seed.
func (v *vm) writeSettings(zone string, earlier []*vm, store string) error {
	for _, port := range []*int{&v.front, &v.ready, &v.peer, &v.link} {
		l, err := net.Listen("tcp", v.ip+":0")
		if err != nil {
			return err
		}
		defer func() { _ = l.Close() }()
		*port = l.Addr().(*net.TCPAddr).Port
	}
	seed := v
	if len(earlier) > 0 {
		seed = earlier[0]
	}
	b, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	text := string(b)
	for placeholder, value := range map[string]any{
		"node_name|json": v.id, "region|json": "castilla", "zone|json": zone,
		"zones|json":                  map[string]string{"castilla-burgos": "castilla", "castilla-palencia": "castilla", "cantabria-santander": "cantabria"},
		"listen_addrs.frontend|json":  v.frontAddress(),
		"listen_addrs.readiness|json": fmt.Sprintf("%s:%d", v.ip, v.ready),
		"listen_addrs.control|json":   fmt.Sprintf("%s:%d", v.ip, v.peer),
		"seeds|json":                  []string{fmt.Sprintf("%s:%d", seed.ip, seed.peer)},
		"platform.address|json":       store,
		"cloud_api.address|json":      store,
		"bounds.enforce_fencing|json": true,
		"limits.cpu_share":            0.4,
		"limits.link_mbps":            1000.0,
		"bounds.grace_s":              6,
		"internal_ports.0":            v.link,
	} {
		j, err := json.Marshal(value)
		if err != nil {
			return err
		}
		text = strings.ReplaceAll(text, "{{"+placeholder+"}}", string(j))
	}
	text = strings.ReplaceAll(text, "{{ip}}", v.ip)
	if strings.Contains(text, "{{") {
		return fmt.Errorf("%s has a placeholder that this stand-in does not fill in", template)
	}
	return os.WriteFile(v.settingsFile(), []byte(text), 0o600)
}

func (v *vm) settingsFile() string { return filepath.Join(v.dir, v.id+".jsonc") }

func (v *vm) frontAddress() string { return fmt.Sprintf("%s:%d", v.ip, v.front) }

// run starts the daemon with the command of the deploy file.
func (v *vm) run() error {
	log, err := os.OpenFile(filepath.Join(v.dir, v.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(daemon, "--settings", v.settingsFile())
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	v.mu.Lock()
	v.process, v.ended = cmd, ended
	v.mu.Unlock()
	return nil
}

func (v *vm) pid() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return 0
	}
	return v.process.Process.Pid
}

// kill kills the process and waits for its end.
func (v *vm) kill() {
	v.mu.Lock()
	cmd, ended := v.process, v.ended
	v.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
}

// awaitReady asks the VM as the platform does until it reports itself ready.
func (v *vm) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		res, err := client.Get(fmt.Sprintf("http://%s:%d/ready", v.ip, v.ready))
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s was not ready within %s", v.id, startTimeout)
}
