// Package connector defines the control interface of the instances of a
// replicated database group, and a client that implements it over the network.
//
// The interface is all that the proxy needs of a replicated database: reading
// an instance's status, fencing it against lower terms, promoting it at a
// fenced term, and making it follow a primary. Any database that passes the
// tests of package contracttest can be used.
package connector

import (
	"context"
	"encoding/json"
	"fmt"

	"parsleyscale/internal/session/tokenizer"
)

// Replication roles of an instance.
const (
	RolePrimary = "primary"
	RoleReplica = "replica"
)

// ParameterPosition is the run-time parameter in which an instance reports the log position of each commit, as
// term/index.
const ParameterPosition = "log_position"

// ControlUser is the user name of control connections. An instance counts them against a reserve of their own and
// not against the connection limit that all other connections share.
const ControlUser = "control"

// Status is the replication state that an instance reports about itself.
type Status struct {
	Name        string             `json:"name"`
	Role        string             `json:"role"`
	FenceTerm   uint64             `json:"fenceTerm"`          // lowest term whose log entries the instance accepts
	Last        tokenizer.Position `json:"last"`               // position of the last log entry that the instance has stored
	Applied     tokenizer.Position `json:"applied"`            // position of the last log entry that is visible to reads
	Upstream    string             `json:"upstream,omitempty"` // replica: address of the instance that it follows
	Connected   bool               `json:"connected"`          // replica: the upstream answered the last pull
	Connections int                `json:"connections"`        // open connections that count against Limit
	Limit       int                `json:"limit"`              // connection limit, without control connections
}

// UnmarshalJSON decodes a status and checks that its role and positions are valid.
func (s *Status) UnmarshalJSON(b []byte) error {
	type rawStatus Status
	var raw rawStatus
	if err := json.Unmarshal(b, &raw); err != nil {
		return err
	}
	if raw.Role != RolePrimary && raw.Role != RoleReplica {
		return fmt.Errorf("status of instance %q: unknown role %q", raw.Name, raw.Role)
	}
	if raw.Applied.Compare(raw.Last) > 0 {
		return fmt.Errorf("status of instance %q: applied position %s is after last position %s", raw.Name, raw.Applied, raw.Last)
	}
	*s = Status(raw)
	return nil
}

// Instance controls one database instance of a group.
type Instance interface {
	// Status returns the instance's replication state.
	Status(ctx context.Context) (Status, error)
	// Fence raises the fence term to term, and fails unless term is higher than
	// it. The instance then refuses log entries and commits of lower terms.
	Fence(ctx context.Context, term uint64) (Status, error)
	// Promote makes the instance the primary of term, which must equal its fence
	// term. The new primary writes one log entry of its own term.
	Promote(ctx context.Context, term uint64) (Status, error)
	// Follow makes the instance a replica of upstream at term, which must not be
	// below the fence term. The instance discards log entries that upstream does
	// not have.
	Follow(ctx context.Context, term uint64, upstream string) (Status, error)
}
