package logger

import (
	"bytes"
	"io"
	"time"

	"github.com/phuslu/log"
)

// Field is one key with a text or an integer value.
type Field struct {
	key       string
	text      string
	integer   int64
	isInteger bool
}

// String returns a field with a text value.
func String(key, value string) Field { return Field{key: key, text: value} }

// Int returns a field with an integer value.
func Int(key string, n int64) Field { return Field{key: key, integer: n, isInteger: true} }

// Millis returns a field with a duration in milliseconds, whose key is key followed by "Ms".
func Millis(key string, d time.Duration) Field { return Int(key+"Ms", d.Milliseconds()) }

// Err returns the field "error" with the text of an error, which is empty for nil.
func Err(err error) Field {
	if err == nil {
		return String("error", "")
	}
	return String("error", err.Error())
}

// Logger writes events. The zero value and a nil Logger discard them.
type Logger struct {
	sampler *sampler // limits the rate of Sample; nil if it is not limited
	out     *log.Logger
	vmID    string
}

// New returns a logger that writes lines with the identity of a VM to w.
func New(w io.Writer, vmID string) *Logger {
	return &Logger{
		vmID: vmID,
		out: &log.Logger{
			Level:      log.InfoLevel,
			TimeFormat: time.RFC3339Nano,
			Writer:     &log.ConsoleWriter{Writer: w, Formatter: formatLine},
		},
	}
}

// WithVM returns a logger that writes to the same place with the identity of another VM.
func (l *Logger) WithVM(vmID string) *Logger {
	if l == nil {
		return nil
	}
	return &Logger{out: l.out, vmID: vmID, sampler: l.sampler}
}

// Info writes an event of normal operation.
func (l *Logger) Info(e Event, fields ...Field) {
	if l != nil && l.out != nil {
		l.write(l.out.Info(), e, fields)
	}
}

// Warn writes an event that may need the attention of an operator.
func (l *Logger) Warn(e Event, fields ...Field) {
	if l != nil && l.out != nil {
		l.write(l.out.Warn(), e, fields)
	}
}

// write adds the event, the VM and the fields to a log entry and writes it.
func (l *Logger) write(entry *log.Entry, e Event, fields []Field) {
	entry.Str("event", string(e)).Str("vm", l.vmID)
	for _, f := range fields {
		if f.isInteger {
			entry.Int64(f.key, f.integer)
			continue
		}
		entry.Str(f.key, f.text)
	}
	entry.Msg("")
}

// formatLine formats an entry as one line. It removes the empty message that the library appends to the line, which
// would be a value without a key.
func formatLine(w io.Writer, args *log.FormatterArgs) (int, error) {
	var b bytes.Buffer
	if _, err := (log.LogfmtFormatter{TimeField: "time"}).Formatter(&b, args); err != nil {
		return 0, err
	}
	line := bytes.TrimSuffix(b.Bytes(), []byte(" \"\"\n"))
	return w.Write(append(line, '\n'))
}
