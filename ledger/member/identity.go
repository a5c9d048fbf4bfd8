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

// identity marks a member's disk.
type identity struct {
	Member string `json:"member"`
	// Incarnation differs for each disk that the member has had.
	Incarnation uint64 `json:"incarnation"`
	// Complete says that the disk holds all that a quorum knew when it was new.
	Complete bool `json:"complete"`
}

// readIdentity returns the identity of the disk, or an empty one if it has none.
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

// writeIdentity replaces the disk's identity durably.
func writeIdentity(dir string, id identity) error {
	path := filepath.Join(dir, identityFile)
	data, err := json.Marshal(id)
	if err != nil {
		return &Error{Step: "write", Peer: path, Err: err}
	}
	return replaceFile(path, data)
}

// replaceFile replaces a file durably: after a loss of power it holds either the
// old content or the new.
func replaceFile(path string, data []byte) error {
	if err := writeSynced(path+".new", data); err != nil {
		return &Error{Step: "write", Peer: path, Err: err}
	}
	if err := os.Rename(path+".new", path); err != nil {
		return &Error{Step: "write", Peer: path, Err: err}
	}
	// The new name is durable once its folder is.
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return &Error{Step: "write", Peer: path, Err: err}
	}
	if err := errors.Join(folder.Sync(), folder.Close()); err != nil {
		return &Error{Step: "write", Peer: path, Err: err}
	}
	return nil
}

func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	_, written := file.Write(data)
	return errors.Join(written, file.Sync(), file.Close())
}
