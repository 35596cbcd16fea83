package runner

import (
	"time"

	"parsleyscale/internal/bench/builder"
)

// watcher notes the changes of primaries.
type watcher struct {
	r       *run
	quit    chan struct{}
	done    chan struct{}
	last    map[string]builder.Term
	changes []Change
}

func (r *run) watch() *watcher {
	w := &watcher{r: r, quit: make(chan struct{}), done: make(chan struct{}), last: r.sys.Terms()}
	go w.loop()
	return w
}

func (w *watcher) loop() {
	defer close(w.done)
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-w.quit:
			return
		case <-tick.C:
			w.look()
		}
	}
}

func (w *watcher) look() {
	for db, t := range w.r.sys.Terms() {
		if t.Number > w.last[db].Number {
			w.changes = append(w.changes, Change{Database: db, Primary: t.Primary, Term: t.Number, At: w.r.load.Now()})
			w.last[db] = t
		}
	}
	if p := w.r.cfg.Progress; p != nil {
		a, n := w.r.load.Progress()
		p(w.r.load.Now(), a, n)
	}
}

// stop ends the watch and returns the changes.
func (w *watcher) stop() []Change {
	close(w.quit)
	<-w.done
	return w.changes
}
