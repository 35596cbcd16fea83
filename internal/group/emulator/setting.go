package emulator

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// executeSetting runs SET, RESET, SHOW, DISCARD and DEALLOCATE. Settings are kept for SHOW but have no effect.
func (x *session) executeSetting(p *portal) error {
	s := p.statement
	switch s.class {
	case classSet:
		x.settings[s.name] = s.value
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

func (x *session) setting(name string) string {
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
