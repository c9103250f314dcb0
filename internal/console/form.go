package console

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/gorilla/mux"

	"github.com/orioleusher/orioleusher/internal/document"
)

// form reads the values of a submitted form and collects the problems with them.
type form struct {
	r        *http.Request
	problems []document.Problem
}

func (f *form) addProblem(field, value, want string) {
	f.problems = append(f.problems, document.Problem{Field: field, Value: value, Want: want})
}

// text returns a field's value without surrounding white space.
func (f *form) text(field string) string { return strings.TrimSpace(f.r.PostFormValue(field)) }

// name returns a field's value and adds a problem if it is not a valid name.
func (f *form) name(field string) string {
	value := f.text(field)
	if !document.ValidName(value) {
		f.addProblem(field, value, "a name of 1 to 64 letters, digits, dots, hyphens and underscores")
	}
	return value
}

func (f *form) float(field string) float64 {
	value, err := strconv.ParseFloat(f.text(field), 64)
	if err != nil || value != value {
		f.addProblem(field, f.text(field), "a number")
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
		f.addProblem(field, f.text(field), "a whole number")
	}
	return value
}

func (f *form) bool(field string) bool { return f.r.PostFormValue(field) == "yes" }

// list splits a field's value at commas and white space.
func (f *form) list(field string) []string {
	return strings.FieldsFunc(f.r.PostFormValue(field), func(r rune) bool { return r == ',' || r <= ' ' })
}

// pathVariable returns the value of a variable in the request's path.
func (f *form) pathVariable(name string) string { return mux.Vars(f.r)[name] }

// findByName returns the element with the given name. If there is none, it adds a problem and returns nil.
func findByName[T any](f *form, list []T, kind, name string, nameOf func(*T) string) *T {
	for i := range list {
		if nameOf(&list[i]) == name {
			return &list[i]
		}
	}
	f.addProblem(kind, name, "the name of a "+kind+" in the draft")
	return nil
}

// removeByName returns the list without the element with the given name. If there is none, it adds a problem and returns the
// list unchanged.
func removeByName[T any](f *form, list []T, kind, name string, nameOf func(*T) string) []T {
	if findByName(f, list, kind, name, nameOf) == nil {
		return list
	}
	var remaining []T
	for i := range list {
		if nameOf(&list[i]) != name {
			remaining = append(remaining, list[i])
		}
	}
	return remaining
}

// checkNameUnused adds a problem if the list already has an element with the given name.
func checkNameUnused[T any](f *form, list []T, kind, name string, nameOf func(*T) string) {
	for i := range list {
		if nameOf(&list[i]) == name {
			f.addProblem(kind, name, "a name that no other "+kind+" has")
		}
	}
}
