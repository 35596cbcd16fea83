package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"parsleyscale/platform/emulator"
)

const (
	group     = "tickets-1"
	host      = "tickets-1-db"
	vmCount   = 8
	seedCount = 3
	// heartbeats is the time after which the registry entry of a silent instance is removed: three intervals of 1.2 s.
	heartbeats = 3600 * time.Millisecond
	// drainTime is how long an instance that leaves goes on after its notice: drain_ms and a little longer.
	drainTime = 7500 * time.Millisecond
)

// regions are the regions of the zones.
var regions = map[string]string{"rundu-yard": "kavango", "divundu-yard": "kavango", "grootfontein": "otjozondjupa"}

var zones = []string{"rundu-yard", "divundu-yard", "grootfontein"}

func regionOf(zone string) string { return regions[zone] }

// deployment is a small deployment: entry VMs, one database with three instances, the platform and clients.
type deployment struct {
	dir    string
	record *record
	group  *emulator.Group
	store  *emulator.Store
	vms    []*vm

	mu      sync.Mutex
	all     []*vm // also those that were removed
	clients []*client
	done    chan struct{}
	wg      sync.WaitGroup
	closing sync.Once

	lowestWeight uint64 // that a VM that is added may not exceed
}

func newDeployment(recordFile string) (*deployment, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the program is not built: %w", err)
	}
	r, err := newRecord(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "standins3")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, record: r, done: make(chan struct{})}
	if d.group, err = emulator.StartGroup(emulator.Options{
		Name: group, Zones: zones, Slots: 3, Queue: 64, Connections: 43, StatementDuration: 6 * time.Millisecond, Lag: 60 * time.Millisecond, PromoteTime: 300 * time.Millisecond, SyncReplicas: 1,
	}); err != nil {
		return nil, err
	}
	if d.store, err = emulator.StartStore(d.group); err != nil {
		return nil, err
	}
	d.store.Put("op", "config", map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "r1", "host": host, "type": "primary", "timeout_ms": 800, "target_latency_ms": 300, "priority": 1, "service": group}},
		"services": []map[string]any{{"name": group, "max_connections": 43, "sync_replicas": 1}},
		"limits":   map[string]any{"tx_idle_ms": 4000},
	})
	return d, nil
}

// close ends all processes and removes the temporary folder, unless KEEP_LOGS is set.
func (d *deployment) close() {
	d.closing.Do(func() {
		close(d.done)
		d.mu.Lock()
		list := append([]*vm(nil), d.all...)
		d.mu.Unlock()
		for _, v := range list {
			if v.cmd != nil {
				v.signal(syscall.SIGKILL)
			}
		}
		for _, v := range list {
			if v.ended != nil {
				<-v.ended
			}
		}
		d.wg.Wait()
		d.group.Close()
		d.store.Close()
		if os.Getenv("KEEP_LOGS") == "" {
			_ = os.RemoveAll(d.dir)
		} else {
			fmt.Fprintln(os.Stderr, "logs:", d.dir)
		}
	})
}

// add starts a VM at new addresses.
func (d *deployment) add(name, zone, store string, seeds []string, a addresses) (*vm, error) {
	v, err := newVM(d.dir, name, zone, store, d.store.Address(), seeds, a)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.all = append(d.all, v)
	d.mu.Unlock()
	if err := v.start(); err != nil {
		return nil, err
	}
	d.record.printf("VM %s starts", name)
	return v, nil
}

// startClients starts a client for each VM.
func (d *deployment) startClient(v *vm) {
	c := &client{name: "c" + strings.TrimPrefix(v.name, "frontend-"), address: v.caller, host: host, record: d.record}
	d.clients = append(d.clients, c)
	d.wg.Go(func() { c.run(d.done) })
}

// row returns the value of a row of the store, or nil if there is none.
func (d *deployment) row(table, key string) []byte {
	res, err := http.Get("http://" + d.store.Address() + "/rows-get?table=" + table + "&from=" + key)
	if err != nil {
		return nil
	}
	defer func() { _ = res.Body.Close() }()
	var p struct {
		Rows []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"rows"`
	}
	if json.NewDecoder(res.Body).Decode(&p) != nil || len(p.Rows) == 0 || p.Rows[0].Key != key {
		return nil
	}
	return p.Rows[0].Value
}

// join starts another replica of the database.
func (d *deployment) join(id, zone string) (*emulator.Instance, error) {
	i, err := d.group.Join(id, zone)
	d.record.printf("replica %s joins", id)
	return i, err
}

// leave ends an instance that has announced its stop: its log is gone with it, and so is its registry entry.
func (d *deployment) leave(i *emulator.Instance) {
	i.Crash()
	d.store.Put("servers", i.ID, nil)
	d.record.printf("replica %s has left", i.ID)
}

// setDeaf sets whether replicas receive nothing.
func (d *deployment) setDeaf(on bool, replicas ...*emulator.Instance) {
	for _, i := range replicas {
		i.SetReplicationPaused(on)
		d.record.printf("replica %s receives nothing: %t", i.ID, on)
	}
}

// awaitPromotion waits for a promotion, and reports whether there was one.
func (d *deployment) awaitPromotion(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if d.group.PromotionCount() > 0 {
			d.record.printf("%s is promoted", d.group.Primary().ID)
			return true
		}
	}
	return false
}

// checkLost returns the writes that were acknowledged before the first promotion, or by now without one, and are not in the log
// of the primary. Entries of the promoted instance are never removed, so that it can be asked later.
func (d *deployment) checkLost(by time.Time) []string {
	var lost []string
	for _, c := range d.clients {
		for _, w := range c.acknowledged() {
			if w.at.Before(by) && !d.group.HasWrite(d.group.Primary(), w.item, w.data) {
				lost = append(lost, fmt.Sprintf("write %s, sent at %.3f s and acknowledged at %.3f s, is not in the log of the primary %s", w.id, w.sentAt.Sub(d.record.start).Seconds(), w.at.Sub(d.record.start).Seconds(), d.group.Primary().ID))
			}
		}
	}
	d.record.printf("%d promotions, %d promote requests, %d acknowledged writes are missing", d.group.PromotionCount(), len(d.store.PromoteRequests()), len(lost))
	return lost
}
