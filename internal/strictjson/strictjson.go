// Package strictjson decodes settings and documents and reports all problems at once: unknown fields, duplicate fields,
// values of the wrong type and data after the JSON value.
//
// In contrast, encoding/json stops at the first problem, does not report its position and ignores letter case in field
// names.
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

// Problem is one fault of a file: the field, the value found and the values accepted.
type Problem struct {
	Field string `json:"field"`
	Value string `json:"value"`
	Want  string `json:"want"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("field %s: value %q: want %s", p.Field, p.Value, p.Want)
}

// ValueDescriber is implemented by types that decode themselves and describe the values that they accept.
type ValueDescriber interface {
	// AcceptedValues describes the accepted values.
	AcceptedValues() string
}

// maxValueBytes is the maximum length of a value in a problem; longer values are truncated.
const maxValueBytes = 120

// Decode decodes raw into v, a pointer to a struct, and returns all problems found. Fields with problems keep their
// zero values and all other fields are set, so that v can be checked further.
func Decode(raw []byte, v any) []Problem {
	d := &decoder{raw: raw}
	tree, err := d.parse()
	if err != nil {
		// The errors of the token reader do not reliably include the position.
		if exact := json.Unmarshal(raw, new(any)); exact != nil {
			err = exact
		}
		return append(d.problems, Problem{Field: d.position(err), Value: d.excerpt(err), Want: "valid JSON: " + err.Error()})
	}
	valid := d.check("", tree, reflect.TypeOf(v).Elem())
	clean, err := json.Marshal(valid)
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
	if len(value) > maxValueBytes {
		value = value[:maxValueBytes] + "..."
	}
	d.problems = append(d.problems, Problem{Field: field, Value: value, Want: want})
}

// object is a JSON object. A duplicate name keeps its first value.
type object struct {
	names  []string
	values map[string]any
}

// MarshalJSON implements json.Marshaler.
func (o *object) MarshalJSON() ([]byte, error) {
	raw, err := json.Marshal(o.values)
	return raw, errors.Wrap(err, "encode object")
}

// parse parses the whole text into objects, slices and scalars.
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
		offset := end + int64(bytes.Index(d.raw[end:], rest))
		d.add(lineColumn(d.raw, offset), string(rest), "nothing after the JSON value")
	}
	return tree, nil
}

func (d *decoder) value(path string) (any, error) {
	token, err := d.tokens.Token()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	switch token {
	case json.Delim('{'):
		return d.object(path)
	case json.Delim('['):
		return d.array(path)
	default:
		return token, nil
	}
}

func (d *decoder) object(path string) (any, error) {
	o := &object{values: map[string]any{}}
	for d.tokens.More() {
		token, err := d.tokens.Token()
		if err != nil {
			return nil, errors.WithStack(err)
		}
		name, _ := token.(string)
		field := join(path, name)
		value, err := d.value(field)
		if err != nil {
			return nil, err
		}
		if _, duplicate := o.values[name]; duplicate {
			d.add(field, display(value), "a field given only once")
			continue
		}
		o.names = append(o.names, name)
		o.values[name] = value
	}
	_, err := d.tokens.Token()
	return o, errors.WithStack(err)
}

func (d *decoder) array(path string) (any, error) {
	list := []any{}
	for d.tokens.More() {
		value, err := d.value(fmt.Sprintf("%s[%d]", path, len(list)))
		if err != nil {
			return nil, err
		}
		list = append(list, value)
	}
	_, err := d.tokens.Token()
	return list, errors.WithStack(err)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func display(value any) string {
	raw, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	if text, err := strconv.Unquote(string(raw)); err == nil {
		return text
	}
	return string(raw)
}

// position returns the line and column of a syntax error.
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

// excerpt returns the text at a syntax error.
func (d *decoder) excerpt(err error) string {
	const excerptBytes = 20
	start := d.offset(err)
	return string(d.raw[start:min(start+excerptBytes, int64(len(d.raw)))])
}

func lineColumn(raw []byte, offset int64) string {
	before := raw[:offset]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("(line %d, column %d)", line, column)
}

var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

// check compares the value with the type into which it is to be decoded, and returns the part that can be decoded.
func (d *decoder) check(path string, value any, t reflect.Type) any {
	if t.Kind() == reflect.Pointer {
		if value == nil {
			return nil
		}
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(unmarshaler) {
		return d.checkCustom(path, value, t)
	}
	switch t.Kind() {
	case reflect.Struct:
		return d.checkStruct(path, value, t)
	case reflect.Slice:
		return d.checkSlice(path, value, t)
	default:
		return d.checkScalar(path, value, t)
	}
}

func (d *decoder) checkCustom(path string, value any, t reflect.Type) any {
	raw, err := json.Marshal(value)
	if err != nil {
		d.add(path, display(value), "a JSON value")
		return nil
	}
	target := reflect.New(t).Interface()
	if json.Unmarshal(raw, target) == nil {
		return value
	}
	want := "a time such as \"2026-01-31T15:04:05Z\""
	if w, ok := target.(ValueDescriber); ok {
		want = w.AcceptedValues()
	}
	d.add(path, display(value), want)
	return nil
}

func (d *decoder) checkStruct(path string, value any, t reflect.Type) any {
	o, ok := value.(*object)
	if !ok {
		d.add(path, display(value), "an object")
		return nil
	}
	fields := map[string]reflect.Type{}
	collectFields(t, fields)
	valid := map[string]any{}
	for _, name := range o.names {
		fieldType, known := fields[name]
		if !known {
			d.add(join(path, name), display(o.values[name]), "one of the fields "+nameList(fields))
			continue
		}
		if v := d.check(join(path, name), o.values[name], fieldType); v != nil {
			valid[name] = v
		}
	}
	return valid
}

// collectFields collects the JSON names and types of a struct's fields.
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

func (d *decoder) checkSlice(path string, value any, t reflect.Type) any {
	if value == nil {
		return nil
	}
	list, ok := value.([]any)
	if !ok {
		d.add(path, display(value), "a list")
		return nil
	}
	valid := make([]any, len(list))
	for i, v := range list {
		// An invalid element is replaced by null, so that the indexes of later problems are correct.
		valid[i] = d.check(fmt.Sprintf("%s[%d]", path, i), v, t.Elem())
	}
	return valid
}

func (d *decoder) checkScalar(path string, value any, t reflect.Type) any {
	raw, err := json.Marshal(value)
	if err == nil && value != nil {
		err = json.Unmarshal(raw, reflect.New(t).Interface())
	}
	if err == nil && value != nil {
		return value
	}
	d.add(path, display(value), scalarWant(t))
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
