package member

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
)

const (
	identityFile = "identity.json"
	fileMode     = 0o640
)

// identity is stored on a member's disk.
type identity struct {
	Member string `json:"member"`
	// Incarnation identifies the disk: each new disk of the member gets a new
	// incarnation.
	Incarnation uint64 `json:"incarnation"`
	// Complete means that the disk has every record that a quorum had stored when the
	// disk was new.
	Complete bool `json:"complete"`
	// CompleteFrom is not 0 while the change of the view with which the member's seat begins to
	// count is under way. It is the version of the changed view. The disk is complete if the
	// seat counts as ready in that view or a later one.
	CompleteFrom uint64 `json:"complete_from,omitempty"`
}

// readIdentity returns the identity of the disk, or the zero identity if it has none.
func readIdentity(dir string) (identity, error) {
	path := filepath.Join(dir, identityFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return identity{}, nil
	}
	if err != nil {
		return identity{}, &Error{Step: "read", Peer: path, Err: err}
	}
	var id identity
	if err := json.Unmarshal(data, &id); err != nil {
		return identity{}, &Error{Step: "read", Peer: path, Err: err}
	}
	return id, nil
}

// writeIdentity durably replaces the disk's identity.
func writeIdentity(dir string, id identity) error {
	path := filepath.Join(dir, identityFile)
	data, err := json.Marshal(id)
	if err != nil {
		return &Error{Step: "write", Peer: path, Err: err}
	}
	return replaceFile(path, data)
}

// replaceFile durably and atomically replaces a file: after a power failure it has either
// the old or the new content.
func replaceFile(path string, data []byte) error {
	if err := writeSynced(path+".new", data); err != nil {
		return &Error{Step: "write", Peer: path, Err: err}
	}
	if err := os.Rename(path+".new", path); err != nil {
		return &Error{Step: "write", Peer: path, Err: err}
	}
	// The rename is durable once the directory is synced.
	parent, err := os.Open(filepath.Dir(path))
	if err != nil {
		return &Error{Step: "write", Peer: path, Err: err}
	}
	if err := errors.Join(parent.Sync(), parent.Close()); err != nil {
		return &Error{Step: "write", Peer: path, Err: err}
	}
	return nil
}

func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	_, writeErr := file.Write(data)
	return errors.Join(writeErr, file.Sync(), file.Close())
}
