package main

import "parsleyscale/platform/emulator"

// route is a route of the configuration.
type route struct {
	host, kind, service string
	timeoutMs           int
}

// operator writes configurations.
type operator struct {
	store          *emulator.Store
	version        uint64
	services       []string
	maxConnections int
}

// write writes the next version of the configuration and records it.
func (o *operator) write(routes ...route) {
	o.version += 3
	list := []any{}
	for k, r := range routes {
		list = append(list, map[string]any{
			"name": "r-" + r.host, "host": r.host, "prefix": "/", "type": r.kind, "timeout_ms": r.timeoutMs, "target_latency_ms": 500, "priority": 1 + k%2,
			"service": r.service, "attempts": 2, "max_staleness_ms": 2500,
		})
	}
	services := []any{}
	for _, s := range o.services {
		services = append(services, map[string]any{"name": s, "health_path": "/health", "max_connections": o.maxConnections, "protocol": "h1", "tls": false, "sync_replicas": 1})
	}
	o.store.Put("op", "config", map[string]any{
		"version": o.version, "routes": list, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000},
	})
	for _, r := range routes {
		record("operator: version %d is acknowledged: route %s (%s, timeout_ms %d) leads to %s", o.version, r.host, r.kind, r.timeoutMs, r.service)
	}
}

// startStore starts the store for a deployment whose instances are those of this program, and the platform's other calls.
func startStore() *emulator.Store {
	store, err := emulator.StartStore()
	if err != nil {
		giveUp(err.Error())
	}
	if dep.orders, err = startOrders(); err != nil {
		giveUp(err.Error())
	}
	dep.store = store.Address()
	return store
}
