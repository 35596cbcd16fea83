package loader

import (
	"reflect"
)

// Row describes one setting for the reference page.
type Row struct {
	Field string
	Type  string
	Text  string
}

// Table returns one row for each setting, made from the tags of the types.
func Table() []Row { return rowsOf("", reflect.TypeOf(Settings{})) }

// LineTable returns one row for each setting of LineSettings.
func LineTable() []Row { return rowsOf("", reflect.TypeOf(LineSettings{})) }

func rowsOf(prefix string, t reflect.Type) []Row {
	var rows []Row
	for i := range t.NumField() {
		f := t.Field(i)
		name := prefix + f.Tag.Get("json")
		rows = append(rows, Row{Field: name, Type: typeName(f.Type), Text: f.Tag.Get("doc")})
		switch {
		case f.Type.Kind() == reflect.Struct:
			rows = append(rows, rowsOf(name+".", f.Type)...)
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			rows = append(rows, rowsOf(name+"[].", f.Type.Elem())...)
		}
	}
	return rows
}

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
