package executor

import (
	"context"
	"fmt"
	"sync"
	"time"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/request/admitter"
	"parsleyscale/internal/request/exchanger"
)

// Limits of one deletion of expired request keys.
const (
	cleanupRowsPerStatement = 200 // keeps the locks of one DELETE short
	cleanupMaxStatements    = 10
	cleanupTimeout          = 5 * time.Second
	// cleanupRetentionMargin is how long a key is kept after its retention, for gateways whose clock is slow or whose
	// process is delayed and which therefore still accept the key.
	cleanupRetentionMargin = time.Hour
	cleanupStatementPause  = 50 * time.Millisecond // between two DELETE statements
)

// keyCleaner deletes expired request keys in the background. It is started by
// keyed writes, so databases without keyed writes have no load from it.
type keyCleaner struct {
	mu        sync.Mutex
	lastStart time.Time
	closed    bool
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

func (c *keyCleaner) init() { c.ctx, c.cancel = context.WithCancel(context.Background()) }

// start begins a deletion in the background, unless the last one began less than Config.KeyCleanupInterval ago.
func (c *keyCleaner) start(e *Executor) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || time.Since(c.lastStart) < e.cfg.KeyCleanupInterval {
		return
	}
	c.lastStart = time.Now()
	c.wg.Go(func() { e.deleteExpiredKeys(c.ctx) })
}

func (c *keyCleaner) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.wg.Wait()
}

// deleteExpiredKeys deletes expired keys with several small statements. If one fails, the remaining keys are left to
// the next deletion.
func (e *Executor) deleteExpiredKeys(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
	defer cancel()
	u := newUnit()
	u.reset(e, exchanger.Request{Class: exchanger.Write, Timeout: cleanupTimeout}, nil)
	u.clientBatch.complete = true
	defer u.cleanUp()
	createdBeforeMs := time.Now().Add(-e.cfg.KeyRetention - cleanupRetentionMargin).UnixMilli()
	sql := fmt.Sprintf(sqlDeleteExpiredKeys, createdBeforeMs, cleanupRowsPerStatement)
	for range cleanupMaxStatements {
		u.prepareWrite()
		u.priority = admitter.OtherRead
		if u.acquireConn(ctx) != nil {
			return
		}
		u.resetResponse()
		results, err := u.runStatements(ctx, sql)
		if err != nil {
			u.failAttempt(ctx, err)
			return
		}
		u.releaseConn()
		u.endWrite()
		if results[0].tag != fmt.Sprintf("DELETE %d", cleanupRowsPerStatement) || !sleeper.Sleep(ctx, cleanupStatementPause) {
			return
		}
	}
}
