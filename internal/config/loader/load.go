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

// Load reads and checks the settings in a file.
func Load(file string) (Settings, error) {
	s := Default()
	if err := loadFile(file, &s, func() *fault { return s.check() }); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Decode reads and checks settings; file names the text in errors.
func Decode(file string, b []byte) (Settings, error) {
	s := Default()
	if err := decode(file, b, &s, func() *fault { return s.check() }); err != nil {
		return Settings{}, err
	}
	return s, nil
}

func loadFile(file string, to any, check func() *fault) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return classifier.Wrap(classifier.Invalid, err, "settings")
	}
	return decode(file, b, to, check)
}

// decode fills the settings and checks them.
func decode(file string, b []byte, to any, check func() *fault) error {
	tree, err := hujson.Parse(bytes.Clone(b))
	if err != nil {
		return classifier.Wrap(classifier.Invalid, err, "settings: %s", file)
	}
	std := tree.Clone()
	std.Standardize()
	d := json.NewDecoder(bytes.NewReader(std.Pack()))
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		return decodeFault(file, b, tree, to, err)
	}
	if f := check(); f != nil {
		return classifier.New(classifier.Invalid, "settings: %s:%d: %s: %s", file, lineOf(b, tree, f.pointer), fieldName(f.pointer), f.text)
	}
	return nil
}

var unknownField = regexp.MustCompile(`unknown field "([^"]+)"`)

// decodeFault adds the line and the field to an error of the JSON decoder.
func decodeFault(file string, b []byte, tree hujson.Value, to any, err error) error {
	var typ *json.UnmarshalTypeError
	if errors.As(err, &typ) {
		return classifier.New(classifier.Invalid, "settings: %s:%d: %s: got %s, want %s", file, lineAt(b, int(typ.Offset)), typ.Field, typ.Value, typ.Type)
	}
	if f := durationFault(tree, "", reflect.TypeOf(to).Elem()); f != nil {
		return classifier.New(classifier.Invalid, "settings: %s:%d: %s: %s", file, lineOf(b, tree, f.pointer), fieldName(f.pointer), f.text)
	}
	if m := unknownField.FindStringSubmatch(err.Error()); m != nil {
		return classifier.New(classifier.Invalid, "settings: %s:%d: %s: unknown field", file, lineOfName(b, &tree, m[1]), m[1])
	}
	return classifier.New(classifier.Invalid, "settings: %s: %s", file, err)
}

// durationFault finds the duration that cannot be read. The JSON decoder does
// not add the field to the error of a type's own decoder.
func durationFault(tree hujson.Value, pointer string, t reflect.Type) *fault {
	for k := range t.NumField() {
		f := t.Field(k)
		at := pointer + "/" + f.Tag.Get("json")
		v := tree.Find(at)
		if v == nil {
			continue
		}
		if f.Type.Kind() == reflect.Struct {
			if d := durationFault(tree, at, f.Type); d != nil {
				return d
			}
		}
		if l, ok := v.Value.(hujson.Literal); ok && f.Type == reflect.TypeFor[Duration]() {
			var d Duration
			if err := json.Unmarshal(l, &d); err != nil {
				return &fault{at, err.Error()}
			}
		}
	}
	return nil
}

// lineOf returns the line of the value at a JSON pointer, or of its nearest parent that is present.
func lineOf(b []byte, tree hujson.Value, pointer string) int {
	for p := pointer; p != ""; p = parentOf(p) {
		if v := tree.Find(p); v != nil {
			return lineAt(b, v.StartOffset)
		}
	}
	return 1
}

// lineOfName returns the line of the first member with a name.
func lineOfName(b []byte, v *hujson.Value, name string) int {
	line := 1
	for n := range v.All() {
		o, ok := n.Value.(*hujson.Object)
		if !ok {
			continue
		}
		for _, m := range o.Members {
			if lit, ok := m.Name.Value.(hujson.Literal); ok && lit.String() == name && line == 1 {
				line = lineAt(b, m.Name.StartOffset)
			}
		}
	}
	return line
}

func parentOf(pointer string) string {
	i := bytes.LastIndexByte([]byte(pointer), '/')
	return pointer[:max(i, 0)]
}

func fieldName(pointer string) string {
	return string(bytes.ReplaceAll([]byte(pointer[1:]), []byte("/"), []byte(".")))
}

func lineAt(b []byte, offset int) int {
	return 1 + bytes.Count(b[:min(max(offset, 0), len(b))], []byte("\n"))
}

// String shows the settings without secrets.
func (s Settings) String() string {
	return fmt.Sprintf("id=%s region=%s dataCentre=%s caller=%s peer=%s admin=%s", s.ID, s.Region, s.DataCentre, s.CallerAddress, s.PeerAddress, s.AdminAddress)
}
