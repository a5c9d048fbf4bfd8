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

// document is a parsed file that can tell the line of a field.
type document struct{ file *ast.File }

// decode reads one YAML document strictly into out.
func decode(name string, data []byte, out any) (doc *document, fault *Error) {
	defer func() {
		// The YAML library panics on some malformed documents, such as a tag
		// without a value where a list is expected.
		if r := recover(); r != nil {
			doc = nil
			fault = &Error{File: name, Text: "is malformed YAML", Fix: "check indentation, tags and anchors"}
		}
	}()
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, faultOf(name, err)
	}
	doc = &document{file: file}
	dec := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	err = dec.Decode(out)
	var wrong *config.DurationError
	if errors.As(err, &wrong) {
		return nil, doc.durationFault(name, wrong)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, faultOf(name, err)
	}
	if len(file.Docs) > 1 {
		return nil, &Error{File: name, Text: "holds more than one document", Fix: "split it into files"}
	}
	return doc, nil
}

// faultOf converts an error of the YAML library.
func faultOf(name string, err error) *Error {
	var yerr yaml.Error
	if !errors.As(err, &yerr) {
		return &Error{File: name, Text: err.Error()}
	}
	e := &Error{File: name, Text: yerr.GetMessage()}
	tok := yerr.GetToken()
	if tok == nil {
		return e
	}
	e.Line = tok.Position.Line
	e.Field = tok.Value
	if field, ok := strings.CutPrefix(e.Text, "unknown field "); ok {
		e.Field = strings.Trim(field, `"`)
		e.Text = "is no known field"
		e.Fix = "correct its spelling or remove it; docs/CONFIG.md lists the fields"
	}
	return e
}

// line returns the line of a field, or of the nearest part that holds it, or 0.
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

// durationFault finds the field of a malformed duration: the YAML library does
// not tell the place of an error that a type's own decoder returns.
func (d *document) durationFault(name string, wrong *config.DurationError) *Error {
	e := &Error{File: name, Text: wrong.Error(), Fix: "write for example 250ms, 10s or 2h"}
	find := visitor(func(node ast.Node) {
		pair, ok := node.(*ast.MappingValueNode)
		if !ok || e.Line > 0 || !durationFields[pair.Key.String()] {
			return
		}
		if tok := pair.Value.GetToken(); tok.Value == wrong.Text {
			e.Line = tok.Position.Line
			e.Field = pair.Key.String()
		}
	})
	for _, doc := range d.file.Docs {
		ast.Walk(find, doc.Body)
	}
	return e
}

// visitor calls itself for every node of a tree.
type visitor func(ast.Node)

// Visit implements ast.Visitor.
func (v visitor) Visit(node ast.Node) ast.Visitor {
	v(node)
	return v
}

// durationFields holds the YAML names of all fields of type config.Duration.
var durationFields = func() map[string]bool {
	names := map[string]bool{}
	collectDurations(reflect.TypeFor[config.Set](), names)
	collectDurations(reflect.TypeFor[config.Node](), names)
	return names
}()

func collectDurations(t reflect.Type, names map[string]bool) {
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
		collectDurations(field.Type, names)
	}
}
