package assembler

import (
	"parsleyscale/internal/client/budgeter"
	"parsleyscale/internal/telemetry/logger"
	"parsleyscale/internal/telemetry/meter"
)

// logBudget logs that a connection was chosen to be closed, or that a connection or a request was refused, for lack of a resource.
func (v *VM) logBudget(e budgeter.Event) {
	event := logger.ClientClosed
	if e.IsRefusal {
		event = logger.ClientRefused
	}
	v.log.Sample(event, e.Resource.String(), logger.String("resource", e.Resource.String()), logger.Int("used", e.Used), logger.Int("limit", e.Limit),
		logger.Int("amount", e.Amount), logger.Millis("age", e.Age))
}

// budgetGauges returns the gauges of what clients and other VMs' connections use.
func (v *VM) budgetGauges() []meter.Gauge {
	gauge := func(name, help string, isShown func(budgeter.Resource) bool, read func(*budgeter.Budget, budgeter.Resource) int64) meter.Gauge {
		return meter.Gauge{Name: name, Help: help, Label: "resource", Read: func(observe func(int64, string)) {
			for r := range budgeter.ResourceCount {
				if isShown(r) {
					observe(read(v.budget, r), r.String())
				}
			}
		}}
	}
	isCount := func(r budgeter.Resource) bool { return !r.IsBytes() }
	isAny := func(budgeter.Resource) bool { return true }
	return []meter.Gauge{
		gauge("parsleyscale.client.used_bytes", "memory that clients occupy beyond what each connection has, by resource", budgeter.Resource.IsBytes, (*budgeter.Budget).Used),
		gauge("parsleyscale.client.limit_bytes", "memory that clients may occupy, by resource", budgeter.Resource.IsBytes, (*budgeter.Budget).Limit),
		gauge("parsleyscale.client.used_connections", "connections of clients and other VMs, by resource", isCount, (*budgeter.Budget).Used),
		gauge("parsleyscale.client.limit_connections", "connections that clients and other VMs may have, by resource", isCount, (*budgeter.Budget).Limit),
		gauge("parsleyscale.client.closed_connections", "connections that were chosen to be closed since the VM started, by resource", isAny, (*budgeter.Budget).Closed),
		gauge("parsleyscale.client.refused_requests", "connections and requests that were refused since the VM started, by resource", isAny, (*budgeter.Budget).Refused),
	}
}
