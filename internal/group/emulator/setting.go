package emulator

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/group/connector"
)

// parameterIdle is the setting that bounds the silence of a client inside a transaction, in milliseconds.
const parameterIdle = "idle_in_transaction_session_timeout"

// executeSetting runs SET, RESET, SHOW, DISCARD and DEALLOCATE. Settings are
// kept for SHOW; only the idle timeout has an effect.
func (x *session) executeSetting(p *portal) error {
	s := p.statement
	switch s.class {
	case classSet:
		x.set(s)
	case classShow:
		x.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(x.setting(s.name))}})
	case classDiscard:
		if s.name == "all" {
			clear(x.statements)
		}
		delete(x.statements, s.name)
	}
	x.complete(s.tag)
	return nil
}

func (x *session) set(s *statement) {
	switch {
	case s.name == parameterIdle && s.local:
		x.localIdleLimit = idleLimit(s.value)
		return
	case s.name == parameterIdle:
		x.idleLimit = idleLimit(s.value)
	}
	x.settings[s.name] = s.value
}

// setting returns the value of a setting. Drivers read transaction_read_only to find a primary.
func (x *session) setting(name string) string {
	if name == "transaction_read_only" {
		if (x.tx != nil && x.tx.readOnly) || x.server.group.status().Role == connector.RoleReplica {
			return "on"
		}
		return "off"
	}
	if v, ok := x.settings[name]; ok {
		return v
	}
	for _, p := range startupParameters {
		if strings.EqualFold(p.Name, name) {
			return p.Value
		}
	}
	return ""
}
