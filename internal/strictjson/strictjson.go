// Package strictjson decodes the project's settings and documents and reports every problem at once: unknown fields,
// fields given twice, values of the wrong type and data after the JSON value.
//
// encoding/json stops at the first problem and does not say where it is; it also ignores letter case in names.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Problem is one fault of a file: where it is, what was found and what would be right.
type Problem struct {
	Field string `json:"field"`
	Value string `json:"value"`
	Want  string `json:"want"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("field %s: value %q: want %s", p.Field, p.Value, p.Want)
}

// ValueDescriber is implemented by types that decode themselves and can say what they want.
type ValueDescriber interface {
	// Want describes the accepted values.
	Want() string
}

// maxShown is the longest value that a problem shows, in bytes.
const maxShown = 120

// Decode decodes raw into v, a pointer to a struct. It returns every problem found; the fields that have problems keep
// their zero values and all others are set, so that v can be checked further.
func Decode(raw []byte, v any) []Problem {
	d := &decoder{raw: raw}
	tree, err := d.parse()
	if err != nil {
		// The token reader's errors do not say reliably where they are.
		if exact := json.Unmarshal(raw, new(any)); exact != nil {
			err = exact
		}
		return append(d.problems, Problem{Field: d.position(err), Value: d.near(err), Want: "valid JSON: " + err.Error()})
	}
	kept := d.check("", tree, reflect.TypeOf(v).Elem())
	clean, err := json.Marshal(kept)
	if err == nil {
		err = json.Unmarshal(clean, v)
	}
	if err != nil {
		d.add("(file)", "", err.Error())
	}
	return d.problems
}

type decoder struct {
	raw      []byte
	tokens   *json.Decoder
	problems []Problem
}

func (d *decoder) add(field, value, want string) {
	if len(value) > maxShown {
		value = value[:maxShown] + "..."
	}
	d.problems = append(d.problems, Problem{Field: field, Value: value, Want: want})
}

// object is a JSON object; a name that was given twice keeps its first value.
type object struct {
	names  []string
	values map[string]any
}

// MarshalJSON encodes the object.
func (o *object) MarshalJSON() ([]byte, error) {
	raw, err := json.Marshal(o.values)
	return raw, errors.Wrap(err, "encode object")
}

// parse reads the whole text into objects, slices and scalars.
func (d *decoder) parse() (any, error) {
	d.tokens = json.NewDecoder(bytes.NewReader(d.raw))
	d.tokens.UseNumber()
	tree, err := d.value("")
	if err != nil {
		return nil, err
	}
	end := d.tokens.InputOffset()
	if _, err := d.tokens.Token(); !errors.Is(err, io.EOF) {
		rest := bytes.TrimSpace(d.raw[end:])
		at := end + int64(bytes.Index(d.raw[end:], rest))
		d.add(lineColumn(d.raw, at), string(rest), "nothing after the JSON value")
	}
	return tree, nil
}

func (d *decoder) value(at string) (any, error) {
	token, err := d.tokens.Token()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	switch token {
	case json.Delim('{'):
		return d.object(at)
	case json.Delim('['):
		return d.array(at)
	default:
		return token, nil
	}
}

func (d *decoder) object(at string) (any, error) {
	o := &object{values: map[string]any{}}
	for d.tokens.More() {
		token, err := d.tokens.Token()
		if err != nil {
			return nil, errors.WithStack(err)
		}
		name, _ := token.(string)
		field := join(at, name)
		value, err := d.value(field)
		if err != nil {
			return nil, err
		}
		if _, twice := o.values[name]; twice {
			d.add(field, show(value), "a field given only once")
			continue
		}
		o.names = append(o.names, name)
		o.values[name] = value
	}
	_, err := d.tokens.Token()
	return o, errors.WithStack(err)
}

func (d *decoder) array(at string) (any, error) {
	list := []any{}
	for d.tokens.More() {
		value, err := d.value(fmt.Sprintf("%s[%d]", at, len(list)))
		if err != nil {
			return nil, err
		}
		list = append(list, value)
	}
	_, err := d.tokens.Token()
	return list, errors.WithStack(err)
}

func join(at, name string) string {
	if at == "" {
		return name
	}
	return at + "." + name
}

func show(value any) string {
	raw, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	if text, err := strconv.Unquote(string(raw)); err == nil {
		return text
	}
	return string(raw)
}

// position returns where a syntax error is, as line and column.
func (d *decoder) position(err error) string {
	return lineColumn(d.raw, d.offset(err))
}

func (d *decoder) offset(err error) int64 {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return max(0, min(syntax.Offset-1, int64(len(d.raw))))
	}
	return int64(len(d.raw))
}

// near returns the text at a syntax error.
func (d *decoder) near(err error) string {
	const nearBytes = 20
	at := d.offset(err)
	return string(d.raw[at:min(at+nearBytes, int64(len(d.raw)))])
}

func lineColumn(raw []byte, offset int64) string {
	before := raw[:offset]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("(line %d, column %d)", line, column)
}

var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

// check compares value with the type that it is to be decoded into and returns what may be decoded.
func (d *decoder) check(at string, value any, t reflect.Type) any {
	if t.Kind() == reflect.Pointer {
		if value == nil {
			return nil
		}
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(unmarshaler) {
		return d.checkCustom(at, value, t)
	}
	switch t.Kind() {
	case reflect.Struct:
		return d.checkStruct(at, value, t)
	case reflect.Slice:
		return d.checkSlice(at, value, t)
	default:
		return d.checkScalar(at, value, t)
	}
}

func (d *decoder) checkCustom(at string, value any, t reflect.Type) any {
	raw, err := json.Marshal(value)
	if err != nil {
		d.add(at, show(value), "a JSON value")
		return nil
	}
	target := reflect.New(t).Interface()
	if json.Unmarshal(raw, target) == nil {
		return value
	}
	want := "a time such as \"2026-01-31T15:04:05Z\""
	if w, ok := target.(ValueDescriber); ok {
		want = w.Want()
	}
	d.add(at, show(value), want)
	return nil
}

func (d *decoder) checkStruct(at string, value any, t reflect.Type) any {
	o, ok := value.(*object)
	if !ok {
		d.add(at, show(value), "an object")
		return nil
	}
	fields := map[string]reflect.Type{}
	collectFields(t, fields)
	kept := map[string]any{}
	for _, name := range o.names {
		fieldType, known := fields[name]
		if !known {
			d.add(join(at, name), show(o.values[name]), "one of the fields "+nameList(fields))
			continue
		}
		if v := d.check(join(at, name), o.values[name], fieldType); v != nil {
			kept[name] = v
		}
	}
	return kept
}

// collectFields fills in the JSON names and types of a struct's fields.
func collectFields(t reflect.Type, fields map[string]reflect.Type) {
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch {
		case name == "-" || !f.IsExported():
		case f.Anonymous && name == "":
			collectFields(f.Type, fields)
		case name == "":
			fields[f.Name] = f.Type
		default:
			fields[name] = f.Type
		}
	}
}

func nameList(fields map[string]reflect.Type) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

func (d *decoder) checkSlice(at string, value any, t reflect.Type) any {
	if value == nil {
		return nil
	}
	list, ok := value.([]any)
	if !ok {
		d.add(at, show(value), "a list")
		return nil
	}
	kept := make([]any, len(list))
	for i, v := range list {
		// A faulty element keeps its place as a null, so that the indexes of later problems are right.
		kept[i] = d.check(fmt.Sprintf("%s[%d]", at, i), v, t.Elem())
	}
	return kept
}

func (d *decoder) checkScalar(at string, value any, t reflect.Type) any {
	raw, err := json.Marshal(value)
	if err == nil && value != nil {
		err = json.Unmarshal(raw, reflect.New(t).Interface())
	}
	if err == nil && value != nil {
		return value
	}
	d.add(at, show(value), scalarWant(t))
	return nil
}

func scalarWant(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number of at least 0"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "a whole number"
	default:
		return "a " + t.Kind().String()
	}
}
