package emulator

import (
	"errors"
	"time"

	"parsleyscale/internal/telemetry/logger"
)

// Defaults of Config.
const (
	defaultListen             = "127.0.0.1:0"
	defaultSlots              = 4
	defaultConnections        = 100
	defaultControlConnections = 16
	defaultTerm               = 1
)

// Config holds the settings of an instance.
//
// Primary, Term and Upstream only apply to an empty Dir. Afterwards the state
// in Dir decides, because a restarted instance must not forget a fence or a promotion.
type Config struct {
	Name               string
	Listen             string // host:port; port 0 picks a free one
	Dir                string
	Primary            bool
	Term               uint64 // first term of the group
	Upstream           string // address of the primary that a replica follows
	Slots              int    // statements that run at once
	Connections        int    // limit of ordinary connections
	ControlConnections int    // limit of control connections
	OpenDelay          time.Duration
	ReceiveDelay       time.Duration  // from the pull of an entry until the replica holds it
	ApplyDelay         time.Duration  // from holding an entry until reads see it
	Log                *logger.Logger // nil: no log
}

func (c Config) withDefaults() (Config, error) {
	if c.Dir == "" {
		return c, errors.New("settings of an instance: dir is empty")
	}
	if c.Listen == "" {
		c.Listen = defaultListen
	}
	if c.Name == "" {
		c.Name = c.Listen
	}
	if c.Term == 0 {
		c.Term = defaultTerm
	}
	if c.Slots <= 0 {
		c.Slots = defaultSlots
	}
	if c.Connections <= 0 {
		c.Connections = defaultConnections
	}
	if c.ControlConnections <= 0 {
		c.ControlConnections = defaultControlConnections
	}
	return c, nil
}
