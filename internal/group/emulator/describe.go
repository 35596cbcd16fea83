package emulator

import (
	"github.com/jackc/pgx/v5/pgtype"
	"modernc.org/sqlite"
)

// column is a result column.
type column struct {
	name string
	oid  uint32
}

// columnInformer is the part of the SQLite driver that describes a statement without running it.
type columnInformer interface {
	ColumnInfo(query string) ([]sqlite.ColumnInfo, error)
}

// returns reports whether the statement has result columns.
func (s *statement) returns() bool {
	switch s.class {
	case classRead, classShow, classGroup:
		return true
	case classWrite:
		return s.tag == "SELECT" || s.returning
	}
	return false
}

// parameterType returns the type that a parameter is decoded as.
func (s *statement) parameterType(i int) uint32 {
	if s.params[i] != 0 {
		return s.params[i]
	}
	return s.guesses[i]
}

// describe returns the result columns of a statement.
func (x *session) describe(s *statement) ([]column, error) {
	if s.class == classShow || s.class == classGroup {
		return []column{{s.name, pgtype.TextOID}}, nil
	}
	h, err := x.currentHandle()
	if err != nil {
		return nil, err
	}
	return h.describe(s)
}

func (h *handle) describe(s *statement) ([]column, error) {
	h.checkSchema()
	if c, ok := h.columns[s.sql]; ok {
		return c, nil
	}
	info, err := h.conn.(columnInformer).ColumnInfo(s.sql)
	if err != nil {
		return nil, err
	}
	columns := make([]column, len(info))
	for i, c := range info {
		columns[i] = column{c.Name, oidOf(c.DeclType)}
		if columns[i].oid == 0 {
			columns[i].oid = pgtype.TextOID
		}
	}
	h.columns[s.sql] = columns
	return columns, nil
}
