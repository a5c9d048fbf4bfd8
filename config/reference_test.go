package config

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write docs/CONFIG.md")

const referencePage = "../docs/CONFIG.md"

// docComments holds the doc comments of the settings' types and fields, by name.
type docComments map[string]string

// readComments parses the source files that define the settings.
func readComments(t *testing.T) docComments {
	out := docComments{}
	for _, name := range []string{"set.go", "node.go"} {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments)
		require.NoError(t, err)
		for _, decl := range file.Decls {
			gen, ok := decl.(*ast.GenDecl)
			if !ok || gen.Tok != token.TYPE {
				continue
			}
			spec := gen.Specs[0].(*ast.TypeSpec)
			out[spec.Name.Name] = oneLine(gen.Doc)
			out.addFields(spec)
		}
	}
	return out
}

func (c docComments) addFields(spec *ast.TypeSpec) {
	st, ok := spec.Type.(*ast.StructType)
	if !ok {
		return
	}
	for _, field := range st.Fields.List {
		for _, name := range field.Names {
			c[spec.Name.Name+"."+name.Name] = oneLine(field.Doc)
		}
	}
}

func oneLine(group *ast.CommentGroup) string {
	return strings.Join(strings.Fields(group.Text()), " ")
}

// reference writes one section for each type.
type reference struct {
	t        *testing.T
	b        strings.Builder
	comments docComments
	seen     []reflect.Type
}

// fieldDoc returns the doc comment of a field and fails the test if there is none.
func (r *reference) fieldDoc(name string) string {
	text := r.comments[name]
	require.NotEmpty(r.t, text, "%s lacks a doc comment", name)
	return text
}

func (r *reference) writeSection(t reflect.Type, defaults reflect.Value) {
	if slices.Contains(r.seen, t) {
		return
	}
	r.seen = append(r.seen, t)
	fmt.Fprintf(&r.b, "\n### %s\n\n%s\n\n| field | type | default | meaning |\n|---|---|---|---|\n", t.Name(), r.comments[t.Name()])
	type child struct {
		t reflect.Type
		v reflect.Value
	}
	var children []child
	for i := range t.NumField() {
		f := t.Field(i)
		fmt.Fprintf(&r.b, "| `%s` | %s | %s | %s |\n", f.Tag.Get("yaml"), typeName(f.Type), defaultText(defaults.Field(i)), r.fieldDoc(t.Name()+"."+f.Name))
		switch {
		case f.Type.Kind() == reflect.Struct:
			children = append(children, child{f.Type, defaults.Field(i)})
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			children = append(children, child{f.Type.Elem(), defaults.Field(i).Index(0)})
		}
	}
	for _, c := range children {
		r.writeSection(c.t, c.v)
	}
}

func typeName(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[Duration]():
		return "duration"
	case t.Kind() == reflect.Slice:
		return "list of " + typeName(t.Elem())
	case t.Kind() == reflect.Struct:
		return "[" + t.Name() + "](#" + strings.ToLower(t.Name()) + ")"
	case t.Kind() == reflect.String:
		return "text"
	case t.Kind() == reflect.Bool:
		return "yes or no"
	}
	return "number"
}

func defaultText(v reflect.Value) string {
	if v.Kind() == reflect.Struct || v.Kind() == reflect.Slice || v.IsZero() {
		return ""
	}
	if d, ok := v.Interface().(Duration); ok {
		text, _ := d.MarshalText()
		return string(text)
	}
	return fmt.Sprint(v.Interface())
}

// page returns the complete reference page.
func page(t *testing.T) string {
	r := &reference{t: t, comments: readComments(t)}
	r.b.WriteString(`# Configuration

Generated from the types of package config by ` + "`go test ./config -update`" + `. An unknown field, a duration without a unit and an address that is not an IP address are errors that name file, line, field and fix.

## The applied set

All YAML files of a directory form one set; lists are concatenated, other fields may be set in one file only. ` + "`check`, `diff`, `apply`, `history`" + ` work on sets.
`)
	set := Set{
		Domains: make([]Domain, 1), Pools: make([]Pool, 1), Accounts: make([]Account, 1), Tools: make([]Tool, 1),
		Programs: []ProgramKind{{Objectives: make([]Objective, 1)}},
	}
	set.ApplyDefaults()
	r.writeSection(reflect.TypeFor[Set](), reflect.ValueOf(set))
	r.b.WriteString("\n## The settings of a process\n\nEach process has one file, checked with `rhubarbsaddle check --settings FILE`.\n")
	var node Node
	node.ApplyDefaults()
	r.writeSection(reflect.TypeFor[Node](), reflect.ValueOf(node))
	return r.b.String()
}

// TestReferencePage fails if docs/CONFIG.md differs from the types and doc comments.
func TestReferencePage(t *testing.T) {
	want := page(t)
	if *update {
		require.NoError(t, os.WriteFile(referencePage, []byte(want), 0o644))
	}
	have, err := os.ReadFile(referencePage)
	require.NoError(t, err)
	require.Equal(t, want, string(have), "run: go test ./config -update")
}
