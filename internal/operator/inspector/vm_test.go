package inspector

import (
	"bytes"
	"testing"
)

// FuzzParseSummary guards against a summary row that ends the process, and against one that changes when it is decoded and
// encoded again.
func FuzzParseSummary(f *testing.F) {
	valid, err := EncodeSummary([]VM{{ID: "vm-1", DataCentre: "d1", LinkAddress: "127.0.0.1:1", CoreShare: 0.4}, {ID: "vm-2"}})
	if err != nil {
		f.Fatal(err)
	}
	for _, b := range [][]byte{valid, valid[:len(valid)/2], {}, []byte("{}"), bytes.Repeat([]byte{0x1f, 0x8b}, 40)} {
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		vms, err := ParseSummary(b)
		if err != nil {
			return
		}
		again, err := EncodeSummary(vms)
		if err != nil {
			t.Fatal(err)
		}
		if parsed, err := ParseSummary(again); err != nil || len(parsed) != len(vms) {
			t.Errorf("%d VMs decoded again, %v; want %d", len(parsed), err, len(vms))
		}
	})
}
