// Package load reads the configuration and the settings of processes from YAML
// files. Errors, such as unknown fields, wrong units and missing fields, name the
// file, the line, the field and the fix.
package load

import (
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
)

// Set reads all YAML files of a directory as one set, fills in the defaults and
// checks the set. The error is of type Errors if the content is invalid.
func Set(dir string) (*config.Set, error) {
	names, err := yamlFiles(dir)
	if err != nil {
		return nil, err
	}
	m := newMerger()
	for _, name := range names {
		if err := m.addFile(name); err != nil {
			return nil, err
		}
	}
	if len(m.errs) > 0 {
		return nil, m.errs
	}
	return applyDefaultsAndCheck(dir, m)
}

// applyDefaultsAndCheck fills in the defaults of a merged set and checks it.
func applyDefaultsAndCheck(dir string, m *merger) (*config.Set, error) {
	set := m.set
	set.ApplyDefaults()
	for _, p := range set.Check() {
		m.errs = append(m.errs, m.locate(dir, p))
	}
	if len(m.errs) > 0 {
		return nil, m.errs
	}
	return set, nil
}

// SetBytes reads a set from one document, as config/publish stores it.
func SetBytes(name string, data []byte) (*config.Set, error) {
	m := newMerger()
	m.add(name, data)
	if len(m.errs) > 0 {
		return nil, m.errs
	}
	return applyDefaultsAndCheck(name, m)
}

// Node reads the settings file of one process, fills in the defaults and checks the
// settings.
func Node(file string) (*config.Node, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return NodeBytes(file, data)
}

// NodeBytes reads the settings of one process from a document.
func NodeBytes(name string, data []byte) (*config.Node, error) {
	node := &config.Node{}
	doc, loadErr := decode(name, data, node)
	if loadErr != nil {
		return nil, Errors{loadErr}
	}
	node.ApplyDefaults()
	if errs := locateProblems(name, doc, node.Check()); len(errs) > 0 {
		return nil, errs
	}
	return node, nil
}

// Resident reads and checks the settings of a process on the users' platform. Settings for
// experiments are refused unless isExperiment is set.
func Resident(file string, isExperiment bool) (*config.Resident, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	resident := &config.Resident{Experiment: config.Experiment{Allowed: isExperiment}}
	doc, loadErr := decode(file, data, resident)
	if loadErr != nil {
		return nil, Errors{loadErr}
	}
	if errs := locateProblems(file, doc, resident.Check()); len(errs) > 0 {
		return nil, errs
	}
	return resident, nil
}

// locateProblems converts problems to errors with the lines of their fields.
func locateProblems(name string, doc *document, problems []config.Problem) Errors {
	var errs Errors
	for _, p := range problems {
		errs = append(errs, &Error{File: name, Line: doc.line(p.Path), Field: p.Path, Text: p.Text, Fix: p.Fix})
	}
	return errs
}

// yamlFiles lists the YAML files of a directory in the order of their names.
func yamlFiles(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		ext := filepath.Ext(e.Name())
		if e.IsDir() || strings.HasPrefix(e.Name(), ".") || ext != ".yaml" && ext != ".yml" {
			continue
		}
		names = append(names, filepath.Join(dir, e.Name()))
	}
	if len(names) == 0 {
		return nil, Errors{{File: dir, Text: "contains no YAML file", Fix: "name the directory of a set"}}
	}
	slices.Sort(names)
	return names, nil
}
