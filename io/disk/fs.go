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

// FS is the port to the file system. The names of files and directories are paths of the
// operating system.
type FS interface {
	MkdirAll(dir string) error
	// List returns the names in dir without their directory, sorted.
	List(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Open opens an existing file for reading.
	Open(name string) (File, error)
	// Create creates an empty file or truncates an existing one.
	Create(name string) (File, error)
	// Append opens a file for writing at its end. A missing one is created.
	Append(name string) (File, error)
	// Rename atomically renames a file and replaces an existing one of the new name.
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes the creation, renaming and removal of files in dir durable.
	SyncDir(dir string) error
	// Lock locks the named file until the returned Closer is closed. It fails if
	// another process has locked the file.
	Lock(name string) (io.Closer, error)
}

// OS is the FS of the operating system.
type OS struct{}

const (
	dirMode  = 0o755
	fileMode = 0o644
)

// MkdirAll creates a directory and its parents.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirMode) }

// List returns the names in dir without their directory, sorted.
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

// Create creates an empty file or truncates an existing one.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
}

// Append opens a file for writing at its end. A missing one is created.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_APPEND, fileMode)
}

// Rename renames a file and replaces an existing one of the new name.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir makes the creation, renaming and removal of files in dir durable.
func (OS) SyncDir(dir string) error {
	fil, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	defer func() { _ = fil.Close() }()
	return fil.Sync()
}

// Lock locks a file with flock and creates it if it is missing.
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
