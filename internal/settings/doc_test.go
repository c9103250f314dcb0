package settings

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/orioleusher/orioleusher/internal/document"
)

// configurationDoc is the documentation page that lists every field.
const configurationDoc = "../../docs/CONFIGURATION.md"

// field is one row of the page, as derived from the code.
type field struct {
	name, kind, byDefault, limits string
}

func (f field) row() string {
	return fmt.Sprintf("| `%s` | %s | %s | %s |", f.name, f.kind, f.byDefault, f.limits)
}

// fieldProber derives the documentation of each field from the check: the default that it fills in, and the limits that
// it reports for a faulty value.
type fieldProber struct {
	// sample returns a pointer to a valid settings struct.
	sample func() any
	check  func(any) []Problem
}

// fields returns every field of the sample's type. A slice of structs is represented by its first element.
func (c fieldProber) fields(t *testing.T) []field {
	t.Helper()
	var found []field
	c.walk(reflect.TypeOf(c.sample()).Elem(), "", nil, func(name string, index []step, ft reflect.Type) {
		found = append(found, field{
			name: name, kind: kindOf(name, ft), byDefault: c.defaultOf(index, ft), limits: c.limitsOf(t, name, index, ft),
		})
	})
	return found
}

// step is the index of a struct field, or firstElement for the first element of a slice.
type step int

const firstElement step = -1

func (c fieldProber) walk(t reflect.Type, path string, index []step, visit func(string, []step, reflect.Type)) {
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if path != "" {
			name = path + "." + name
		}
		here := append(append([]step(nil), index...), step(i))
		switch {
		case f.Type.Kind() == reflect.Struct:
			c.walk(f.Type, name, here, visit)
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			c.walk(f.Type.Elem(), name+"[]", append(here, firstElement), visit)
		case f.Type.Kind() == reflect.Slice:
			visit(name+"[]", append(here, firstElement), f.Type.Elem())
		default:
			visit(name, here, f.Type)
		}
	}
}

func fieldAt(v reflect.Value, index []step) reflect.Value {
	for _, s := range index {
		if s == firstElement {
			if v.Len() == 0 {
				v.Set(reflect.MakeSlice(v.Type(), 1, 1))
			}
			v = v.Index(0)
			continue
		}
		v = v.Field(int(s))
	}
	return v
}

// kindOf returns the type as the page names it.
func kindOf(name string, t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[Duration]():
		return "duration"
	case t.Kind() == reflect.Pointer:
		return "time"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.String:
		return "text"
	case strings.HasSuffix(name, "_bytes"):
		return "bytes"
	case t.Kind() == reflect.Float64:
		return "number"
	default:
		return "whole number"
	}
}

// defaultOf returns the default that the check fills in for a field that is left out.
func (c fieldProber) defaultOf(index []step, t reflect.Type) string {
	sample := c.sample()
	target := fieldAt(reflect.ValueOf(sample).Elem(), index)
	target.Set(reflect.Zero(t))
	c.check(sample)
	filled := fieldAt(reflect.ValueOf(sample).Elem(), index)
	if filled.IsZero() {
		return "–"
	}
	if d, ok := filled.Interface().(Duration); ok {
		return d.Std().String()
	}
	return fmt.Sprint(filled.Interface())
}

// limitsOf returns the accepted values that the check reports for an invalid value.
func (c fieldProber) limitsOf(t *testing.T, name string, index []step, ft reflect.Type) string {
	t.Helper()
	sample := c.sample()
	target := fieldAt(reflect.ValueOf(sample).Elem(), index)
	switch ft.Kind() {
	case reflect.Bool:
		return "–"
	case reflect.String:
		target.SetString("\x00")
	case reflect.Int, reflect.Int64:
		target.SetInt(-1)
	case reflect.Uint64:
		target.SetUint(0)
	case reflect.Float64:
		target.SetFloat(-1)
	default:
		return "–"
	}
	normalise := strings.NewReplacer("[0]", "[]").Replace
	for _, p := range c.check(sample) {
		if normalise(p.Field) == name || normalise(p.Field)+"[]" == name {
			return p.Want
		}
	}
	return "–"
}

func loadSample[T any, P interface {
	*T
	Checker
}](t *testing.T, file string) fieldProber {
	return fieldProber{
		sample: func() any {
			var v T
			if err := Load(file, P(&v)); err != nil {
				t.Fatal(err)
			}
			return &v
		},
		check: func(v any) []Problem { return v.(Checker).Check() },
	}
}

func documentSample(t *testing.T) fieldProber {
	return fieldProber{
		sample: func() any {
			raw, err := os.ReadFile("../../deploy/lobue/document.json")
			if err != nil {
				t.Fatal(err)
			}
			snap, err := document.Parse(raw)
			if err != nil {
				t.Fatal(err)
			}
			snap.Version = 2
			snap.Parent.Version = 1
			return snap.Document
		},
		check: func(v any) []Problem {
			var invalid *document.ValidationError
			if errors.As(v.(*document.Document).Validate(), &invalid) {
				return invalid.Problems
			}
			return nil
		},
	}
}

// TestEveryFieldIsDocumented compares name, type, default and limits of every field with the page, in both directions.
func TestEveryFieldIsDocumented(t *testing.T) {
	raw, err := os.ReadFile(configurationDoc)
	if err != nil {
		t.Fatal(err)
	}
	router := loadSample[Router](t, "../../deploy/lobue/acireale-1.router.json")
	console := loadSample[Console](t, "../../deploy/lobue/console.json")
	standIns := loadSample[StandIns](t, "../../deploy/lobue/standins.json")
	sections := []struct {
		title  string
		prober fieldProber
	}{
		{"## The document", documentSample(t)}, {"## Settings of oriole-router", router},
		{"## Settings of oriole-router --direct", loadSample[Direct](t, "testdata/direct.json")},
		{"## Settings of oriole-console", console}, {"## Settings of the stand-ins", standIns},
		{"## Settings of the stand-ins of direct sending", loadSample[DirectStandIns](t, "../../deploy/direct/standins.json")},
	}
	for _, s := range sections {
		t.Run(s.title, func(t *testing.T) { compareSection(t, section(t, string(raw), s.title), s.prober.fields(t)) })
	}
}

func section(t *testing.T, page, title string) string {
	t.Helper()
	_, after, found := strings.Cut(page, "\n"+title+"\n")
	if !found {
		t.Fatalf("%s has no section %q", configurationDoc, title)
	}
	text, _, _ := strings.Cut(after, "\n## ")
	return text
}

var rowPattern = regexp.MustCompile("(?m)^\\| `([^`]+)` \\|.*$")

func compareSection(t *testing.T, text string, fields []field) {
	t.Helper()
	rows := map[string]string{}
	for _, match := range rowPattern.FindAllStringSubmatch(text, -1) {
		rows[match[1]] = match[0]
	}
	for _, f := range fields {
		row, known := rows[f.name]
		delete(rows, f.name)
		meaning, right := strings.CutPrefix(row, f.row())
		if !known || !right || len(strings.Trim(meaning, " |")) == 0 {
			t.Errorf("docs/CONFIGURATION.md: want a row that begins with %s and then says what the field is; it has %q", f.row(), row)
		}
	}
	for name := range rows {
		t.Errorf("docs/CONFIGURATION.md: field %s does not exist", name)
	}
}
