package wal

import "io"

// StorageError means that the file system refused an operation, for example
// because the disk is full. What the operation changed on the disk is unknown.
// The log may be opened again once the file system works, with
// Options.RewriteLast set.
type StorageError struct{ Err error }

// Error returns the error of the file system.
func (e *StorageError) Error() string { return e.Err.Error() }

// Unwrap returns the error of the file system.
func (e *StorageError) Unwrap() error { return e.Err }

// storageError returns err as a *StorageError, or nil.
func storageError(err error) error {
	if err == nil {
		return nil
	}
	return &StorageError{Err: err}
}

// reportingFS is an FS whose errors are *StorageError.
type reportingFS struct{ fs FS }

func (r reportingFS) List() ([]string, error) {
	names, err := r.fs.List()
	return names, storageError(err)
}

func (r reportingFS) ReadFile(name string) ([]byte, error) {
	b, err := r.fs.ReadFile(name)
	return b, storageError(err)
}

func (r reportingFS) Create(name string) (File, error) { return reportFile(r.fs.Create(name)) }

func (r reportingFS) Append(name string) (File, error) { return reportFile(r.fs.Append(name)) }

func (r reportingFS) Truncate(name string, size int64) error {
	return storageError(r.fs.Truncate(name, size))
}

func (r reportingFS) Rename(from, to string) error { return storageError(r.fs.Rename(from, to)) }

func (r reportingFS) Remove(name string) error { return storageError(r.fs.Remove(name)) }

func (r reportingFS) SyncFolder() error { return storageError(r.fs.SyncFolder()) }

// Close closes the underlying FS if it is an io.Closer.
func (r reportingFS) Close() error {
	if c, ok := r.fs.(io.Closer); ok {
		return c.Close()
	}
	return nil
}

// reportingFile is a File whose errors are *StorageError.
type reportingFile struct{ file File }

// reportFile wraps the result of opening a file.
func reportFile(f File, err error) (File, error) {
	if err != nil {
		return nil, storageError(err)
	}
	return reportingFile{f}, nil
}

func (f reportingFile) Write(b []byte) (int, error) {
	n, err := f.file.Write(b)
	return n, storageError(err)
}

func (f reportingFile) Sync() error { return storageError(f.file.Sync()) }

func (f reportingFile) Close() error { return storageError(f.file.Close()) }
