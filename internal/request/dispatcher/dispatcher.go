package dispatcher

import (
	"context"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/member/tracker"
	"parsleyscale/internal/request/exchanger"
	"parsleyscale/internal/request/forwarder"
	"parsleyscale/internal/sheet/parser"
)

// Config holds what a Dispatcher needs of its VM.
type Config struct {
	ID         string
	DataCentre string
	Region     string
	Sheet      func() (version uint64, s parser.Sheet, ok bool)
	Rank       Ranking
	Local      func(database string) (exchanger.Runner, error) // runs units on this VM
	Remote     func(address string) exchanger.Runner           // runs units on another VM
	Report     func(id string, err error)                      // direct observation of a VM
	OnFailure  func(id string, r exchanger.Request, err error) // a VM failed a unit; may be nil
}

// Dispatcher is the Runner that the caller-facing side of a VM uses.
type Dispatcher struct {
	cfg Config
}

// New returns a Dispatcher.
func New(cfg Config) *Dispatcher { return &Dispatcher{cfg: cfg} }

// Run runs a unit on this VM or on a gateway.
func (d *Dispatcher) Run(ctx context.Context, r exchanger.Request, s exchanger.Stream) (exchanger.Result, error) {
	_, sheet, ok := d.cfg.Sheet()
	if !ok {
		return exchanger.Result{}, classifier.New(classifier.NotReady, "no sheet yet")
	}
	db, _, ok := sheet.Database(r.Database)
	if !ok {
		return exchanger.Result{}, classifier.New(classifier.UnknownDatabase, "database %q is not in the sheet", r.Database)
	}
	if r.Hops > 0 { // the sender chose this VM; a second choice could send the unit around in circles
		return d.runLocal(ctx, r, s)
	}
	self := place{id: d.cfg.ID, dataCentre: d.cfg.DataCentre, region: d.cfg.Region}
	if isGateway(self, db, d.cfg.Rank) {
		return d.runLocal(ctx, r, s)
	}
	targets := plan(self, sheet, db, d.cfg.Rank, r.Session+r.ID)
	if targets[0].ID == d.cfg.ID {
		return d.runLocal(ctx, r, s)
	}
	return d.runOn(ctx, targets, r, s)
}

// runOn tries the VMs in order as long as a repeat is safe.
func (d *Dispatcher) runOn(ctx context.Context, targets []tracker.Member, r exchanger.Request, s exchanger.Stream) (exchanger.Result, error) {
	w := forwarder.NewRewinder(s)
	var res exchanger.Result
	var err, unknown error
	for _, t := range targets {
		if t.ID == d.cfg.ID {
			res, err = d.runLocal(ctx, r, w)
			return res, withUnknown(err, unknown)
		}
		res, err = d.cfg.Remote(t.Address).Run(ctx, r, w)
		if err == nil {
			return res, nil
		}
		if !isBroken(r, err) || ctx.Err() != nil {
			return res, withUnknown(err, unknown)
		}
		if classifier.Is(err, classifier.OutcomeUnknown) {
			unknown = err
		}
		if !classifier.Is(err, classifier.NotReady) { // a VM without a sheet lives and soon has one
			d.cfg.Report(t.ID, err)
		}
		if d.cfg.OnFailure != nil {
			d.cfg.OnFailure(t.ID, r, err)
		}
		if !w.Rewind() {
			break
		}
	}
	return res, withUnknown(err, unknown)
}

// withUnknown keeps a refusal by a later gateway from claiming that the unit
// did not run when an earlier gateway may have run it.
func withUnknown(err, unknown error) error {
	if err == nil || unknown == nil || classifier.AnswerTo(classifier.KindOf(err)).Ran != classifier.RanNo {
		return err
	}
	return classifier.Wrap(classifier.OutcomeUnknown, err, "an earlier gateway may have run the request")
}

func (d *Dispatcher) runLocal(ctx context.Context, r exchanger.Request, s exchanger.Stream) (exchanger.Result, error) {
	run, err := d.cfg.Local(r.Database)
	if err != nil {
		return exchanger.Result{}, err
	}
	return run.Run(ctx, r, s)
}

// isBroken reports whether a hop failed in a way that lets another gateway run
// the same unit: nothing was sent, or the VM has no sheet yet, or the unit is a read, or it is a single
// write whose key makes it idempotent.
func isBroken(r exchanger.Request, err error) bool {
	switch {
	case forwarder.IsNothingSent(err), classifier.Is(err, classifier.NotReady):
		return true
	case r.Class == exchanger.Read:
		return classifier.Is(err, classifier.NotRun)
	case r.Class == exchanger.Write && r.Key != "":
		return classifier.Is(err, classifier.OutcomeUnknown)
	}
	return false
}
