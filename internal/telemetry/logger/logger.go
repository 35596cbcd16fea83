package logger

import (
	"bytes"
	"io"
	"time"

	"github.com/phuslu/log"
)

// Field is one key and its value.
type Field struct {
	key   string
	value string
	num   int64
	isNum bool
}

// String returns a text field.
func String(key, value string) Field { return Field{key: key, value: value} }

// Int returns a number field.
func Int(key string, n int64) Field { return Field{key: key, num: n, isNum: true} }

// Millis returns a duration field in milliseconds.
func Millis(key string, d time.Duration) Field { return Int(key+"Ms", d.Milliseconds()) }

// Err returns a field with the text of an error.
func Err(err error) Field {
	if err == nil {
		return String("error", "")
	}
	return String("error", err.Error())
}

// Logger writes events. The zero value discards them.
type Logger struct {
	samples *samples // nil: nothing is left out
	out     *log.Logger
	vm      string
}

// New returns a logger whose lines carry the VM's identity.
func New(w io.Writer, vm string) *Logger {
	return &Logger{
		vm: vm,
		out: &log.Logger{
			Level:      log.InfoLevel,
			TimeFormat: time.RFC3339Nano,
			Writer:     &log.ConsoleWriter{Writer: w, Formatter: formatLine},
		},
	}
}

// WithVM returns a logger whose lines carry another VM's identity.
func (l *Logger) WithVM(vm string) *Logger {
	if l == nil {
		return nil
	}
	return &Logger{out: l.out, vm: vm, samples: l.samples}
}

// Info writes an event of ordinary operation.
func (l *Logger) Info(e Event, fields ...Field) {
	if l != nil && l.out != nil {
		l.emit(l.out.Info(), e, fields)
	}
}

// Warn writes an event that an operator may have to look at.
func (l *Logger) Warn(e Event, fields ...Field) {
	if l != nil && l.out != nil {
		l.emit(l.out.Warn(), e, fields)
	}
}

func (l *Logger) emit(entry *log.Entry, e Event, fields []Field) {
	entry.Str("event", string(e)).Str("vm", l.vm)
	for _, f := range fields {
		if f.isNum {
			entry.Int64(f.key, f.num)
			continue
		}
		entry.Str(f.key, f.value)
	}
	entry.Msg("")
}

// formatLine writes the line without the empty message that the library puts
// at its end, which would be a value without a key.
func formatLine(w io.Writer, args *log.FormatterArgs) (int, error) {
	var b bytes.Buffer
	if _, err := (log.LogfmtFormatter{TimeField: "time"}).Formatter(&b, args); err != nil {
		return 0, err
	}
	line := bytes.TrimSuffix(b.Bytes(), []byte(" \"\"\n"))
	return w.Write(append(line, '\n'))
}
