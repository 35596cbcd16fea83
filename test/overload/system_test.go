package overload

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"parsleyscale/internal/config/loader"
	"parsleyscale/internal/platform/client"
	"parsleyscale/internal/sheet/parser"
	"parsleyscale/platform/emulator"
)

const (
	group    = "grp" // of the instances behind the line protocol
	database = "orders"
	// bigItem is an item whose value has bigBytes bytes: as many as fit into a message of 1 MiB beside its other fields.
	bigItem  = "big"
	bigBytes = 1<<20 - 1024
)

// Ports of a host.
const (
	clientPort = 5432 + iota
	readyPort
	peerPort
	linkPort
	adminPort
	platformPort
	instancePort
)

// newHost returns a loopback IP number that no other host of the test uses.
func newHost() string {
	return fmt.Sprintf("127.%d.%d.%d", 20+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250))
}

func address(host string, port int) string { return fmt.Sprintf("%s:%d", host, port) }

// target is a listening address of a daemon, with what a client needs to talk to it.
type target struct {
	address string
	protocol
	daemon *process
	// also is the address for clients if target is one for other VMs; nil otherwise.
	also *target
}

// startLine starts a daemon with the line protocol and returns its address for clients.
func startLine(t *testing.T) *target {
	t.Helper()
	g, err := emulator.StartGroup(emulator.Options{Name: group, Zones: []string{"z1", "z2", "z3"}, Slots: 8, Queue: 40, Connections: 16, SyncReplicas: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	store, err := emulator.StartStore(g)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	store.Put("op", "config", map[string]any{
		"version":  1,
		"routes":   []any{map[string]any{"name": "r1", "host": database, "type": "primary", "timeout_ms": 4000, "target_latency_ms": 2000, "priority": 1, "service": group}},
		"services": []any{map[string]any{"name": group, "max_connections": 16, "sync_replicas": 1}},
		"limits":   map[string]any{"tx_idle_ms": 4000},
	})
	host, dir := newHost(), t.TempDir()
	settings := map[string]any{
		"id": "vm-1", "region": "r1", "dataCentre": "z1", "dataCentres": map[string]string{"z1": "r1", "z2": "r1", "z3": "r2"},
		"callerAddress": address(host, clientPort), "readyAddress": address(host, readyPort), "peerAddress": address(host, peerPort),
		"linkAddress": address(host, linkPort), "adminAddress": address(host, adminPort), "seeds": []string{address(host, peerPort)},
		"store": store.Address(), "orders": store.Address(), "linkMbps": 1000, "coreShare": 0.4, "memoryMB": memoryMB, "maxDescriptors": maxDescriptors,
	}
	file := writeJSON(t, dir, "vm.json", settings)
	p := startProcess(t, dir, "vm-1", "parsleyline", "--settings", file)
	awaitReady(t, p, address(host, readyPort))
	return &target{address: address(host, clientPort), daemon: p, protocol: lineProtocol{start: "START " + database + " someone\r\n"}}
}

// startLink starts a daemon with the line protocol and returns its address for other VMs.
func startLink(t *testing.T) *target {
	t.Helper()
	client := startLine(t)
	host, _, _ := net.SplitHostPort(client.address)
	return &target{
		address: address(host, linkPort), daemon: client.daemon, also: client,
		protocol: lineProtocol{start: "START " + group + " parsleyscale i-" + group + "-1\r\n"},
	}
}

// startPostgres starts a daemon with the PostgreSQL protocol and returns its address for clients.
func startPostgres(t *testing.T) *target {
	t.Helper()
	dir, platform := t.TempDir(), newHost()
	startProcess(t, dir, "platform", "parsleystub", "platform", "--listen="+address(platform, platformPort))
	awaitListening(t, address(platform, platformPort))
	startSQLInstances(t, dir, address(platform, platformPort))
	host := newHost()
	vm := client.VM{ID: "vm-1", Address: address(host, peerPort), Region: "r1", DataCentre: "z1", State: client.VMLive}
	put(t, address(platform, platformPort), "vms/vm-1", vm)
	cfg := loader.Default()
	cfg.ID, cfg.DataCentre, cfg.Region = "vm-1", "z1", "r1"
	cfg.CallerAddress, cfg.PeerAddress, cfg.AdminAddress = address(host, clientPort), address(host, peerPort), address(host, adminPort)
	cfg.Platform = "http://" + address(platform, platformPort)
	cfg.TokenKeys, cfg.PlainText = []string{"overload-test-key"}, true
	cfg.Limits.MessageBytes = 1 << 20
	cfg.MemoryMB, cfg.MaxDescriptors = memoryMB, maxDescriptors
	p := startProcess(t, dir, "vm-1", "parsleyscale", "--settings", writeJSON(t, dir, "vm.json", cfg))
	awaitReady(t, p, address(host, adminPort))
	target := &target{address: address(host, clientPort), daemon: p, protocol: postgresProtocol{}}
	if err := retry(startTimeout, func() error { return target.query("CREATE TABLE IF NOT EXISTS entries (item text, value text)") }); err != nil {
		t.Fatal(err)
	}
	return target
}

// startSQLInstances starts a group of instances and lists it in the platform's sheet.
func startSQLInstances(t *testing.T, dir, platform string) {
	t.Helper()
	db := parser.Database{Name: database}
	for n, zone := range []string{"z1", "z2", "z3"} {
		name, a := fmt.Sprintf("%s-%d", database, n+1), address(newHost(), instancePort)
		args := []string{"instance", "--name=" + name, "--dir=" + filepath.Join(dir, name), "--listen=" + a, "--control-connections=64", "--primary"}
		if n > 0 {
			args[len(args)-1] = "--upstream=" + db.Instances[0].Address
		}
		startProcess(t, dir, name, "parsleystub", args...)
		awaitListening(t, a)
		db.Instances = append(db.Instances, parser.Instance{Name: name, Address: a, DataCentre: zone, Slots: 4, Connections: 16, State: parser.Serving})
	}
	file := writeJSON(t, dir, "sheet.json", parser.Sheet{
		Deployment: "overload",
		Regions:    []parser.Region{{Name: "r1", DataCentres: []string{"z1", "z2"}}, {Name: "r2", DataCentres: []string{"z3"}}},
		Services:   []parser.Service{{Name: group, ReadKinds: []parser.ReadKind{{Name: "any"}}, Databases: []parser.Database{db}}},
	})
	bin, err := binaries()
	if err != nil {
		t.Fatal(err)
	}
	c := exec.Command(filepath.Join(bin, "parsleyctl"), "sheet", "apply", "--base=0", file)
	c.Env = append(os.Environ(), "PARSLEYSCALE_PLATFORM=http://"+platform, "USER=lindiwe")
	if out, err := c.CombinedOutput(); err != nil {
		t.Fatalf("parsleyctl: %v\n%s", err, out)
	}
}

func writeJSON(t *testing.T, dir, name string, content any) string {
	t.Helper()
	b, err := json.Marshal(content)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, name)
	if err := os.WriteFile(file, b, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// put sets a part of the stand-in of the platform.
func put(t *testing.T, platform, path string, body any) {
	t.Helper()
	b, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.NewRequest(http.MethodPut, "http://"+platform+"/control/"+path, strings.NewReader(string(b)))
	if err != nil {
		t.Fatal(err)
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = a.Body.Close()
	if a.StatusCode >= http.StatusMultipleChoices {
		t.Fatalf("platform: %s: %s", path, a.Status)
	}
}

func awaitListening(t *testing.T, address string) {
	t.Helper()
	if err := retry(startTimeout, func() error {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return err
		}
		return c.Close()
	}); err != nil {
		t.Fatal(err)
	}
}

// awaitReady waits until a daemon reports itself ready.
func awaitReady(t *testing.T, p *process, address string) {
	t.Helper()
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if err := retry(startTimeout, func() error {
		r, err := c.Get("http://" + address + "/ready")
		if err != nil {
			return err
		}
		defer func() { _ = r.Body.Close() }()
		b, err := io.ReadAll(r.Body)
		if err == nil && r.StatusCode != http.StatusOK {
			err = errors.New(r.Status + " " + strings.TrimSpace(string(b)))
		}
		return err
	}); err != nil {
		t.Fatalf("%s is not ready: %v", p.name, err)
	}
}
