// Package connector holds the interface to the instances of a database group and its client.
//
// The interface is all that the proxy needs of a replicated database: a status,
// a fence that refuses lower terms, a promotion at a fenced term, and an order
// to follow a primary. Any form of database that keeps the contract test can
// stand behind it.
package connector

import (
	"context"
	"encoding/json"
	"fmt"

	"parsleyscale/internal/session/tokenizer"
)

// Roles of an instance.
const (
	RolePrimary = "primary"
	RoleReplica = "replica"
)

// ParameterPosition is the run-time parameter that an instance reports after each commit, as term/index.
const ParameterPosition = "log_position"

// ControlUser is the user of control connections, which an instance takes out of a reserve and not out of the shared limit.
const ControlUser = "control"

// Status is what an instance says of itself.
type Status struct {
	Name        string             `json:"name"`
	Role        string             `json:"role"`
	FenceTerm   uint64             `json:"fenceTerm"` // lowest term whose entries the instance accepts
	Last        tokenizer.Position `json:"last"`      // last log entry held
	Applied     tokenizer.Position `json:"applied"`   // last log entry that reads can see
	Upstream    string             `json:"upstream,omitempty"`
	Connected   bool               `json:"connected"` // a replica's upstream answered its last pull
	Connections int                `json:"connections"`
	Limit       int                `json:"limit"`
}

// UnmarshalJSON decodes and checks a status.
func (s *Status) UnmarshalJSON(b []byte) error {
	type plain Status
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	if p.Role != RolePrimary && p.Role != RoleReplica {
		return fmt.Errorf("status of %q: unknown role %q", p.Name, p.Role)
	}
	if p.Applied.Compare(p.Last) > 0 {
		return fmt.Errorf("status of %q: applied %s is after last %s", p.Name, p.Applied, p.Last)
	}
	*s = Status(p)
	return nil
}

// Instance is one database instance of a group.
type Instance interface {
	// Status returns the instance's state.
	Status(ctx context.Context) (Status, error)
	// Fence raises the fence term; it fails unless term is greater. Entries and
	// commits of lower terms are refused from then on.
	Fence(ctx context.Context, term uint64) (Status, error)
	// Promote makes the instance primary of term, which must be its fence term.
	// The new primary writes one entry of its own term.
	Promote(ctx context.Context, term uint64) (Status, error)
	// Follow makes the instance a replica of upstream at term, which must not be
	// below the fence term, and drops entries that upstream lacks.
	Follow(ctx context.Context, term uint64, upstream string) (Status, error)
}
