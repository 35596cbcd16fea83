package tracker

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"parsleyscale/internal/peer/messenger"
	"parsleyscale/internal/platform/client"
)

type noList struct{}

func (noList) VMs(context.Context, uint64) (client.VMChanges, error) {
	return client.VMChanges{}, errors.New("none")
}

// atTarget returns a tracker that knows 7,100 VMs in 16 data centres and runs no loop.
func atTarget() *Tracker {
	t := New(Config{Self: Member{ID: "self", Address: "10.0.0.1:1", DataCentre: "dc0"}, List: noList{}})
	t.Close()
	c := client.VMChanges{Version: 1, Whole: true}
	for i := range 7100 {
		c.VMs = append(c.VMs, client.VM{ID: fmt.Sprint("vm", i), Address: "10.0.0.2:1", DataCentre: fmt.Sprint("dc", i%16), State: "live"})
	}
	t.takeList(c)
	t.refresh(time.Now())
	return t
}

// BenchmarkRoundAtTarget measures one round of exchanges without the network:
// the choice of peers, the view, and ten exchanges in each direction.
func BenchmarkRoundAtTarget(b *testing.B) {
	t := atTarget()
	q := &messenger.ExchangeRequest{Vms: []*messenger.VM{encode(Member{ID: "vm5", Address: "10.0.0.2:1", DataCentre: "dc5"}, Live, 0)}}
	for b.Loop() {
		t.peers()
		t.expire(time.Now())
		for range 10 {
			t.request(time.Now())
			_, _ = t.Exchange(context.Background(), q)
		}
	}
}

// BenchmarkRankedAtTarget measures the ranking of a database on the path of a request.
func BenchmarkRankedAtTarget(b *testing.B) {
	t := atTarget()
	for b.Loop() {
		t.Ranked("orders", "dc3")
	}
}

// BenchmarkReportAtTarget measures a good call on the path of a request.
func BenchmarkReportAtTarget(b *testing.B) {
	t := atTarget()
	for b.Loop() {
		t.Report("vm7", nil)
	}
}
