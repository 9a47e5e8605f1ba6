package terminal

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
)

const baseSuffix = ".base"

// base is the document that a file was edited from. It is kept next to the file, because hosts keep only the newest text.
type base struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Text    string `json:"text"`
}

// readBase returns the base of a file, or a zero one when none was written.
func readBase(file string) (base, error) {
	data, err := os.ReadFile(file + baseSuffix)
	if errors.Is(err, fs.ErrNotExist) {
		return base{}, nil
	}
	if err != nil {
		return base{}, fmt.Errorf("base cannot be read; write it again with show --file: %w", err)
	}
	var b base
	if err := json.Unmarshal(data, &b); err != nil {
		return base{}, fmt.Errorf("base %s%s is damaged; write it again with show --file: %w", file, baseSuffix, err)
	}
	return b, nil
}

// write replaces the base of a file.
func (b base) write(file string) error {
	data, err := json.Marshal(b)
	if err != nil {
		return err
	}
	return replaceFile(file+baseSuffix, data)
}

// replaceFile writes a file whole or not at all.
func replaceFile(name string, data []byte) error {
	next := name + ".new"
	if err := os.WriteFile(next, data, 0o600); err != nil {
		return fmt.Errorf("file cannot be written; check the folder: %w", err)
	}
	return os.Rename(next, name)
}
