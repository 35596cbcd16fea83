package parser

import (
	"encoding/json"
	"fmt"
	"testing"
)

// target returns a sheet of the size expected in two years.
func target() Sheet {
	s := Sheet{Deployment: "target"}
	for r := range 6 {
		s.Regions = append(s.Regions, Region{Name: fmt.Sprint("region-", r)})
	}
	for d := range 16 {
		r := &s.Regions[d%6]
		r.DataCentres = append(r.DataCentres, fmt.Sprint("data-centre-", d))
	}
	for v := range 83 {
		service := Service{Name: fmt.Sprint("service-", v), ReadKinds: []ReadKind{{Name: "k"}}}
		for d := range 100 {
			b := Database{Name: fmt.Sprintf("service-%d-%d", v, d)}
			for i := range 3 {
				b.Instances = append(b.Instances, Instance{
					Name: fmt.Sprintf("%s-%d", b.Name, i), Address: fmt.Sprintf("10.%d.%d.%d:5432", v, d, i),
					DataCentre: fmt.Sprint("data-centre-", (d+i)%16), Slots: 3, Connections: 40, State: Serving,
				})
			}
			service.Databases = append(service.Databases, b)
		}
		s.Services = append(s.Services, service)
	}
	return s
}

// BenchmarkApplyAtTarget measures what one change costs a VM with 8,300 databases.
func BenchmarkApplyAtTarget(b *testing.B) {
	s := target()
	c := Diff(s, s.WithInstanceState("service-40-50-1", Leaving))
	wire, err := json.Marshal(c)
	if err != nil {
		b.Fatal(err)
	}
	whole, err := json.Marshal(s)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		var c Change
		if err := json.Unmarshal(wire, &c); err != nil {
			b.Fatal(err)
		}
		if _, err := c.Apply(s); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(wire)), "changeBytes")
	b.ReportMetric(float64(len(whole)), "sheetBytes")
}

// BenchmarkDiffAtTarget measures what one change costs the operator's command.
func BenchmarkDiffAtTarget(b *testing.B) {
	s := target()
	next := s.WithInstanceState("service-40-50-1", Leaving)
	for b.Loop() {
		if Diff(s, next).Empty() {
			b.Fatal("no difference")
		}
	}
}

// BenchmarkDatabaseAtTarget measures the search for a database, which each statement does.
func BenchmarkDatabaseAtTarget(b *testing.B) {
	s := target()
	for b.Loop() {
		if _, _, ok := s.Database("service-40-50"); !ok {
			b.Fatal("no such database")
		}
	}
}
