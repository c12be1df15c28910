package disk

import (
	"io"
	"os"
	"path/filepath"
	"sort"
	"syscall"
)

// File is an open file.
type File interface {
	io.Writer
	io.ReaderAt
	io.Closer
	Sync() error
	Truncate(size int64) error
}

// FS is the port to the file system. Paths are those of the operating system.
type FS interface {
	MkdirAll(dir string) error
	// List returns the names in dir, sorted.
	List(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Open opens an existing file for reading.
	Open(name string) (File, error)
	// Create opens an empty file, replacing an existing one.
	Create(name string) (File, error)
	// Append opens a file for writing at its end and creates it if needed.
	Append(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes created, renamed and removed names in dir durable.
	SyncDir(dir string) error
	// Lock holds the named file until it is closed and fails when another
	// process holds it.
	Lock(name string) (io.Closer, error)
}

// OS is the file system of the operating system.
type OS struct{}

const (
	dirMode  = 0o755
	fileMode = 0o644
)

// MkdirAll creates a directory and its parents.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirMode) }

// List returns the names in dir, sorted.
func (OS) List(dir string) ([]string, error) {
	ents, err := os.ReadDir(dir)
	names := make([]string, 0, len(ents))
	for _, ent := range ents {
		names = append(names, ent.Name())
	}
	sort.Strings(names)
	return names, err
}

// ReadFile returns the content of a file.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Open opens an existing file for reading.
func (OS) Open(name string) (File, error) { return os.Open(name) }

// Create opens an empty file.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
}

// Append opens a file for writing at its end.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_APPEND, fileMode)
}

// Rename gives a file another name and replaces the one that had it.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir makes the names in dir durable.
func (OS) SyncDir(dir string) error {
	fil, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	defer func() { _ = fil.Close() }()
	return fil.Sync()
}

// Lock locks a file for this process.
func (OS) Lock(name string) (io.Closer, error) {
	fil, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(fil.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = fil.Close()
		return nil, err
	}
	return fil, nil
}
