// Package waltest has a data folder in memory for tests: it forgets at a crash
// what was not synced, and can tear the last write.
package waltest

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/wal"
)

// Folder is a wal.FS in memory.
type Folder struct {
	mu      sync.Mutex
	current map[string]*file
	durable map[string]*file
	// Syncs counts how often a file was synced.
	Syncs    int
	syncTime time.Duration
	// IgnoreSync makes Sync of files do nothing, as if the log never asked.
	IgnoreSync bool
	before     func() bool
	// FailWrites makes every write to a file fail half way.
	FailWrites bool
}

// SetSyncTime sets how long each sync of a file takes.
func (f *Folder) SetSyncTime(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.syncTime = d
}

// ErrPowerLoss is the error of operations that are not allowed.
var ErrPowerLoss = errors.New("power loss")

// SetBefore has allow called before each operation that changes the folder.
// If it returns false the operation fails, as it would after a power loss.
func (f *Folder) SetBefore(allow func() bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.before = allow
}

func (f *Folder) allowed() error {
	f.mu.Lock()
	allow := f.before
	f.mu.Unlock()
	if allow != nil && !allow() {
		return ErrPowerLoss
	}
	return nil
}

type file struct {
	folder *Folder
	data   []byte
	synced int
}

// NewFolder returns an empty folder.
func NewFolder() *Folder {
	return &Folder{current: map[string]*file{}, durable: map[string]*file{}}
}

// Crash returns the folder as it is found after a power loss. Of the bytes of
// each file that were written but not synced, keep says how many survive.
func (f *Folder) Crash(keep func(unsynced int) int) *Folder {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := NewFolder()
	for _, name := range slices.Sorted(maps.Keys(f.durable)) {
		old := f.durable[name]
		size := old.synced + keep(len(old.data)-old.synced)
		next.current[name] = &file{folder: next, data: bytes.Clone(old.data[:size]), synced: size}
	}
	next.durable = maps.Clone(next.current)
	return next
}

// Edit changes the content of a file in place.
func (f *Folder) Edit(name string, change func(data []byte) []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.current[name]
	c.data = change(c.data)
	c.synced = len(c.data)
}

// List returns the names of all files, sorted.
func (f *Folder) List() ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.current)), nil
}

// ReadFile returns a copy of a file.
func (f *Folder) ReadFile(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.current[name]
	if !ok {
		return nil, fmt.Errorf("read %s: %w", name, fs.ErrNotExist)
	}
	return bytes.Clone(c.data), nil
}

// Create makes an empty file.
func (f *Folder) Create(name string) (wal.File, error) {
	if err := f.allowed(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &file{folder: f}
	f.current[name] = c
	return c, nil
}

// Append opens a file.
func (f *Folder) Append(name string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.current[name]
	if !ok {
		return nil, fmt.Errorf("append %s: %w", name, fs.ErrNotExist)
	}
	return c, nil
}

// Truncate cuts a file.
func (f *Folder) Truncate(name string, size int64) error {
	if err := f.allowed(); err != nil {
		return err
	}
	f.Edit(name, func(data []byte) []byte { return data[:size] })
	return nil
}

// Rename replaces the file at to; a crash undoes it until SyncFolder.
func (f *Folder) Rename(from, to string) error {
	if err := f.allowed(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current[to] = f.current[from]
	delete(f.current, from)
	return nil
}

// Remove deletes a file; a crash undoes it until SyncFolder.
func (f *Folder) Remove(name string) error {
	if err := f.allowed(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.current, name)
	return nil
}

// SyncFolder makes the names durable.
func (f *Folder) SyncFolder() error {
	if err := f.allowed(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.durable = maps.Clone(f.current)
	return nil
}

// Write appends to the file.
func (c *file) Write(b []byte) (int, error) {
	if err := c.folder.allowed(); err != nil {
		return 0, err
	}
	c.folder.mu.Lock()
	defer c.folder.mu.Unlock()
	if c.folder.FailWrites {
		c.data = append(c.data, b[:len(b)/2]...)
		return len(b) / 2, fs.ErrInvalid
	}
	c.data = append(c.data, b...)
	return len(b), nil
}

// Sync makes the content durable.
func (c *file) Sync() error {
	c.folder.mu.Lock()
	pause := c.folder.syncTime
	c.folder.mu.Unlock()
	time.Sleep(pause)
	if err := c.folder.allowed(); err != nil {
		return err
	}
	c.folder.mu.Lock()
	defer c.folder.mu.Unlock()
	c.folder.Syncs++
	if !c.folder.IgnoreSync {
		c.synced = len(c.data)
	}
	return nil
}

// Close does nothing: what is not synced stays so.
func (c *file) Close() error { return nil }
