// Package decoder holds types of the project's own JSON formats that check themselves when decoded.
package decoder

import (
	"encoding/json"
	"reflect"
	"strconv"
	"time"
)

// Duration is a time.Duration written as text, such as "300ms".
type Duration time.Duration

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON writes the text form.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.Std().String()) }

// UnmarshalJSON reads the text form. Its error is of the type to which the JSON
// decoder adds the name of the field.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return d.fault(string(b))
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return d.fault(strconv.Quote(s))
	}
	*d = Duration(v)
	return nil
}

func (d *Duration) fault(value string) error {
	return &json.UnmarshalTypeError{Value: value, Type: reflect.TypeFor[time.Duration]()}
}
