package explorer

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

func vmName(k int) string { return fmt.Sprintf("vm%d", k) }

// player carries out the events of a history.
type player struct {
	w *world
	h history

	mu       sync.Mutex
	isClosed bool
	nodes    map[string]*node
	joined   int
}

func (p *player) startNode(k int) {
	id := vmName(k)
	rank := (k + int(p.h.seed%3)) % p.h.vms
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isClosed {
		p.nodes[id] = startNode(p.w, id, rank)
	}
}

func (p *player) close() {
	p.mu.Lock()
	p.isClosed = true
	nodes := p.nodes
	p.mu.Unlock()
	for _, n := range nodes {
		n.stop()
	}
}

// resolve returns the identity that a name stands for at present, or "" if there is none.
func (p *player) resolve(name string) string {
	if name == "" || strings.HasPrefix(name, "vm") || name == storeService || name == platformService {
		return name
	}
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	switch {
	case name == "P":
		return p.w.primary
	case name == "N":
		if p.joined == 0 {
			return ""
		}
		return "n" + strconv.Itoa(p.joined)
	}
	n, _ := strconv.Atoi(name[1:])
	for _, i := range p.w.sortedInstances() {
		if i.id != p.w.primary {
			if n--; n == 0 {
				return i.id
			}
		}
	}
	return ""
}

func (p *player) playEvent(e event) {
	w := p.w
	if !w.sleep(e.at) {
		return
	}
	a, b := p.resolve(e.a), p.resolve(e.b)
	if e.a != "" && a == "" || a == b && a != "" {
		return
	}
	w.logf("event: %s %s %s (%s %s) for %s", e.kind, a, b, e.a, e.b, e.lasts)
	if p.playLateness(e, a) {
		return
	}
	switch e.kind {
	case cutPaths:
		p.during(e, w.cuts, pair(a, b))
	case latePaths:
		p.during(e, w.late, pair(a, b))
	case lossyAnswers:
		p.during(e, w.lossy, pair(a, b))
	case restore:
		w.mu.Lock()
		w.away++
		from := w.now() - e.extra
		w.mu.Unlock()
		if w.sleep(e.lasts) {
			w.restore(from)
		}
		w.mu.Lock()
		w.away--
		w.mu.Unlock()
	case lapse:
		w.mu.Lock()
		w.away++
		w.mu.Unlock()
		w.sleep(e.lasts)
		w.mu.Lock()
		w.lapse()
		w.away--
		w.mu.Unlock()
	case silence:
		p.during(e, w.cuts, pair(a, storeService))
	case isolate, outage:
		var pairs []string
		for k := range p.h.vms {
			if vm := vmName(k); vm != b {
				pairs = append(pairs, pair(a, vm))
			}
		}
		p.during(e, w.cuts, pairs...)
	case splitPrimary:
		var pairs []string
		w.mu.Lock()
		for _, i := range w.sortedInstances() {
			if i.id != a && i.id != b {
				pairs = append(pairs, pair(a, i.id))
			}
		}
		w.mu.Unlock()
		p.during(e, w.cuts, pairs...)
	case crash:
		w.crash(a)
		if w.sleep(e.lasts) {
			w.restart(a)
		}
	case deaf:
		p.change(a, func(i *instance) { i.isDeaf = true })
		w.sleep(e.lasts)
		p.change(a, func(i *instance) { i.isDeaf = false })
	case slow:
		var old time.Duration
		p.change(a, func(i *instance) { old, i.delay = i.delay, e.extra })
		w.sleep(e.lasts)
		p.change(a, func(i *instance) { i.delay = old })
	case join:
		w.mu.Lock()
		p.joined++
		id := "n" + strconv.Itoa(p.joined)
		w.mu.Unlock()
		w.join(id, e.lasts, e.extra)
	case leave:
		w.leave(a, e.lasts)
	case restartVM:
		w.awaitRun(a)
		p.mu.Lock()
		n := p.nodes[a]
		delete(p.nodes, a)
		p.mu.Unlock()
		if n == nil {
			return
		}
		n.stop()
		if w.sleep(e.lasts) {
			k, _ := strconv.Atoi(a[2:])
			p.startNode(k)
			w.logf("%s has started", a)
		}
	}
}

// during counts faults on pairs for the duration of an event.
func (p *player) during(e event, faults map[string]int, pairs ...string) {
	add := func(n int) {
		p.w.mu.Lock()
		defer p.w.mu.Unlock()
		for _, k := range pairs {
			faults[k] += n
		}
	}
	add(1)
	p.w.sleep(e.lasts)
	add(-1)
	p.w.logf("event: %s %v has ended", e.kind, pairs)
}

func (p *player) change(id string, change func(i *instance)) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	if i := p.w.instances[id]; i != nil {
		change(i)
	}
}
