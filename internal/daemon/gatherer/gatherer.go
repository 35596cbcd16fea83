// Package gatherer records the events of the listener for clients as metrics and log events.
package gatherer

import (
	"sync/atomic"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/request/exchanger"
	"parsleyscale/internal/request/listener"
	"parsleyscale/internal/telemetry/logger"
	"parsleyscale/internal/telemetry/meter"
)

// Observer implements listener.Observer. It updates the metrics of a VM and writes to its log.
type Observer struct {
	meter   *meter.Meter
	log     *logger.Logger
	running atomic.Int64
}

var _ listener.Observer = (*Observer)(nil)

// New returns an Observer that records to m and log.
func New(m *meter.Meter, log *logger.Logger) *Observer { return &Observer{meter: m, log: log} }

// Running returns the number of units in progress.
func (g *Observer) Running() int64 { return g.running.Load() }

// ClientConnected adds a client to the number of connected clients.
func (g *Observer) ClientConnected(string) { g.meter.AddClients(1) }

// ClientDisconnected subtracts a client from the number of connected clients.
func (g *Observer) ClientDisconnected(string) { g.meter.AddClients(-1) }

// UnitDone records the duration of a unit of work that succeeded, or counts and logs one that failed.
func (g *Observer) UnitDone(r exchanger.Request, res exchanger.Result, took time.Duration, err error) {
	if err == nil {
		g.meter.Unit(r.Database, res.Role, res.Reason, took)
		return
	}
	kind := classifier.KindOf(err)
	g.meter.Failure(r.Database, string(kind))
	g.log.Warn(logger.UnitFailed, logger.String("request", r.ID), logger.String("database", r.Database), logger.String("kind", string(kind)), logger.Millis("took", took), logger.Err(err))
}

// Event logs an event of the listener, such as a failed TLS handshake.
func (g *Observer) Event(e listener.Event) {
	g.log.Warn(logger.CallerRefused, logger.String("reason", e.Name), logger.String("remote", e.Remote), logger.Err(e.Err))
}
