package pacer

import (
	"testing"
	"time"
	"unsafe"
)

// BenchmarkPace measures the state of one instance and the time of one response during a ramp.
func BenchmarkPace(b *testing.B) {
	now := time.Now()
	p := Pace{}.WithInstance(now, Instance{Slots: 5, Pools: 4, WarmUp: time.Minute}, 10)
	for b.Loop() {
		p = p.WithResponse(now, 10*time.Millisecond, 2, 10)
	}
	b.ReportMetric(float64(unsafe.Sizeof(p)), "paceBytes")
	b.ReportMetric(float64(unsafe.Sizeof(Window{})), "windowBytes")
}

// BenchmarkJudge measures the judgement of a group of three instances.
func BenchmarkJudge(b *testing.B) {
	now := time.Now()
	group := make([]Observation, 3)
	for k := range group {
		group[k].Window = Window{}.WithOutcome(now, true)
	}
	for b.Loop() {
		Judge(group, now)
	}
}
