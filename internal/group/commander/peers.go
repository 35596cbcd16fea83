package commander

import (
	"context"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/statement/carrier"
)

// Peers sends control commands to instances through other VMs, which forward them.
type Peers struct {
	Dialer    carrier.Dialer                                   // connects to other VMs
	Addresses func(t carrier.Target) []string                  // of the VMs that may reach an instance, the most likely one first
	Parse     func(row string) (carrier.InstanceStatus, error) // decodes the row that answers a command
}

// FindPath returns the target through which another VM reaches an instance: the first one on which the instance answers.
func (p Peers) FindPath(ctx context.Context, t carrier.Target) (carrier.Target, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addresses := p.Addresses(t)
	type result struct {
		path carrier.Target
		err  error
	}
	results := make(chan result, len(addresses))
	for _, address := range addresses {
		path := carrier.Target{Instance: t.Instance, Group: t.Group, Address: address}
		go func() {
			_, err := p.Status(ctx, path)
			results <- result{path, err}
		}()
	}
	err := classifier.New(classifier.NoInstance, "no other VM to reach %s through", t.Instance)
	for range addresses {
		r := <-results
		if r.err == nil {
			return r.path, nil
		}
		err = r.err
	}
	return carrier.Target{}, err
}

// Status returns the state of an instance, on a path that FindPath returned.
func (p Peers) Status(ctx context.Context, path carrier.Target) (carrier.InstanceStatus, error) {
	return p.execute(ctx, path, carrier.Internal(carrier.Status))
}

// Demote makes a primary of a term below term a replica, on a path that FindPath returned or at the address of an instance.
func (p Peers) Demote(ctx context.Context, path carrier.Target, term uint64) (carrier.InstanceStatus, error) {
	return p.execute(ctx, path, termCommand(carrier.Demote, term))
}

// execute sends a command over a connection of its own and returns the status in the instance's answer.
func (p Peers) execute(ctx context.Context, path carrier.Target, s carrier.Statement) (carrier.InstanceStatus, error) {
	conn, _, err := p.Dialer.Dial(ctx, path)
	if err != nil {
		return carrier.InstanceStatus{}, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })
	defer stop()
	if err := conn.Send(carrier.Command{Statement: s}); err != nil {
		return carrier.InstanceStatus{}, err
	}
	reply, err := conn.Receive()
	if err != nil {
		return carrier.InstanceStatus{}, err
	}
	return parseStatus(path, s, reply, p.Parse)
}
