package emulator

import (
	"database/sql/driver"
	"encoding/binary"
	"encoding/hex"
	"math"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/jackc/pgx/v5/pgtype"
)

// Format codes of protocol 3.
const (
	formatText   = 0
	formatBinary = 1
)

// timeLayout is the text form of a point in time, in rows as in answers.
const timeLayout = "2006-01-02 15:04:05.999999-07:00"

// nowName is the SQLite parameter that now() becomes.
const nowName = "now"

// arg is a parameter in its SQLite storage class. All fields nil is NULL.
type arg struct {
	Int   *int64  `json:"i,omitempty"`
	Float *string `json:"f,omitempty"` // text, because JSON has no infinity
	Text  *string `json:"s,omitempty"`
	Blob  *[]byte `json:"b,omitempty"`
}

func intArg(v int64) arg     { return arg{Int: &v} }
func textArg(v string) arg   { return arg{Text: &v} }
func blobArg(v []byte) arg   { return arg{Blob: &v} }
func floatArg(v float64) arg { s := strconv.FormatFloat(v, 'g', -1, 64); return arg{Float: &s} }

func (a arg) value() driver.Value {
	switch {
	case a.Int != nil:
		return *a.Int
	case a.Float != nil:
		f, _ := strconv.ParseFloat(*a.Float, 64) // the text comes from FormatFloat
		return f
	case a.Text != nil:
		return *a.Text
	case a.Blob != nil:
		return *a.Blob
	}
	return nil
}

// namedArgs returns the arguments of a SQLite statement; now is the value of now().
func namedArgs(args []arg, now string) []driver.NamedValue {
	named := make([]driver.NamedValue, 0, len(args)+1)
	for i, a := range args {
		named = append(named, driver.NamedValue{Ordinal: i + 1, Value: a.value()})
	}
	return append(named, driver.NamedValue{Ordinal: len(args) + 1, Name: nowName, Value: now})
}

// oidByDeclaration maps parts of declared SQLite types to PostgreSQL types; the first match wins.
var oidByDeclaration = []struct {
	part string
	oid  uint32
}{
	{"BOOL", pgtype.BoolOID},
	{"TIMESTAMP", pgtype.TimestamptzOID},
	{"DATETIME", pgtype.TimestamptzOID},
	{"POINT", pgtype.TextOID},
	{"INTERVAL", pgtype.TextOID},
	{"INT", pgtype.Int8OID},
	{"SERIAL", pgtype.Int8OID},
	{"CHAR", pgtype.TextOID},
	{"CLOB", pgtype.TextOID},
	{"TEXT", pgtype.TextOID},
	{"BLOB", pgtype.ByteaOID},
	{"BYTEA", pgtype.ByteaOID},
	{"REAL", pgtype.Float8OID},
	{"FLOA", pgtype.Float8OID},
	{"DOUB", pgtype.Float8OID},
	{"NUMERIC", pgtype.Float8OID},
	{"DECIMAL", pgtype.Float8OID},
}

// oidOf returns the type of a column declared as decl, 0 when decl says nothing.
func oidOf(decl string) uint32 {
	decl = strings.ToUpper(decl)
	if decl == "" {
		return 0
	}
	for _, d := range oidByDeclaration {
		if strings.Contains(decl, d.part) {
			return d.oid
		}
	}
	return pgtype.TextOID
}

// sizeOf returns the type length of RowDescription.
func sizeOf(oid uint32) int16 {
	switch oid {
	case pgtype.BoolOID:
		return 1
	case pgtype.Int8OID, pgtype.Float8OID, pgtype.TimestamptzOID:
		return 8
	}
	return -1
}

// decodeArg decodes a parameter of a Bind message.
func decodeArg(src []byte, format int16, oid uint32) (arg, error) {
	if src == nil {
		return arg{}, nil
	}
	if format == formatBinary {
		return decodeBinary(src, oid)
	}
	if !utf8.Valid(src) {
		return arg{}, refuse(stateNotInRepertoire, "invalid byte sequence for encoding \"UTF8\"")
	}
	return decodeText(string(src), oid)
}

func decodeText(s string, oid uint32) (arg, error) {
	switch oid {
	case 0, pgtype.UnknownOID:
		return guessArg(s), nil
	case pgtype.Int2OID, pgtype.Int4OID, pgtype.Int8OID, pgtype.OIDOID:
		i, err := strconv.ParseInt(strings.TrimSpace(s), 10, 64)
		if err != nil {
			return arg{}, refuse(stateInvalidText, "invalid input syntax for type bigint: %q", s)
		}
		return intArg(i), nil
	case pgtype.Float4OID, pgtype.Float8OID, pgtype.NumericOID:
		f, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
		if err != nil {
			return arg{}, refuse(stateInvalidText, "invalid input syntax for type double precision: %q", s)
		}
		return floatArg(f), nil
	case pgtype.BoolOID:
		return decodeBool(s)
	case pgtype.ByteaOID:
		return decodeBytea(s)
	}
	return textArg(s), nil
}

func decodeBool(s string) (arg, error) {
	switch strings.ToLower(strings.TrimSpace(s)) {
	case "t", "true", "y", "yes", "on", "1":
		return intArg(1), nil
	case "f", "false", "n", "no", "off", "0":
		return intArg(0), nil
	}
	return arg{}, refuse(stateInvalidText, "invalid input syntax for type boolean: %q", s)
}

func decodeBytea(s string) (arg, error) {
	digits, ok := strings.CutPrefix(s, `\x`)
	if !ok {
		return blobArg([]byte(s)), nil
	}
	b, err := hex.DecodeString(digits)
	if err != nil {
		return arg{}, refuse(stateInvalidText, "invalid hexadecimal data for type bytea")
	}
	return blobArg(b), nil
}

// guessArg returns a parameter of unknown type. Text that is the canonical form of a number
// becomes a number: SQLite turns it back into text next to a text column, but
// would not turn text into a number next to an expression.
func guessArg(s string) arg {
	if i, err := strconv.ParseInt(s, 10, 64); err == nil && strconv.FormatInt(i, 10) == s {
		return intArg(i)
	}
	f, err := strconv.ParseFloat(s, 64)
	if err == nil && strings.Contains(s, ".") && strconv.FormatFloat(f, 'f', -1, 64) == s {
		return floatArg(f)
	}
	return textArg(s)
}

func decodeBinary(src []byte, oid uint32) (arg, error) {
	switch oid {
	case pgtype.Int2OID:
		if len(src) == 2 {
			return intArg(int64(int16(binary.BigEndian.Uint16(src)))), nil
		}
	case pgtype.Int4OID:
		if len(src) == 4 {
			return intArg(int64(int32(binary.BigEndian.Uint32(src)))), nil
		}
	case pgtype.Int8OID:
		if len(src) == 8 {
			return intArg(int64(binary.BigEndian.Uint64(src))), nil
		}
	case pgtype.Float4OID:
		if len(src) == 4 {
			return floatArg(float64(math.Float32frombits(binary.BigEndian.Uint32(src)))), nil
		}
	case pgtype.Float8OID:
		if len(src) == 8 {
			return floatArg(math.Float64frombits(binary.BigEndian.Uint64(src))), nil
		}
	case pgtype.BoolOID:
		if len(src) == 1 {
			return intArg(int64(src[0])), nil
		}
	case pgtype.ByteaOID:
		return blobArg(append([]byte{}, src...)), nil
	case pgtype.TextOID, pgtype.VarcharOID, pgtype.BPCharOID, pgtype.NameOID, pgtype.JSONOID, pgtype.UnknownOID, 0:
		return decodeArg(src, formatText, pgtype.TextOID)
	default:
		return decodeOther(src, oid)
	}
	return arg{}, refuse(stateProtocolViolation, "binary parameter of type %d has %d bytes", oid, len(src))
}

// decodeOther decodes the remaining types with the codecs of pgx: times to
// timeLayout, all others to their text form.
func decodeOther(src []byte, oid uint32) (arg, error) {
	m := pgtype.NewMap()
	switch oid {
	case pgtype.TimestamptzOID, pgtype.TimestampOID, pgtype.DateOID:
		var t time.Time
		if err := m.Scan(oid, formatBinary, src, &t); err != nil {
			return arg{}, refuse(stateProtocolViolation, "binary parameter of type %d: %s", oid, err)
		}
		return textArg(t.UTC().Format(timeLayout)), nil
	}
	var s string
	if err := m.Scan(oid, formatBinary, src, &s); err != nil {
		return arg{}, refuse(stateFeatureNotSupported, "binary parameter of type %d: %s", oid, err)
	}
	return textArg(s), nil
}

// appendValue appends the encoded form of a column's value to dst.
func appendValue(dst []byte, v driver.Value, oid uint32, format int16) ([]byte, error) {
	if format == formatBinary {
		return appendBinary(dst, v, oid)
	}
	switch x := v.(type) {
	case int64:
		if oid == pgtype.BoolOID {
			return append(dst, boolText(x)), nil
		}
		return strconv.AppendInt(dst, x, 10), nil
	case float64:
		return strconv.AppendFloat(dst, x, 'g', -1, 64), nil
	case string:
		return append(dst, x...), nil
	case []byte:
		dst = append(dst, `\x`...)
		return hex.AppendEncode(dst, x), nil
	case time.Time:
		return x.UTC().AppendFormat(dst, timeLayout), nil
	}
	return dst, refuse(stateInternal, "value of type %T in a row", v)
}

func boolText(v int64) byte {
	if v != 0 {
		return 't'
	}
	return 'f'
}

// microsOf2000 is the start of PostgreSQL's timestamps.
var microsOf2000 = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC).UnixMicro()

func appendBinary(dst []byte, v driver.Value, oid uint32) ([]byte, error) {
	switch oid {
	case pgtype.Int8OID:
		if x, ok := v.(int64); ok {
			return binary.BigEndian.AppendUint64(dst, uint64(x)), nil
		}
	case pgtype.Float8OID:
		switch x := v.(type) {
		case float64:
			return binary.BigEndian.AppendUint64(dst, math.Float64bits(x)), nil
		case int64:
			return binary.BigEndian.AppendUint64(dst, math.Float64bits(float64(x))), nil
		}
	case pgtype.BoolOID:
		if x, ok := v.(int64); ok {
			return append(dst, byte(min(max(x, 0), 1))), nil
		}
	case pgtype.TimestamptzOID:
		if x, ok := timeOf(v); ok {
			return binary.BigEndian.AppendUint64(dst, uint64(x.UnixMicro()-microsOf2000)), nil
		}
	case pgtype.ByteaOID:
		switch x := v.(type) {
		case []byte:
			return append(dst, x...), nil
		case string:
			return append(dst, x...), nil
		}
	default:
		if b, ok := v.([]byte); ok {
			return append(dst, b...), nil
		}
		return appendValue(dst, v, oid, formatText)
	}
	return dst, refuse(stateInvalidText, "value of type %T in a column of type %d", v, oid)
}

// timeLayouts are the forms of a point in time that rows may hold.
var timeLayouts = []string{
	"2006-01-02 15:04:05.999999999Z07:00",
	"2006-01-02T15:04:05.999999999Z07:00",
	"2006-01-02 15:04:05.999999999Z07",
	"2006-01-02 15:04:05.999999999",
	"2006-01-02",
}

// timeOf returns the point in time that a row holds. The driver has already parsed some columns.
func timeOf(v driver.Value) (time.Time, bool) {
	switch x := v.(type) {
	case time.Time:
		return x, true
	case string:
		for _, layout := range timeLayouts {
			if t, err := time.Parse(layout, x); err == nil {
				return t, true
			}
		}
	}
	return time.Time{}, false
}
