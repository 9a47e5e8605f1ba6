package disk

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// File is an open file that is only appended to.
type File interface {
	io.Writer
	// Sync makes the written data durable.
	Sync() error
	Close() error
}

// FS is the part of a file system that a Store uses; tests replace it to fail writes and drop unsynced data.
type FS interface {
	MkdirAll(dir string) error
	// ReadDir returns the names of the files in a directory, sorted.
	ReadDir(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create opens a new, empty file for appending.
	Create(name string) (File, error)
	// Append opens an existing file for appending.
	Append(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes created, renamed and removed names durable.
	SyncDir(dir string) error
	// Lock takes an exclusive lock on a file until the result is closed; the error is EWOULDBLOCK if another process holds
	// it.
	Lock(name string) (io.Closer, error)
}

// OS is the file system of the operating system.
type OS struct{}

const (
	dirMode  = 0o700
	fileMode = 0o600
)

// MkdirAll creates a directory and its missing parents, and makes their names durable.
func (o OS) MkdirAll(dir string) error {
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	parent := filepath.Dir(dir)
	if parent != dir {
		if err := o.MkdirAll(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(dir, dirMode); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	return o.SyncDir(parent)
}

// ReadDir returns the names of the files in a directory, sorted.
func (OS) ReadDir(dir string) ([]string, error) {
	es, err := os.ReadDir(dir)
	names := make([]string, 0, len(es))
	for _, e := range es {
		names = append(names, e.Name())
	}
	return names, err
}

// ReadFile returns a file's content.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Create opens a new, empty file for appending.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_APPEND|os.O_WRONLY, fileMode)
}

// Append opens an existing file for appending.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_APPEND|os.O_WRONLY, fileMode)
}

// Rename renames a file, replacing the target.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir makes created, renamed and removed names durable.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Lock takes an advisory lock on a file, which is released at the latest when the process ends.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}
