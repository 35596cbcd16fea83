package loader

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"regexp"

	"github.com/tailscale/hujson"

	"parsleyscale/internal/failure/classifier"
)

// Load reads and validates the settings in a file.
func Load(file string) (Settings, error) {
	s := Default()
	if err := loadFile(file, &s, func() *fieldError { return s.validate() }); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Decode decodes and validates settings. Errors name file as the source.
func Decode(file string, b []byte) (Settings, error) {
	s := Default()
	if err := decode(file, b, &s, func() *fieldError { return s.validate() }); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// loadFile reads a file and decodes it into the settings to.
func loadFile(file string, to any, validate func() *fieldError) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return classifier.Wrap(classifier.Invalid, err, "settings")
	}
	return decode(file, b, to, validate)
}

// decode decodes b into the settings to and validates them.
func decode(file string, b []byte, to any, validate func() *fieldError) error {
	tree, err := hujson.Parse(bytes.Clone(b))
	if err != nil {
		return classifier.Wrap(classifier.Invalid, err, "settings: %s", file)
	}
	standard := tree.Clone()
	standard.Standardize()
	decoder := json.NewDecoder(bytes.NewReader(standard.Pack()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(to); err != nil {
		return describeDecodeError(file, b, tree, to, err)
	}
	if f := validate(); f != nil {
		return classifier.New(classifier.Invalid, "settings: %s:%d: %s: %s", file, lineOf(b, tree, f.pointer), dottedName(f.pointer), f.problem)
	}
	return nil
}

// unknownFieldError matches the error of the JSON decoder for an unknown field.
var unknownFieldError = regexp.MustCompile(`unknown field "([^"]+)"`)

// describeDecodeError adds the line and the field to an error of the JSON decoder.
func describeDecodeError(file string, b []byte, tree hujson.Value, to any, err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return classifier.New(classifier.Invalid, "settings: %s:%d: %s: got %s, want %s", file, lineAtOffset(b, int(typeErr.Offset)), typeErr.Field, typeErr.Value, typeErr.Type)
	}
	if f := findInvalidDuration(tree, "", reflect.TypeOf(to).Elem()); f != nil {
		return classifier.New(classifier.Invalid, "settings: %s:%d: %s: %s", file, lineOf(b, tree, f.pointer), dottedName(f.pointer), f.problem)
	}
	if m := unknownFieldError.FindStringSubmatch(err.Error()); m != nil {
		return classifier.New(classifier.Invalid, "settings: %s:%d: %s: unknown field", file, lineOfMember(b, &tree, m[1]), m[1])
	}
	return classifier.New(classifier.Invalid, "settings: %s: %s", file, err)
}

// findInvalidDuration returns the first duration that cannot be decoded, or nil. It is needed because the JSON decoder
// does not add the field to an error from the UnmarshalJSON method of a type.
func findInvalidDuration(tree hujson.Value, pointer string, t reflect.Type) *fieldError {
	for i := range t.NumField() {
		f := t.Field(i)
		fieldPointer := pointer + "/" + f.Tag.Get("json")
		v := tree.Find(fieldPointer)
		if v == nil {
			continue
		}
		if f.Type.Kind() == reflect.Struct {
			if d := findInvalidDuration(tree, fieldPointer, f.Type); d != nil {
				return d
			}
		}
		if literal, ok := v.Value.(hujson.Literal); ok && f.Type == reflect.TypeFor[Duration]() {
			var d Duration
			if err := json.Unmarshal(literal, &d); err != nil {
				return &fieldError{fieldPointer, err.Error()}
			}
		}
	}
	return nil
}

// lineOf returns the line of the value at a JSON pointer, or of its nearest ancestor that is present. It
// returns 1 if there is none.
func lineOf(b []byte, tree hujson.Value, pointer string) int {
	for p := pointer; p != ""; p = parentPointer(p) {
		if v := tree.Find(p); v != nil {
			return lineAtOffset(b, v.StartOffset)
		}
	}
	return 1
}

// lineOfMember returns the line of the first object member with a name, or 1 if there is none.
func lineOfMember(b []byte, v *hujson.Value, name string) int {
	line := 1
	for node := range v.All() {
		object, ok := node.Value.(*hujson.Object)
		if !ok {
			continue
		}
		for _, m := range object.Members {
			if literal, ok := m.Name.Value.(hujson.Literal); ok && literal.String() == name && line == 1 {
				line = lineAtOffset(b, m.Name.StartOffset)
			}
		}
	}
	return line
}

// parentPointer returns the JSON pointer of the parent, which is empty for a top-level field.
func parentPointer(pointer string) string {
	i := bytes.LastIndexByte([]byte(pointer), '/')
	return pointer[:max(i, 0)]
}

// dottedName returns the name of a field in errors, such as limits.callers, from its JSON pointer.
func dottedName(pointer string) string {
	return string(bytes.ReplaceAll([]byte(pointer[1:]), []byte("/"), []byte(".")))
}

// lineAtOffset returns the line number of a byte offset.
func lineAtOffset(b []byte, offset int) int {
	return 1 + bytes.Count(b[:min(max(offset, 0), len(b))], []byte("\n"))
}

// String returns the main settings as text, without secrets.
func (s Settings) String() string {
	return fmt.Sprintf("id=%s region=%s dataCentre=%s caller=%s peer=%s admin=%s", s.ID, s.Region, s.DataCentre, s.CallerAddress, s.PeerAddress, s.AdminAddress)
}
