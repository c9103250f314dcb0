package console

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/gorilla/mux"

	"github.com/orioleusher/orioleusher/internal/document"
)

// form reads the values of a posted form and collects what is wrong with them.
type form struct {
	r        *http.Request
	problems []document.Problem
}

func (f *form) fail(field, value, want string) {
	f.problems = append(f.problems, document.Problem{Field: field, Value: value, Want: want})
}

// text returns a field without surrounding space.
func (f *form) text(field string) string { return strings.TrimSpace(f.r.PostFormValue(field)) }

// name returns a field that must be a name.
func (f *form) name(field string) string {
	value := f.text(field)
	if !document.ValidName(value) {
		f.fail(field, value, "a name of 1 to 64 letters, digits, dots, hyphens and underscores")
	}
	return value
}

func (f *form) float(field string) float64 {
	value, err := strconv.ParseFloat(f.text(field), 64)
	if err != nil || value != value {
		f.fail(field, f.text(field), "a number")
		return 0
	}
	return value
}

func (f *form) int(field string) int {
	if f.text(field) == "" {
		return 0
	}
	value, err := strconv.Atoi(f.text(field))
	if err != nil {
		f.fail(field, f.text(field), "a whole number")
	}
	return value
}

func (f *form) bool(field string) bool { return f.r.PostFormValue(field) == "yes" }

// words returns the words of a field that commas or spaces separate.
func (f *form) words(field string) []string {
	return strings.FieldsFunc(f.r.PostFormValue(field), func(r rune) bool { return r == ',' || r <= ' ' })
}

// variable returns a variable of the path.
func (f *form) variable(name string) string { return mux.Vars(f.r)[name] }

// find returns the element of the list that has the name, or nil and a problem.
func find[T any](f *form, list []T, kind, name string, nameOf func(*T) string) *T {
	for i := range list {
		if nameOf(&list[i]) == name {
			return &list[i]
		}
	}
	f.fail(kind, name, "the name of a "+kind+" in the draft")
	return nil
}

// remove returns the list without the element that has the name.
func remove[T any](f *form, list []T, kind, name string, nameOf func(*T) string) []T {
	if find(f, list, kind, name, nameOf) == nil {
		return list
	}
	var kept []T
	for i := range list {
		if nameOf(&list[i]) != name {
			kept = append(kept, list[i])
		}
	}
	return kept
}

// unused reports a name that the list has already.
func unused[T any](f *form, list []T, kind, name string, nameOf func(*T) string) {
	for i := range list {
		if nameOf(&list[i]) == name {
			f.fail(kind, name, "a name that no other "+kind+" has")
		}
	}
}
