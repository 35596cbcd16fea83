package forwarder

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"unicode/utf16"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/request/exchanger"
)

// Path is the URL path at which a VM accepts forwarded units.
const Path = "/unit"

const (
	requestHeader   = "Parsleyscale-Request" // the exchanger.Request as JSON
	requestIDHeader = "Parsleyscale-Id"
	resultTrailer   = "Parsleyscale-End" // the trailer struct as JSON
	contentType     = "application/vnd.parsleyscale.unit"
)

// trailer is the content of the response trailer.
type trailer struct {
	ID      string           `json:"id"`
	Result  exchanger.Result `json:"result"`
	Kind    classifier.Kind  `json:"kind,omitempty"` // empty if there is no error
	Message string           `json:"message,omitempty"`
}

func newTrailer(id string, res exchanger.Result, err error) trailer {
	t := trailer{ID: id, Result: res}
	if err != nil {
		t.Kind, t.Message = classifier.KindOf(err), classifier.Message(err)
	}
	return t
}

// err returns the error that the other VM reported, classified as the same kind, or nil.
func (t trailer) err() error {
	if t.Kind == "" {
		return nil
	}
	return classifier.New(t.Kind, "%s", t.Message)
}

// encodeHeader returns v as JSON in which DEL and all non-ASCII characters are escaped, because a header field
// cannot carry them.
func encodeHeader(v any) (string, error) {
	encoded, err := json.Marshal(v)
	if err != nil {
		return "", err
	}
	if !slices.ContainsFunc(encoded, func(c byte) bool { return c >= 0x7f }) {
		return string(encoded), nil
	}
	var escaped strings.Builder
	for _, r := range string(encoded) {
		switch {
		case r < 0x7f:
			escaped.WriteByte(byte(r))
		case r <= 0xffff:
			fmt.Fprintf(&escaped, `\u%04x`, r)
		default:
			high, low := utf16.EncodeRune(r)
			fmt.Fprintf(&escaped, `\u%04x\u%04x`, high, low)
		}
	}
	return escaped.String(), nil
}

// notProcessedError wraps a classified error after which the other VM cannot have run any part of the unit.
type notProcessedError struct{ err error }

// Error returns the text of the wrapped error.
func (e *notProcessedError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *notProcessedError) Unwrap() error { return e.err }

// IsNotProcessed reports whether err means that no message of the unit was sent
// to the other VM, or that its server refused the unit before calling a Runner.
// In both cases a unit of any class may be run on another VM.
func IsNotProcessed(err error) bool {
	var e *notProcessedError
	return errors.As(err, &e)
}
