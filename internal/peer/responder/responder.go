// Package responder implements the Twirp service for calls from other VMs and parsleyctl. It passes each call to the
// component of the VM that is responsible for it.
package responder

import (
	"context"
	"time"

	"parsleyscale/internal/peer/messenger"
)

// MemberExchanger exchanges views of the state of VMs.
type MemberExchanger interface {
	Exchange(ctx context.Context, r *messenger.ExchangeRequest) (*messenger.ExchangeResponse, error)
}

// SheetWatcher serves long polls for the sheet.
type SheetWatcher interface {
	WatchSheet(ctx context.Context, r *messenger.WatchSheetRequest) (*messenger.WatchSheetResponse, error)
}

// GroupService serves calls about the groups that this VM is a gateway of.
type GroupService interface {
	Observe(ctx context.Context, database string) *messenger.ObserveResponse
	Hold(ctx context.Context, database string, term uint64, d time.Duration) bool
	Release(database string, term uint64)
	WatchWrites(ctx context.Context, r *messenger.WatchWritesRequest) *messenger.WatchWritesResponse
}

// StatementCanceler cancels statements of the clients that are connected to this VM.
type StatementCanceler interface {
	Cancel(processID, secretKey uint32) bool
}

// Describer returns the state of the VM for operators.
type Describer interface {
	Describe() *messenger.StatusResponse
}

// Responder implements messenger.Peer with the components of a VM.
type Responder struct {
	Members           MemberExchanger
	Sheets            SheetWatcher
	Groups            GroupService
	StatementCanceler StatementCanceler
	VM                Describer
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
	duration := time.Duration(r.GetHoldMs()) * time.Millisecond
	return &messenger.HoldResponse{Idle: p.Groups.Hold(ctx, r.GetDatabase(), r.GetTerm(), duration)}, nil
}

// Release implements messenger.Peer.
func (p *Responder) Release(_ context.Context, r *messenger.ReleaseRequest) (*messenger.ReleaseResponse, error) {
	p.Groups.Release(r.GetDatabase(), r.GetTerm())
	return &messenger.ReleaseResponse{}, nil
}

// Cancel implements messenger.Peer.
func (p *Responder) Cancel(_ context.Context, r *messenger.CancelRequest) (*messenger.CancelResponse, error) {
	return &messenger.CancelResponse{Found: p.StatementCanceler.Cancel(r.GetProcessId(), r.GetSecretKey())}, nil
}

// WatchWrites implements messenger.Peer.
func (p *Responder) WatchWrites(ctx context.Context, r *messenger.WatchWritesRequest) (*messenger.WatchWritesResponse, error) {
	return p.Groups.WatchWrites(ctx, r), nil
}

// Status implements messenger.Peer.
func (p *Responder) Status(context.Context, *messenger.StatusRequest) (*messenger.StatusResponse, error) {
	return p.VM.Describe(), nil
}
