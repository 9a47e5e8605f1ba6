package terminal

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
)

const baseSuffix = ".base"

// base is the document that a file was edited from. It is stored next to the file, because hosts keep only the text of the
// newest document.
type base struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Text    string `json:"text"`
}

// readBase returns the base of a file, or a zero base if there is none.
func readBase(file string) (base, error) {
	data, err := os.ReadFile(file + baseSuffix)
	if errors.Is(err, fs.ErrNotExist) {
		return base{}, nil
	}
	if err != nil {
		return base{}, ErrFile.Wrap(err, "base cannot be read; write it again with show --file")
	}
	var b base
	if err := json.Unmarshal(data, &b); err != nil {
		return base{}, ErrFile.Wrap(err, "base %s%s is damaged; write it again with show --file", file, baseSuffix)
	}
	return b, nil
}

// write writes the base of a file, replacing an earlier one.
func (b base) write(file string) error {
	data, err := json.Marshal(b)
	if err != nil {
		return err
	}
	return replaceFile(file+baseSuffix, data)
}

// replaceFile writes a file atomically and keeps its permissions.
func replaceFile(name string, data []byte) error {
	mode := fs.FileMode(0o600)
	if info, err := os.Stat(name); err == nil {
		mode = info.Mode().Perm()
	}
	next := name + ".new"
	if err := os.WriteFile(next, data, mode); err != nil {
		return ErrFile.Wrap(err, "file cannot be written; check the folder")
	}
	if err := os.Rename(next, name); err != nil {
		return ErrFile.Wrap(err, "file cannot be replaced; check the folder")
	}
	return nil
}
