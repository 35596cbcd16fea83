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

// Path is the path of the handler.
const Path = "/unit"

const (
	requestHeader = "Parsleyscale-Request"
	idHeader      = "Parsleyscale-Id"
	endTrailer    = "Parsleyscale-End"
	contentType   = "application/vnd.parsleyscale.unit"
)

// end is the content of the trailer.
type end struct {
	ID      string           `json:"id"`
	Result  exchanger.Result `json:"result"`
	Kind    classifier.Kind  `json:"kind,omitempty"` // empty: no error
	Message string           `json:"message,omitempty"`
}

func newEnd(id string, res exchanger.Result, err error) end {
	e := end{ID: id, Result: res}
	if err != nil {
		e.Kind, e.Message = classifier.KindOf(err), classifier.Message(err)
	}
	return e
}

// err returns the error of the other VM with its kind.
func (e end) err() error {
	if e.Kind == "" {
		return nil
	}
	return classifier.New(e.Kind, "%s", e.Message)
}

// encodeHeader returns v in JSON without bytes that a header cannot carry.
func encodeHeader(v any) (string, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return "", err
	}
	if !slices.ContainsFunc(b, func(c byte) bool { return c >= 0x7f }) {
		return string(b), nil
	}
	var s strings.Builder
	for _, r := range string(b) {
		switch {
		case r < 0x7f:
			s.WriteByte(byte(r))
		case r <= 0xffff:
			fmt.Fprintf(&s, `\u%04x`, r)
		default:
			high, low := utf16.EncodeRune(r)
			fmt.Fprintf(&s, `\u%04x\u%04x`, high, low)
		}
	}
	return s.String(), nil
}

// nothingSent marks an error after which the other VM cannot have run anything.
type nothingSent struct{ err error }

// Error returns the text of the classified error.
func (e *nothingSent) Error() string { return e.err.Error() }

// Unwrap returns the classified error.
func (e *nothingSent) Unwrap() error { return e.err }

// IsNothingSent reports whether err means that no message of the unit was sent
// to the other VM, or that its server refused the unit before a Runner got it.
// Any unit may then be given to another VM.
func IsNothingSent(err error) bool {
	var e *nothingSent
	return errors.As(err, &e)
}
