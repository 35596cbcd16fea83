package runner

import (
	"context"

	"parsleyscale/internal/peer/messenger"
	"parsleyscale/internal/request/listener"
)

// forwardCancel forwards a cancel request to the VMs whose ID has the given hash, one after another, until one of them
// finds the session. This is needed because the load balancer may route a cancel request to any VM.
func (d *Daemon) forwardCancel(ctx context.Context, hash uint16, processID, secretKey uint32) {
	for _, m := range d.members.Members() {
		if m.ID == d.self.ID || listener.VMHash(m.ID) != hash {
			continue
		}
		r, err := d.peer(m.Address).Cancel(ctx, &messenger.CancelRequest{ProcessId: processID, SecretKey: secretKey})
		if err == nil && r.GetFound() {
			return
		}
	}
}
