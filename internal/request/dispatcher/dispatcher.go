package dispatcher

import (
	"context"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/member/tracker"
	"parsleyscale/internal/request/exchanger"
	"parsleyscale/internal/request/forwarder"
	"parsleyscale/internal/sheet/parser"
)

// Config describes this VM and holds the functions that a Dispatcher calls.
type Config struct {
	ID            string // ID of this VM
	DataCentre    string
	Region        string
	Sheet         func() (version uint64, s parser.Sheet, ok bool) // current sheet; ok is false before the first one
	Rank          Ranking
	LocalRunner   func(database string) (exchanger.Runner, error) // returns the Runner of a database on this VM
	RemoteRunner  func(address string) exchanger.Runner           // returns a Runner that forwards units to another VM
	ReportFailure func(id string, err error)                      // records a failed call to a VM for failure detection
	OnFailure     func(id string, r exchanger.Request, err error) // called when a VM failed to run a unit that may be retried elsewhere; may be nil
}

// Dispatcher is the exchanger.Runner to which a VM passes the units of its clients.
// It runs them on this VM or forwards them to a gateway.
type Dispatcher struct {
	cfg Config
}

// New returns a Dispatcher.
func New(cfg Config) *Dispatcher { return &Dispatcher{cfg: cfg} }

// Run runs a unit on this VM if it is a gateway of the database, and forwards the
// unit to a gateway otherwise. A unit that another VM forwarded always runs here.
func (d *Dispatcher) Run(ctx context.Context, r exchanger.Request, s exchanger.Stream) (exchanger.Result, error) {
	_, sheet, ok := d.cfg.Sheet()
	if !ok {
		return exchanger.Result{}, classifier.New(classifier.NotReady, "VM %s has no sheet yet", d.cfg.ID)
	}
	db, _, ok := sheet.Database(r.Database)
	if !ok {
		return exchanger.Result{}, classifier.New(classifier.UnknownDatabase, "database %q is not in the sheet", r.Database)
	}
	if r.Hops > 0 { // the sender chose this VM; choosing again could forward the unit in a loop
		return d.runLocal(ctx, r, s)
	}
	self := location{id: d.cfg.ID, dataCentre: d.cfg.DataCentre, region: d.cfg.Region}
	if isGateway(self, db, d.cfg.Rank) {
		return d.runLocal(ctx, r, s)
	}
	targets := planTargets(self, sheet, db, d.cfg.Rank, r.Session+r.ID)
	if targets[0].ID == d.cfg.ID {
		return d.runLocal(ctx, r, s)
	}
	return d.tryTargets(ctx, targets, r, s)
}

// tryTargets runs a unit on the first target. After a failure it tries the next
// target as long as a retry is safe and the client's messages can be replayed.
func (d *Dispatcher) tryTargets(ctx context.Context, targets []tracker.Member, r exchanger.Request, s exchanger.Stream) (exchanger.Result, error) {
	rewinder := forwarder.NewRewinder(s)
	var res exchanger.Result
	var err, unknownErr error // unknownErr: an earlier target may have run the unit
	for _, t := range targets {
		if t.ID == d.cfg.ID {
			res, err = d.runLocal(ctx, r, rewinder)
			return res, keepUnknownOutcome(err, unknownErr)
		}
		res, err = d.cfg.RemoteRunner(t.Address).Run(ctx, r, rewinder)
		if err == nil {
			return res, nil
		}
		if !canRetryElsewhere(r, err) || ctx.Err() != nil {
			return res, keepUnknownOutcome(err, unknownErr)
		}
		if classifier.Is(err, classifier.OutcomeUnknown) {
			unknownErr = err
		}
		if !classifier.Is(err, classifier.NotReady) { // a VM without a sheet is alive and will receive one soon
			d.cfg.ReportFailure(t.ID, err)
		}
		if d.cfg.OnFailure != nil {
			d.cfg.OnFailure(t.ID, r, err)
		}
		if !rewinder.Rewind() {
			break
		}
	}
	return res, keepUnknownOutcome(err, unknownErr)
}

// keepUnknownOutcome returns the error for the client. If err says that the unit did
// not run, but an earlier gateway may have run it, the kind becomes OutcomeUnknown.
func keepUnknownOutcome(err, unknownErr error) error {
	if err == nil || unknownErr == nil || classifier.AnswerFor(classifier.KindOf(err)).Ran != classifier.RanNo {
		return err
	}
	return classifier.Wrap(classifier.OutcomeUnknown, err, "an earlier gateway may have run the request")
}

// runLocal runs a unit on this VM.
func (d *Dispatcher) runLocal(ctx context.Context, r exchanger.Request, s exchanger.Stream) (exchanger.Result, error) {
	runner, err := d.cfg.LocalRunner(r.Database)
	if err != nil {
		return exchanger.Result{}, err
	}
	return runner.Run(ctx, r, s)
}

// canRetryElsewhere reports whether another gateway may run a unit after err. It may
// if no message was sent, if the VM has no sheet yet, if the unit is a read that did
// not run, or if it is a single write with an unknown outcome and a key that makes it idempotent.
func canRetryElsewhere(r exchanger.Request, err error) bool {
	switch {
	case forwarder.IsNotProcessed(err), classifier.Is(err, classifier.NotReady):
		return true
	case r.Class == exchanger.Read:
		return classifier.Is(err, classifier.NotRun)
	case r.Class == exchanger.Write && r.Key != "":
		return classifier.Is(err, classifier.OutcomeUnknown)
	}
	return false
}
