package load

import (
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
)

// part is a run of list items that came from one file.
type part struct {
	name  string
	doc   *document
	first int
}

// merger joins the files of a set: lists are appended, single values may stand
// in one file only.
type merger struct {
	set    *config.Set
	parts  map[string][]part
	single map[string]part
	errs   Errors
}

func newMerger() *merger {
	return &merger{set: &config.Set{}, parts: map[string][]part{}, single: map[string]part{}}
}

func (m *merger) addFile(name string) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	m.add(name, data)
	return nil
}

// add merges one document.
func (m *merger) add(name string, data []byte) {
	piece := &config.Set{}
	doc, fault := decode(name, data, piece)
	if fault != nil {
		m.errs = append(m.errs, fault)
		return
	}
	from := reflect.ValueOf(piece).Elem()
	to := reflect.ValueOf(m.set).Elem()
	for i := range from.NumField() {
		field := from.Type().Field(i).Tag.Get("yaml")
		m.mergeField(part{name: name, doc: doc}, field, from.Field(i), to.Field(i))
	}
}

func (m *merger) mergeField(p part, field string, from, to reflect.Value) {
	if from.IsZero() {
		return
	}
	if from.Kind() == reflect.Slice {
		p.first = to.Len()
		m.parts[field] = append(m.parts[field], p)
		to.Set(reflect.AppendSlice(to, from))
		return
	}
	if other, ok := m.single[field]; ok {
		m.errs = append(m.errs, &Error{
			File: p.name, Line: p.doc.line(field), Field: field,
			Text: "stands in " + other.name + " too", Fix: "keep one of them",
		})
		return
	}
	m.single[field] = p
	to.Set(from)
}

// locate finds the file and line of a problem of the merged set.
func (m *merger) locate(dir string, p config.Problem) *Error {
	e := &Error{File: dir, Field: p.Path, Text: p.Text, Fix: p.Fix}
	field, rest := splitHead(p.Path)
	if single, ok := m.single[field]; ok {
		e.File, e.Line = single.name, single.doc.line(p.Path)
		return e
	}
	index, after, ok := splitIndex(rest)
	if !ok {
		return e
	}
	for _, from := range m.parts[field] {
		if index < from.first {
			break
		}
		local := fmt.Sprintf("%s[%d]%s", field, index-from.first, after)
		e.File, e.Line, e.Field = from.name, from.doc.line(local), local
	}
	return e
}

// splitHead cuts a path into its first field and the rest.
func splitHead(path string) (field, rest string) {
	i := strings.IndexAny(path, ".[")
	if i < 0 {
		return path, ""
	}
	return path[:i], path[i:]
}

// splitIndex cuts "[3].name" into 3 and ".name".
func splitIndex(rest string) (index int, after string, ok bool) {
	body, found := strings.CutPrefix(rest, "[")
	if !found {
		return 0, "", false
	}
	digits, after, found := strings.Cut(body, "]")
	if !found {
		return 0, "", false
	}
	index, err := strconv.Atoi(digits)
	return index, after, err == nil
}
