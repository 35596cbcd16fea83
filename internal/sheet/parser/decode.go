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

// Decode decodes a sheet from JSON with comments and checks it. If a field is invalid,
// the error names the line and the JSON pointer of the first such field.
func Decode(b []byte) (Sheet, error) {
	doc, err := hujson.Parse(bytes.Clone(b))
	if err != nil {
		return Sheet{}, classifier.Wrap(classifier.Invalid, err, "sheet")
	}
	var s Sheet
	f := checkTypes(doc, reflect.TypeFor[Sheet](), "")
	if f == nil {
		standard := doc.Clone()
		standard.Standardize()
		if err := json.Unmarshal(standard.Pack(), &s); err != nil {
			return Sheet{}, classifier.Wrap(classifier.Invalid, err, "sheet")
		}
		f = s.validate()
	}
	if f != nil {
		return Sheet{}, invalidf("line %d: %s: %s", errorLine(doc, b, f), f.pointer, f.message)
	}
	return s, nil
}

// errorLine returns the line of the field, or of its nearest ancestor if the document
// does not contain the field.
func errorLine(doc hujson.Value, b []byte, f *fieldError) int {
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

// checkTypes checks a JSON value against the type that it is to be decoded into, and
// returns the first error. Unlike encoding/json, it gives the field of every error and
// detects duplicate fields.
func checkTypes(v hujson.Value, t reflect.Type, pointer string) *fieldError {
	switch node := v.Value.(type) {
	case *hujson.Object:
		return checkObject(node, t, pointer)
	case *hujson.Array:
		if t.Kind() != reflect.Slice {
			return fieldErrorf(pointer, "is a list, not %s", typeName(t))
		}
		for i, element := range node.Elements {
			if f := checkTypes(element, t.Elem(), fmt.Sprintf("%s/%d", pointer, i)); f != nil {
				return f
			}
		}
	case hujson.Literal:
		return checkLiteral(node, t, pointer)
	}
	return nil
}

func checkObject(o *hujson.Object, t reflect.Type, pointer string) *fieldError {
	if t.Kind() != reflect.Struct {
		return fieldErrorf(pointer, "is an object, not %s", typeName(t))
	}
	fieldTypes := map[string]reflect.Type{}
	for i := range t.NumField() {
		fieldTypes[t.Field(i).Tag.Get("json")] = t.Field(i).Type
	}
	seen := map[string]bool{}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		memberPointer := pointer + "/" + strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
		fieldType, ok := fieldTypes[name]
		if !ok {
			return fieldErrorf(memberPointer, "is not a field of %s", typeName(t))
		}
		if seen[name] {
			return &fieldError{pointer: memberPointer, message: "is a duplicate field", offset: m.Name.StartOffset}
		}
		seen[name] = true
		if f := checkTypes(m.Value, fieldType, memberPointer); f != nil {
			return f
		}
	}
	return nil
}

func checkLiteral(l hujson.Literal, t reflect.Type, pointer string) *fieldError {
	if l.Kind() == 'n' {
		return fieldErrorf(pointer, "must not be null")
	}
	err := json.Unmarshal(l, reflect.New(t).Interface())
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return fieldErrorf(pointer, "is a %s, not %s", typeErr.Value, typeName(t))
	}
	if err != nil {
		return fieldErrorf(pointer, "%s", err)
	}
	return nil
}

// typeName returns the name of a type for error messages.
func typeName(t reflect.Type) string {
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
