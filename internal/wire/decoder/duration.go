// Package decoder holds types of the project's own JSON formats that check themselves when decoded.
package decoder

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration written as text, such as "300ms".
type Duration time.Duration

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON writes the text form.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.Std().String()) }

// UnmarshalJSON reads the text form.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("duration %s is not a text such as \"300ms\"", b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("duration %q: %w", s, err)
	}
	*d = Duration(v)
	return nil
}
