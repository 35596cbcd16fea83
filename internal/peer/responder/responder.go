// Package responder answers the twirp calls that other VMs and parsleyctl make.
// It only hands each call to the part of the VM that owns the matter.
package responder

import (
	"context"
	"time"

	"parsleyscale/internal/peer/messenger"
)

// Members swaps beliefs about VMs.
type Members interface {
	Exchange(ctx context.Context, r *messenger.ExchangeRequest) (*messenger.ExchangeResponse, error)
}

// Sheets answers long polls for the sheet.
type Sheets interface {
	WatchSheet(ctx context.Context, r *messenger.WatchSheetRequest) (*messenger.WatchSheetResponse, error)
}

// Groups are the groups that this VM is a gateway of.
type Groups interface {
	Observe(ctx context.Context, database string) *messenger.ObserveResponse
	Hold(ctx context.Context, database string, term uint64, d time.Duration) bool
	Release(database string, term uint64)
	WatchWrites(ctx context.Context, r *messenger.WatchWritesRequest) *messenger.WatchWritesResponse
}

// Callers are the callers connected to this VM.
type Callers interface {
	Cancel(processID, secretKey uint32) bool
}

// Describer describes the VM for operators.
type Describer interface {
	Describe() *messenger.StatusResponse
}

// Responder implements messenger.Peer.
type Responder struct {
	Members Members
	Sheets  Sheets
	Groups  Groups
	Callers Callers
	VM      Describer
}

var _ messenger.Peer = (*Responder)(nil)

// Exchange implements messenger.Peer.
func (p *Responder) Exchange(ctx context.Context, r *messenger.ExchangeRequest) (*messenger.ExchangeResponse, error) {
	return p.Members.Exchange(ctx, r)
}

// WatchSheet implements messenger.Peer.
func (p *Responder) WatchSheet(ctx context.Context, r *messenger.WatchSheetRequest) (*messenger.WatchSheetResponse, error) {
	return p.Sheets.WatchSheet(ctx, r)
}

// Observe implements messenger.Peer.
func (p *Responder) Observe(ctx context.Context, r *messenger.ObserveRequest) (*messenger.ObserveResponse, error) {
	return p.Groups.Observe(ctx, r.GetDatabase()), nil
}

// Hold implements messenger.Peer.
func (p *Responder) Hold(ctx context.Context, r *messenger.HoldRequest) (*messenger.HoldResponse, error) {
	d := time.Duration(r.GetHoldMs()) * time.Millisecond
	return &messenger.HoldResponse{Idle: p.Groups.Hold(ctx, r.GetDatabase(), r.GetTerm(), d)}, nil
}

// Release implements messenger.Peer.
func (p *Responder) Release(_ context.Context, r *messenger.ReleaseRequest) (*messenger.ReleaseResponse, error) {
	p.Groups.Release(r.GetDatabase(), r.GetTerm())
	return &messenger.ReleaseResponse{}, nil
}

// Cancel implements messenger.Peer.
func (p *Responder) Cancel(_ context.Context, r *messenger.CancelRequest) (*messenger.CancelResponse, error) {
	return &messenger.CancelResponse{Found: p.Callers.Cancel(r.GetProcessId(), r.GetSecretKey())}, nil
}

// WatchWrites implements messenger.Peer.
func (p *Responder) WatchWrites(ctx context.Context, r *messenger.WatchWritesRequest) (*messenger.WatchWritesResponse, error) {
	return p.Groups.WatchWrites(ctx, r), nil
}

// Status implements messenger.Peer.
func (p *Responder) Status(context.Context, *messenger.StatusRequest) (*messenger.StatusResponse, error) {
	return p.VM.Describe(), nil
}
