package strict

import (
	"encoding"
	"encoding/json"
	"reflect"
	"strconv"
	"strings"
)

// maxQuotedBytes limits the part of a value that a report quotes.
const maxQuotedBytes = 80

// ReportFunc receives one invalid field: its path, the value found and the values allowed.
type ReportFunc func(path, value, allowed string)

// Decode decodes the JSON document body into the value that target points to and reports every invalid field.
//
// A struct field is required unless its json tag has omitempty or omitzero. For unknown fields and for types that
// implement encoding.TextUnmarshaler, only the JSON type or the length of a value is reported, because it may be a
// secret.
func Decode(body []byte, target any, report ReportFunc) {
	DecodeKnown(body, target, report, report)
}

// DecodeKnown is Decode for a document that another release may have written: it passes unknown fields over and reports
// them to unknown.
func DecodeKnown(body []byte, target any, report, unknown ReportFunc) {
	root, ok := parse(body, report)
	if !ok {
		return
	}
	d := decoder{report: report, unknown: unknown}
	d.decode(root, reflect.ValueOf(target).Elem(), "")
}

type decoder struct {
	report, unknown ReportFunc
}

func (d decoder) decode(node any, target reflect.Value, path string) {
	if unmarshaler, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(node, unmarshaler, path)
		return
	}
	switch target.Kind() {
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.decode(node, target.Elem(), path)
	case reflect.Struct:
		d.decodeStruct(node, target, path)
	case reflect.Map:
		d.decodeMap(node, target, path)
	case reflect.Slice:
		d.decodeSlice(node, target, path)
	default:
		d.decodeScalar(node, target, path)
	}
}

func (d decoder) decodeText(node any, target encoding.TextUnmarshaler, path string) {
	text, ok := node.(string)
	if !ok {
		d.report(path, describe(node), "a string")
		return
	}
	if target.UnmarshalText([]byte(text)) != nil {
		d.report(path, "a string of "+strconv.Itoa(len(text))+" bytes", allowedText(target))
	}
}

// allowedText describes the texts that target accepts; a type without a method Allowed is assumed to be a digest.
func allowedText(target encoding.TextUnmarshaler) string {
	if describer, ok := target.(interface{ Allowed() string }); ok {
		return describer.Allowed()
	}
	return "64 hexadecimal digits"
}

func (d decoder) decodeStruct(node any, target reflect.Value, path string) {
	members, ok := node.(object)
	if !ok {
		d.report(path, describe(node), "an object")
		return
	}
	fields, names := fieldsOf(target.Type())
	present := make(map[string]bool, len(members))
	for _, m := range members {
		present[m.name] = true
		f, known := fields[m.name]
		if !known {
			d.unknown(joinPath(path, m.name), "an unknown field with "+describe(m.value), "one of "+strings.Join(names, ", "))
			continue
		}
		d.decode(m.value, target.Field(f.index), joinPath(path, m.name))
	}
	for _, name := range names {
		if fields[name].required && !present[name] {
			d.report(joinPath(path, name), "missing", "a value")
		}
	}
}

// field is a struct field with a json tag.
type field struct {
	index    int
	required bool
}

// fieldsOf returns the fields of a struct type by JSON name, and the names in the order of declaration.
func fieldsOf(t reflect.Type) (map[string]field, []string) {
	fields := make(map[string]field, t.NumField())
	var names []string
	for i := range t.NumField() {
		name, options, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		fields[name] = field{index: i, required: !strings.Contains(options, "omit")}
		names = append(names, name)
	}
	return fields, names
}

func (d decoder) decodeMap(node any, target reflect.Value, path string) {
	members, ok := node.(object)
	if !ok {
		d.report(path, describe(node), "an object")
		return
	}
	target.Set(reflect.MakeMapWithSize(target.Type(), len(members)))
	for _, m := range members {
		value := reflect.New(target.Type().Elem()).Elem()
		d.decode(m.value, value, joinPath(path, m.name))
		target.SetMapIndex(reflect.ValueOf(m.name).Convert(target.Type().Key()), value)
	}
}

func (d decoder) decodeSlice(node any, target reflect.Value, path string) {
	values, ok := node.([]any)
	if !ok {
		d.report(path, describe(node), "a list")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(values), len(values)))
	for i, value := range values {
		d.decode(value, target.Index(i), joinPath(path, strconv.Itoa(i)))
	}
}

func (d decoder) decodeScalar(node any, target reflect.Value, path string) {
	switch target.Kind() {
	case reflect.String:
		if s, ok := node.(string); ok {
			target.SetString(s)
			return
		}
		d.report(path, quote(node), "a string")
	case reflect.Bool:
		if b, ok := node.(bool); ok {
			target.SetBool(b)
			return
		}
		d.report(path, quote(node), "true or false")
	default:
		d.decodeNumber(node, target, path)
	}
}

func (d decoder) decodeNumber(node any, target reflect.Value, path string) {
	n, ok := node.(json.Number)
	if !ok {
		d.report(path, quote(node), "a number")
		return
	}
	switch {
	case target.CanInt():
		if i, err := strconv.ParseInt(n.String(), 10, target.Type().Bits()); err == nil {
			target.SetInt(i)
			return
		}
		d.report(path, quote(node), "an integer")
	case target.CanUint():
		if u, err := strconv.ParseUint(n.String(), 10, target.Type().Bits()); err == nil {
			target.SetUint(u)
			return
		}
		d.report(path, quote(node), "an integer of at least 0")
	default:
		if f, err := strconv.ParseFloat(n.String(), target.Type().Bits()); err == nil {
			target.SetFloat(f)
			return
		}
		d.report(path, quote(node), "a number within the range of a 64-bit float")
	}
}

// quote formats a scalar, cut to maxQuotedBytes, and describes any other value.
func quote(node any) string {
	switch v := node.(type) {
	case string:
		if len(v) > maxQuotedBytes {
			v = v[:maxQuotedBytes] + "..."
		}
		return strconv.Quote(v)
	case json.Number:
		s := v.String()
		return s[:min(len(s), maxQuotedBytes)]
	case bool:
		return strconv.FormatBool(v)
	}
	return describe(node)
}

// describe names the JSON type of a value without quoting it.
func describe(node any) string {
	switch node.(type) {
	case nil:
		return "null"
	case object:
		return "an object"
	case []any:
		return "a list"
	case string:
		return "a string"
	case bool:
		return "a boolean"
	}
	return "a number"
}
