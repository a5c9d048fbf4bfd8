package capacity

import (
	"encoding/json"
	"os"
	"path/filepath"
)

// Read returns the measurements recorded in the directory dir: slopes.json and
// path.json, the output of the commands bench slopes --json and bench path --json.
func Read(dir string) (*Measured, error) {
	m := &Measured{}
	if err := readJSON(filepath.Join(dir, "slopes.json"), &m.Slopes); err != nil {
		return nil, err
	}
	if err := readJSON(filepath.Join(dir, "path.json"), &m.Path); err != nil {
		return nil, err
	}
	return m, nil
}

func readJSON(file string, out any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, out)
}
