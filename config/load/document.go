package load

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
)

// document is a parsed YAML file. It is used to find the line of a field.
type document struct{ file *ast.File }

// decode reads one YAML document strictly into out.
func decode(name string, data []byte, out any) (doc *document, loadErr *Error) {
	defer func() {
		// The YAML library panics on some malformed documents, such as a tag
		// without a value where a list is expected.
		if r := recover(); r != nil {
			doc = nil
			loadErr = &Error{File: name, Text: "is malformed YAML", Fix: "check indentation, tags and anchors"}
		}
	}()
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, convertError(name, err)
	}
	doc = &document{file: file}
	dec := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	err = dec.Decode(out)
	var badDuration *config.DurationError
	if errors.As(err, &badDuration) {
		return nil, doc.locateDurationError(name, badDuration)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, convertError(name, err)
	}
	if len(file.Docs) > 1 {
		return nil, &Error{File: name, Text: "contains more than one document", Fix: "split it into files"}
	}
	return doc, nil
}

// convertError converts an error of the YAML library.
func convertError(name string, err error) *Error {
	var yerr yaml.Error
	if !errors.As(err, &yerr) {
		return &Error{File: name, Text: err.Error()}
	}
	out := &Error{File: name, Text: yerr.GetMessage()}
	tok := yerr.GetToken()
	if tok == nil {
		return out
	}
	out.Line = tok.Position.Line
	out.Field = tok.Value
	if field, ok := strings.CutPrefix(out.Text, "unknown field "); ok {
		out.Field = strings.Trim(field, `"`)
		out.Text = "is not a known field"
		out.Fix = "correct its spelling or remove it; docs/CONFIG.md lists the fields"
	}
	return out
}

// line returns the line of a field. If the field is absent, it returns the line of
// the nearest enclosing field that is present, or 0 if there is none.
func (d *document) line(path string) int {
	for path != "" {
		if n := d.exactLine(path); n > 0 {
			return n
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

func (d *document) exactLine(path string) int {
	p, err := yaml.PathString("$." + path)
	if err != nil {
		return 0
	}
	node, err := p.FilterFile(d.file)
	if err != nil || node == nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

// locateDurationError finds the field that contains a malformed duration. The YAML
// library does not report the position of an error that Duration.UnmarshalText
// returns.
func (d *document) locateDurationError(name string, badDuration *config.DurationError) *Error {
	e := &Error{File: name, Text: badDuration.Error(), Fix: "write for example 250ms, 10s or 2h"}
	find := visitor(func(node ast.Node) {
		pair, ok := node.(*ast.MappingValueNode)
		if !ok || e.Line > 0 || !durationFields[pair.Key.String()] {
			return
		}
		if tok := pair.Value.GetToken(); tok.Value == badDuration.Text {
			e.Line = tok.Position.Line
			e.Field = pair.Key.String()
		}
	})
	for _, doc := range d.file.Docs {
		ast.Walk(find, doc.Body)
	}
	return e
}

// visitor is a function that ast.Walk calls for every node of a tree.
type visitor func(ast.Node)

// Visit implements ast.Visitor.
func (v visitor) Visit(node ast.Node) ast.Visitor {
	v(node)
	return v
}

// durationFields holds the YAML names of all fields of type config.Duration.
var durationFields = func() map[string]bool {
	names := map[string]bool{}
	collectDurationFields(reflect.TypeFor[config.Set](), names)
	collectDurationFields(reflect.TypeFor[config.Node](), names)
	return names
}()

func collectDurationFields(t reflect.Type, names map[string]bool) {
	if t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return
	}
	for i := range t.NumField() {
		field := t.Field(i)
		if field.Type == reflect.TypeFor[config.Duration]() {
			names[field.Tag.Get("yaml")] = true
			continue
		}
		collectDurationFields(field.Type, names)
	}
}
