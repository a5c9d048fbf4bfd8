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

// comments holds the doc comments of the types and fields of this package.
type comments map[string]string

// readComments parses the package's source files.
func readComments(t *testing.T) comments {
	out := comments{}
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

func (c comments) addFields(spec *ast.TypeSpec) {
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

// reference writes one section a type.
type reference struct {
	t        *testing.T
	b        strings.Builder
	comments comments
	seen     []reflect.Type
}

// meaning returns the doc comment of a field, which must exist.
func (r *reference) meaning(name string) string {
	text := r.comments[name]
	require.NotEmpty(r.t, text, "%s lacks a doc comment", name)
	return text
}

func (r *reference) section(t reflect.Type, defaults reflect.Value) {
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
		fmt.Fprintf(&r.b, "| `%s` | %s | %s | %s |\n", f.Tag.Get("yaml"), typeName(f.Type), defaultOf(defaults.Field(i)), r.meaning(t.Name()+"."+f.Name))
		switch {
		case f.Type.Kind() == reflect.Struct:
			children = append(children, child{f.Type, defaults.Field(i)})
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			children = append(children, child{f.Type.Elem(), defaults.Field(i).Index(0)})
		}
	}
	for _, c := range children {
		r.section(c.t, c.v)
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

func defaultOf(v reflect.Value) string {
	if v.Kind() == reflect.Struct || v.Kind() == reflect.Slice || v.IsZero() {
		return ""
	}
	if d, ok := v.Interface().(Duration); ok {
		text, _ := d.MarshalText()
		return string(text)
	}
	return fmt.Sprint(v.Interface())
}

// page returns the whole reference.
func page(t *testing.T) string {
	r := &reference{t: t, comments: readComments(t)}
	r.b.WriteString(`# Configuration

Made from the types of package config by ` + "`go test ./config -update`" + `. A text that is no known field, a duration without a unit and an address that is no IP address are errors that name file, line, field and fix.

## The applied set

All YAML files of a folder make one set; lists are joined, single fields may stand in one file only. ` + "`check`, `diff`, `apply`, `history`" + ` work on sets.
`)
	set := Set{
		Domains: make([]Domain, 1), Pools: make([]Pool, 1), Accounts: make([]Account, 1), Tools: make([]Tool, 1),
		Programs: []ProgramKind{{Objectives: make([]Objective, 1)}},
	}
	set.ApplyDefaults()
	r.section(reflect.TypeFor[Set](), reflect.ValueOf(set))
	r.b.WriteString("\n## The settings of a process\n\nOne file for each process, checked with `rhubarbsaddle check --settings FILE`.\n")
	var node Node
	node.ApplyDefaults()
	r.section(reflect.TypeFor[Node](), reflect.ValueOf(node))
	return r.b.String()
}

// TestReferencePage compares the page with the types.
func TestReferencePage(t *testing.T) {
	want := page(t)
	if *update {
		require.NoError(t, os.WriteFile(referencePage, []byte(want), 0o644))
	}
	have, err := os.ReadFile(referencePage)
	require.NoError(t, err)
	require.Equal(t, want, string(have), "run: go test ./config -update")
}
