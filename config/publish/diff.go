package publish

import (
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
)

// Change is the difference of one field between two sets.
type Change struct {
	// Path is the path of the field, with list items identified by their name field.
	Path string `json:"path"`
	// Old and New are YAML values, empty if that set lacks the field.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String returns the change as one line that begins with +, - or ~.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
}

// Diff returns the differences between two sets, ordered by path. A nil old set
// counts as a set without fields.
func Diff(old, new *config.Set) ([]Change, error) {
	before, err := flattenSet(old)
	if err != nil {
		return nil, err
	}
	after, err := flattenSet(new)
	if err != nil {
		return nil, err
	}
	var changes []Change
	for path, value := range after {
		if before[path] != value {
			changes = append(changes, Change{Path: path, Old: before[path], New: value})
		}
	}
	for path, value := range before {
		if _, ok := after[path]; !ok {
			changes = append(changes, Change{Path: path, Old: value})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Path, b.Path) })
	return changes, nil
}

// flattenSet returns the values of the scalar fields of a set, keyed by path.
func flattenSet(set *config.Set) (map[string]string, error) {
	fields := map[string]string{}
	if set == nil {
		return fields, nil
	}
	text, err := yaml.Marshal(set)
	if err != nil {
		return nil, err
	}
	var tree any
	if err := yaml.Unmarshal(text, &tree); err != nil {
		return nil, err
	}
	flatten("", tree, fields)
	return fields, nil
}

func flatten(path string, node any, fields map[string]string) {
	switch v := node.(type) {
	case map[string]any:
		for key, child := range v {
			flatten(join(path, key), child, fields)
		}
	case []any:
		for i, child := range v {
			flatten(fmt.Sprintf("%s[%s]", path, itemName(i, child)), child, fields)
		}
	case nil:
	default:
		fields[path] = fmt.Sprintf("%v", v)
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// itemName returns the value of a list item's name field, or its index if it has none.
func itemName(index int, item any) string {
	if m, ok := item.(map[string]any); ok {
		if name, ok := m["name"].(string); ok {
			return name
		}
	}
	return fmt.Sprint(index)
}
