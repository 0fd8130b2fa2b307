package wal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FS is the set of file system operations that the log uses. Names are relative
// to the data folder.
type FS interface {
	// List returns the names of all files.
	List() ([]string, error)
	// ReadFile returns the content of a file.
	ReadFile(name string) ([]byte, error)
	// Create creates a file and opens it for appending. It truncates an
	// existing file.
	Create(name string) (File, error)
	// Append opens an existing file for appending.
	Append(name string) (File, error)
	// Truncate shortens a file to size bytes and syncs it.
	Truncate(name string, size int64) error
	// Rename renames a file. It replaces an existing file of the new name.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncFolder makes all earlier creations, renames and removals durable.
	SyncFolder() error
}

// File is a file open for appending.
type File interface {
	io.WriteCloser
	// Sync makes all data written so far durable.
	Sync() error
}

const (
	folderMode = 0o700
	fileMode   = 0o600
)

const lockFile = "lock"

// ErrInUse means that the data folder is locked, usually by another process.
var ErrInUse = errors.New("the data folder is in use by another process")

// folder implements FS on a folder on disk. lock is held until Close.
type folder struct {
	path string
	lock *os.File
}

// OpenFolder returns an FS on the folder at path, which it creates if it does
// not exist. It returns ErrInUse while the folder is open elsewhere, in this or
// another process. Log.Close closes the folder.
func OpenFolder(path string) (FS, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, err
	}
	if err := syncFolder(filepath.Dir(filepath.Clean(path))); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("%w: %s: %w", ErrInUse, path, err), lock.Close())
	}
	return folder{path: path, lock: lock}, nil
}

// Close releases the lock on the folder.
func (f folder) Close() error { return f.lock.Close() }

func (f folder) pathOf(name string) string { return filepath.Join(f.path, name) }

func (f folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

func (f folder) ReadFile(name string) ([]byte, error) { return os.ReadFile(f.pathOf(name)) }

func (f folder) Create(name string) (File, error) {
	return os.OpenFile(f.pathOf(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

func (f folder) Append(name string) (File, error) {
	return os.OpenFile(f.pathOf(name), os.O_WRONLY|os.O_APPEND, fileMode)
}

func (f folder) Truncate(name string, size int64) error {
	file, err := os.OpenFile(f.pathOf(name), os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	err = errors.Join(file.Truncate(size), file.Sync())
	return errors.Join(err, file.Close())
}

func (f folder) Rename(from, to string) error { return os.Rename(f.pathOf(from), f.pathOf(to)) }

func (f folder) Remove(name string) error { return os.Remove(f.pathOf(name)) }

func (f folder) SyncFolder() error { return syncFolder(f.path) }

func syncFolder(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
