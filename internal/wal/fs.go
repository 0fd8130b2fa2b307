package wal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FS is the part of a file system that the log needs. Names are relative to
// the data folder.
type FS interface {
	// List returns the names of all files.
	List() ([]string, error)
	// ReadFile returns the content of a file.
	ReadFile(name string) ([]byte, error)
	// Create makes an empty file open for appending; an old one is emptied.
	Create(name string) (File, error)
	// Append opens a file for appending.
	Append(name string) (File, error)
	// Truncate cuts a file to size bytes and syncs it.
	Truncate(name string, size int64) error
	// Rename replaces the file at to.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncFolder makes creations, renames and removals durable.
	SyncFolder() error
}

// File is a file open for appending.
type File interface {
	io.WriteCloser
	// Sync makes all that was written durable.
	Sync() error
}

const (
	folderMode = 0o700
	fileMode   = 0o600
)

const lockFile = "lock"

// ErrInUse means that another process works on the data folder.
var ErrInUse = errors.New("the data folder is in use by another process")

type folder struct {
	path string
	lock *os.File
}

// OpenFolder returns the file system of the folder at path, which it creates
// if it does not exist. It fails with ErrInUse while another one is open on
// it; Log.Close closes it.
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

// Close lets another process open the folder.
func (f folder) Close() error { return f.lock.Close() }

func (f folder) at(name string) string { return filepath.Join(f.path, name) }

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

func (f folder) ReadFile(name string) ([]byte, error) { return os.ReadFile(f.at(name)) }

func (f folder) Create(name string) (File, error) {
	return os.OpenFile(f.at(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

func (f folder) Append(name string) (File, error) {
	return os.OpenFile(f.at(name), os.O_WRONLY|os.O_APPEND, fileMode)
}

func (f folder) Truncate(name string, size int64) error {
	file, err := os.OpenFile(f.at(name), os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	err = errors.Join(file.Truncate(size), file.Sync())
	return errors.Join(err, file.Close())
}

func (f folder) Rename(from, to string) error { return os.Rename(f.at(from), f.at(to)) }

func (f folder) Remove(name string) error { return os.Remove(f.at(name)) }

func (f folder) SyncFolder() error { return syncFolder(f.path) }

func syncFolder(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
