package disk

import "strconv"

// SpawnError reports that an actor could not be started.
type SpawnError struct {
	name  string
	cause error
}

// Error describes the failure.
func (err *SpawnError) Error() string { return "start actor " + err.name + ": " + err.cause.Error() }

// Unwrap returns the cause.
func (err *SpawnError) Unwrap() error { return err.cause }

// CorruptError reports a file whose content differs from what was written, or a chunk of a
// received snapshot that does not follow the previous chunk. A process must not start on
// a corrupt file: its VM has to be replaced as a voter, with an empty data directory.
type CorruptError struct {
	file   string
	offset int64
	reason string
}

// File returns the path of the file, or, for a chunk, the name of the temporary file
// without its directory.
func (err *CorruptError) File() string { return err.file }

// Offset returns the offset in bytes at which the damage starts, or, for a chunk, its
// offset in the data of the snapshot.
func (err *CorruptError) Offset() int64 { return err.offset }

// Error describes the failure.
func (err *CorruptError) Error() string {
	return err.file + ": " + err.reason + " at offset " + strconv.FormatInt(err.offset, 10) +
		", replace the voter with an empty data directory"
}

// OwnerError reports a data directory of another VM, another group or another format
// version.
type OwnerError struct {
	dir   string
	field string
	// found is the value in the data directory, want that of the configuration.
	found string
	want  string
}

// Field returns the field that differs: vm, group or version.
func (err *OwnerError) Field() string { return err.field }

// Error describes the failure.
func (err *OwnerError) Error() string {
	return "data directory " + err.dir + " is of " + err.field + " " + err.found + " and not " + err.want +
		", set another directory"
}

// LockedError reports a data directory that another process has locked.
type LockedError struct {
	dir   string
	cause error
}

// Error describes the failure.
func (err *LockedError) Error() string {
	return "data directory " + err.dir + " is in use, stop the other process: " + err.cause.Error()
}

// Unwrap returns the cause.
func (err *LockedError) Unwrap() error { return err.cause }

// FileError reports a failed operation on a file.
type FileError struct {
	// op is a verb, such as open or sync.
	op    string
	file  string
	cause error
}

// Error describes the failure.
func (err *FileError) Error() string { return err.op + " " + err.file + ": " + err.cause.Error() }

// Unwrap returns the cause.
func (err *FileError) Unwrap() error { return err.cause }

// fileError returns a FileError, or nil if cause is nil.
func fileError(op, file string, cause error) error {
	if cause == nil {
		return nil
	}
	return &FileError{op: op, file: file, cause: cause}
}
