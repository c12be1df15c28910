package disk

import "path/filepath"

// markerName is the name of the empty file that records a planned shutdown.
const markerName = "cleanStop"

// MarkCleanStop durably records in the data directory dir that the process ended in a
// planned shutdown, with no unfinished requests and with all its slot credits (rights to
// use a worker's slots) returned. The next process then need not wait before it uses
// slots. A missing directory is created.
func MarkCleanStop(fs FS, dir string) error {
	if err := fs.MkdirAll(dir); err != nil {
		return fileError("create", dir, err)
	}
	name := filepath.Join(dir, markerName)
	fil, err := fs.Create(name)
	if err != nil {
		return fileError("create", name, err)
	}
	if err := fil.Close(); err != nil {
		return fileError("close", name, err)
	}
	if err := fs.SyncDir(dir); err != nil {
		return fileError("sync", dir, err)
	}
	return nil
}

// TakeCleanStop reports whether dir has the record of MarkCleanStop, and durably
// removes it, so that a later crash does not count as a planned shutdown.
func TakeCleanStop(fs FS, dir string) (bool, error) {
	name := filepath.Join(dir, markerName)
	names, err := fs.List(dir)
	if err != nil {
		// The directory does not exist before the first start. Any other failure to list it
		// also counts as no record.
		return false, nil
	}
	for _, one := range names {
		if one != markerName {
			continue
		}
		if err := fs.Remove(name); err != nil {
			return false, fileError("remove", name, err)
		}
		if err := fs.SyncDir(dir); err != nil {
			return false, fileError("sync", dir, err)
		}
		return true, nil
	}
	return false, nil
}
