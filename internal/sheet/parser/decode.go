package parser

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"

	"parsleyscale/internal/failure/classifier"
)

// Decode reads a sheet in JSON with comments and checks it. The error names
// the line and the field of the first fault.
func Decode(b []byte) (Sheet, error) {
	doc, err := hujson.Parse(bytes.Clone(b))
	if err != nil {
		return Sheet{}, classifier.Wrap(classifier.Invalid, err, "sheet")
	}
	var s Sheet
	f := locate(doc, reflect.TypeFor[Sheet](), "")
	if f == nil {
		std := doc.Clone()
		std.Standardize()
		if err := json.Unmarshal(std.Pack(), &s); err != nil {
			return Sheet{}, classifier.Wrap(classifier.Invalid, err, "sheet")
		}
		f = s.fault()
	}
	if f != nil {
		return Sheet{}, invalid("line %d: %s: %s", lineOf(doc, b, f), f.pointer, f.message)
	}
	return s, nil
}

// lineOf returns the line of a field, or of the nearest enclosing one that the document has.
func lineOf(doc hujson.Value, b []byte, f *fault) int {
	offset, pointer := f.offset, f.pointer
	for offset == 0 {
		if v := doc.Find(pointer); v != nil {
			offset = v.StartOffset
			break
		}
		pointer = pointer[:strings.LastIndex(pointer, "/")]
	}
	return 1 + bytes.Count(b[:offset], []byte("\n"))
}

// locate compares a document with the type that it is to be decoded into. In
// contrast to encoding/json it knows the field of every fault and finds
// members that are named twice.
func locate(v hujson.Value, t reflect.Type, pointer string) *fault {
	switch x := v.Value.(type) {
	case *hujson.Object:
		return locateMembers(x, t, pointer)
	case *hujson.Array:
		if t.Kind() != reflect.Slice {
			return faultf(pointer, "is a list, not %s", nameOf(t))
		}
		for i, e := range x.Elements {
			if f := locate(e, t.Elem(), fmt.Sprintf("%s/%d", pointer, i)); f != nil {
				return f
			}
		}
	case hujson.Literal:
		return locateLiteral(x, t, pointer)
	}
	return nil
}

func locateMembers(o *hujson.Object, t reflect.Type, pointer string) *fault {
	if t.Kind() != reflect.Struct {
		return faultf(pointer, "is an object, not %s", nameOf(t))
	}
	types := map[string]reflect.Type{}
	for i := range t.NumField() {
		types[t.Field(i).Tag.Get("json")] = t.Field(i).Type
	}
	seen := map[string]bool{}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		at := pointer + "/" + strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
		ft, ok := types[name]
		if !ok {
			return faultf(at, "is not a field of %s", nameOf(t))
		}
		if seen[name] {
			return &fault{pointer: at, message: "is given twice", offset: m.Name.StartOffset}
		}
		seen[name] = true
		if f := locate(m.Value, ft, at); f != nil {
			return f
		}
	}
	return nil
}

func locateLiteral(l hujson.Literal, t reflect.Type, pointer string) *fault {
	if l.Kind() == 'n' {
		return faultf(pointer, "is null")
	}
	err := json.Unmarshal(l, reflect.New(t).Interface())
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return faultf(pointer, "is a %s, not %s", wrong.Value, nameOf(t))
	}
	if err != nil {
		return faultf(pointer, "%s", err)
	}
	return nil
}

func nameOf(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Int:
		return "a whole number"
	case reflect.Struct:
		return "a " + strings.ToLower(t.Name())
	}
	return "a duration"
}
