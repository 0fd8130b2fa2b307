// Package waltest provides an in-memory data folder for tests. A simulated power
// loss drops data that was not synced, or only a part of it.
package waltest

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/wal"
)

// Folder is an in-memory wal.FS.
type Folder struct {
	mu      sync.Mutex
	current map[string]*file
	durable map[string]*file
	// SyncCount is the number of file syncs.
	SyncCount int
	// readBytes is the size of all files that were read.
	readBytes int
	syncTime  time.Duration
	// IgnoreSync makes file syncs succeed without making data durable.
	IgnoreSync     bool
	allowOperation func() bool
	// FailWrites makes every write to a file fail after half of its bytes.
	FailWrites bool
	isFull     func() bool
	failSync   bool
	quota      int // in bytes; zero means no limit
	peak       int // in bytes
}

// SetFull makes the folder call isFull before each creation of a file and each
// write. If isFull returns true, the operation fails with syscall.ENOSPC, a write
// after half of its bytes. A nil function means that the disk has room.
func (f *Folder) SetFull(isFull func() bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isFull = isFull
}

// SetQuota sets the size of the disk in bytes; zero means no limit. A write that
// does not fit writes what fits and fails with syscall.ENOSPC.
func (f *Folder) SetQuota(bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quota = bytes
}

// UsedBytes returns the size of all files.
func (f *Folder) UsedBytes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.usedBytes()
}

// PeakBytes returns the largest size of all files so far.
func (f *Folder) PeakBytes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peak
}

// usedBytes returns the size of all files. mu must be held.
func (f *Folder) usedBytes() int {
	used := 0
	for _, c := range f.current {
		used += len(c.data)
	}
	return used
}

// room returns how many of n further bytes fit on the disk. mu must be held.
func (f *Folder) room(n int) int {
	used := f.usedBytes()
	if f.quota > 0 {
		n = max(0, min(n, f.quota-used))
	}
	f.peak = max(f.peak, used+n)
	return n
}

// full reports whether the next creation or write fails.
func (f *Folder) full() bool {
	f.mu.Lock()
	isFull := f.isFull
	f.mu.Unlock()
	return isFull != nil && isFull()
}

// FailNextSync makes the next sync of a file fail. As on Linux, what the file
// holds then stays readable but is not written to the disk by later syncs.
func (f *Folder) FailNextSync() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failSync = true
}

// SetSyncTime sets the duration of each file sync.
func (f *Folder) SetSyncTime(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.syncTime = d
}

// ErrPowerLoss is returned by operations that the function of SetAllowOperation
// did not allow.
var ErrPowerLoss = errors.New("power loss")

// SetAllowOperation makes the folder call allow before each operation that
// changes it. If allow returns false, the operation fails with ErrPowerLoss.
func (f *Folder) SetAllowOperation(allow func() bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.allowOperation = allow
}

// checkAllowed returns ErrPowerLoss if an operation is not allowed.
func (f *Folder) checkAllowed() error {
	f.mu.Lock()
	allow := f.allowOperation
	f.mu.Unlock()
	if allow != nil && !allow() {
		return ErrPowerLoss
	}
	return nil
}

// file is a file of a Folder. Its first synced bytes are durable.
type file struct {
	folder *Folder
	data   []byte
	synced int
	// lost is set once a sync failed. Later syncs then make nothing durable.
	lost bool
}

// NewFolder returns an empty folder.
func NewFolder() *Folder {
	return &Folder{current: map[string]*file{}, durable: map[string]*file{}}
}

// Crash returns the folder as it is after a power loss. For each file, keep
// returns how many of the given number of unsynced bytes survive.
func (f *Folder) Crash(keep func(unsynced int) int) *Folder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crash(f.durable, keep)
}

// CrashWithRemovals is like Crash, but each removal since the last SyncFolder is
// kept or lost on its own: it is kept if isKept returns true for the name.
func (f *Folder) CrashWithRemovals(isKept func(name string) bool, keep func(unsynced int) int) *Folder {
	f.mu.Lock()
	defer f.mu.Unlock()
	names := maps.Clone(f.durable)
	for _, name := range slices.Sorted(maps.Keys(f.durable)) {
		if f.current[name] == nil && isKept(name) {
			delete(names, name)
		}
	}
	return f.crash(names, keep)
}

// crash returns a folder with the given files after a power loss.
func (f *Folder) crash(files map[string]*file, keep func(unsynced int) int) *Folder {
	next := NewFolder()
	next.quota, next.peak = f.quota, f.peak
	for _, name := range slices.Sorted(maps.Keys(files)) {
		old := files[name]
		size := old.synced + keep(len(old.data)-old.synced)
		next.current[name] = &file{folder: next, data: bytes.Clone(old.data[:size]), synced: size}
	}
	next.durable = maps.Clone(next.current)
	return next
}

// Edit replaces the content of a file by the result of change and makes it
// durable, to simulate damage.
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
	f.readBytes += len(c.data)
	return bytes.Clone(c.data), nil
}

// ReadBytes returns the size of all files that were read so far.
func (f *Folder) ReadBytes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readBytes
}

// Create creates an empty file. Until SyncFolder is called, a crash undoes the
// creation.
func (f *Folder) Create(name string) (wal.File, error) {
	if err := f.checkAllowed(); err != nil {
		return nil, err
	}
	if f.full() {
		return nil, syscall.ENOSPC
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &file{folder: f}
	f.current[name] = c
	return c, nil
}

// Append opens an existing file for appending.
func (f *Folder) Append(name string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.current[name]
	if !ok {
		return nil, fmt.Errorf("append %s: %w", name, fs.ErrNotExist)
	}
	return c, nil
}

// Truncate shortens a file to size bytes.
func (f *Folder) Truncate(name string, size int64) error {
	if err := f.checkAllowed(); err != nil {
		return err
	}
	f.Edit(name, func(data []byte) []byte { return data[:size] })
	return nil
}

// Rename renames a file and replaces an existing file of the new name. Until
// SyncFolder is called, a crash undoes the rename.
func (f *Folder) Rename(from, to string) error {
	if err := f.checkAllowed(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current[to] = f.current[from]
	delete(f.current, from)
	return nil
}

// Remove deletes a file. Until SyncFolder is called, a crash undoes the removal.
func (f *Folder) Remove(name string) error {
	if err := f.checkAllowed(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.current, name)
	return nil
}

// SyncFolder makes the names of all files durable.
func (f *Folder) SyncFolder() error {
	if err := f.checkAllowed(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.durable = maps.Clone(f.current)
	return nil
}

// Write appends b to the file.
func (c *file) Write(b []byte) (int, error) {
	if err := c.folder.checkAllowed(); err != nil {
		return 0, err
	}
	full := c.folder.full()
	c.folder.mu.Lock()
	defer c.folder.mu.Unlock()
	if full {
		c.data = append(c.data, b[:len(b)/2]...)
		return len(b) / 2, syscall.ENOSPC
	}
	if c.folder.FailWrites {
		c.data = append(c.data, b[:len(b)/2]...)
		return len(b) / 2, fs.ErrInvalid
	}
	n := c.folder.room(len(b))
	c.data = append(c.data, b[:n]...)
	if n < len(b) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

// Sync makes the content of the file durable.
func (c *file) Sync() error {
	c.folder.mu.Lock()
	pause := c.folder.syncTime
	c.folder.mu.Unlock()
	time.Sleep(pause)
	if err := c.folder.checkAllowed(); err != nil {
		return err
	}
	c.folder.mu.Lock()
	defer c.folder.mu.Unlock()
	c.folder.SyncCount++
	if c.folder.failSync {
		c.folder.failSync, c.lost = false, true
		return syscall.EIO
	}
	if !c.folder.IgnoreSync && !c.lost {
		c.synced = len(c.data)
	}
	return nil
}

// Close does nothing. Unsynced data stays unsynced.
func (c *file) Close() error { return nil }
