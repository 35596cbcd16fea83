package loader

import (
	"reflect"
)

// SettingDescription describes one setting.
type SettingDescription struct {
	Field string
	Type  string
	Text  string
}

// Table returns a row for each field of Settings and of the types that it contains.
func Table() []SettingDescription { return rowsOf("", reflect.TypeOf(Settings{})) }

// LineTable returns a row for each field of LineSettings.
func LineTable() []SettingDescription { return rowsOf("", reflect.TypeOf(LineSettings{})) }

// rowsOf returns a row for each field of a struct type and of the structs that it contains. Names start with prefix.
func rowsOf(prefix string, t reflect.Type) []SettingDescription {
	var rows []SettingDescription
	for i := range t.NumField() {
		f := t.Field(i)
		name := prefix + f.Tag.Get("json")
		rows = append(rows, SettingDescription{Field: name, Type: typeName(f.Type), Text: f.Tag.Get("doc")})
		switch {
		case f.Type.Kind() == reflect.Struct:
			rows = append(rows, rowsOf(name+".", f.Type)...)
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			rows = append(rows, rowsOf(name+"[].", f.Type.Elem())...)
		}
	}
	return rows
}

// typeName returns the type of a setting as the reference page names it.
func typeName(t reflect.Type) string {
	switch {
	case t == reflect.TypeOf(Duration(0)):
		return "duration"
	case t.Kind() == reflect.Struct:
		return "object"
	case t.Kind() == reflect.Slice:
		return "list"
	}
	return t.Kind().String()
}
