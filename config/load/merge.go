package load

import (
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
)

// source is a file that set a field, or that contributed consecutive items to a
// merged list.
type source struct {
	file string
	doc  *document
	// firstIndex is the position of the file's first item in the merged list.
	firstIndex int
}

// merger merges the files of a set. Lists are concatenated; any other field may be
// set in one file only.
type merger struct {
	set     *config.Set
	lists   map[string][]source
	singles map[string]source
	errs    Errors
}

func newMerger() *merger {
	return &merger{set: &config.Set{}, lists: map[string][]source{}, singles: map[string]source{}}
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
	partial := &config.Set{}
	doc, loadErr := decode(name, data, partial)
	if loadErr != nil {
		m.errs = append(m.errs, loadErr)
		return
	}
	from := reflect.ValueOf(partial).Elem()
	to := reflect.ValueOf(m.set).Elem()
	for i := range from.NumField() {
		field := from.Type().Field(i).Tag.Get("yaml")
		m.mergeField(source{file: name, doc: doc}, field, from.Field(i), to.Field(i))
	}
}

func (m *merger) mergeField(src source, field string, from, to reflect.Value) {
	if from.IsZero() {
		return
	}
	if from.Kind() == reflect.Slice {
		src.firstIndex = to.Len()
		m.lists[field] = append(m.lists[field], src)
		to.Set(reflect.AppendSlice(to, from))
		return
	}
	if earlier, ok := m.singles[field]; ok {
		m.errs = append(m.errs, &Error{
			File: src.file, Line: src.doc.line(field), Field: field,
			Text: "is set in " + earlier.file + " too", Fix: "keep one of them",
		})
		return
	}
	m.singles[field] = src
	to.Set(from)
}

// locate converts a problem of the merged set to an error with its file and line.
func (m *merger) locate(dir string, p config.Problem) *Error {
	e := &Error{File: dir, Field: p.Path, Text: p.Text, Fix: p.Fix}
	field, rest := splitHead(p.Path)
	if src, ok := m.singles[field]; ok {
		e.File, e.Line = src.file, src.doc.line(p.Path)
		return e
	}
	index, suffix, ok := splitIndex(rest)
	if !ok {
		return e
	}
	for _, src := range m.lists[field] {
		if index < src.firstIndex {
			break
		}
		local := fmt.Sprintf("%s[%d]%s", field, index-src.firstIndex, suffix)
		e.File, e.Line, e.Field = src.file, src.doc.line(local), local
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
func splitIndex(rest string) (index int, suffix string, ok bool) {
	body, found := strings.CutPrefix(rest, "[")
	if !found {
		return 0, "", false
	}
	digits, suffix, found := strings.Cut(body, "]")
	if !found {
		return 0, "", false
	}
	index, err := strconv.Atoi(digits)
	return index, suffix, err == nil
}
