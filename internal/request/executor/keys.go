package executor

import (
	"context"

	"parsleyscale/internal/failure/classifier"
)

func (u *unit) runKeyed(context.Context) error {
	return classifier.New(classifier.Unsupported, "request keys")
}

func (u *unit) runKeyedBegin(context.Context) error {
	return classifier.New(classifier.Unsupported, "request keys")
}

func (u *unit) resolve(_ context.Context, err error) error { return unknownOutcome(err) }

type keyLocks struct{ running map[string]chan struct{} }
type sweeper struct{}

func (*sweeper) init()  {}
func (*sweeper) close() {}
