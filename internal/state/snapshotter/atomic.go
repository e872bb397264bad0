package snapshotter

import (
	"encoding/binary"
	"hash/crc32"
	"path/filepath"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/journaler"
)

// temporarySuffix is the suffix of the names of incomplete files.
const temporarySuffix = ".temporary"

// checksumSize is the size in bytes of the CRC32C at the end of each file.
const checksumSize = 4

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// replaceFile atomically replaces the file at name by data and its checksum, and
// returns once the change is durable.
func replaceFile(files journaler.FileSystem, name string, data []byte) error {
	temporary := name + temporarySuffix
	file, err := files.Create(temporary)
	if err != nil {
		return errors.Annotatef(err, "create %s", temporary)
	}
	contents := binary.LittleEndian.AppendUint32(data, crc32.Checksum(data, castagnoliTable))
	if _, err := file.Write(contents); err != nil {
		return errors.Annotatef(discard(files, file, temporary, err), "write %s", temporary)
	}
	return errors.Trace(syncAndRename(files, file, temporary, name))
}

// discard closes and removes a temporary file after a failure, which it returns. The
// file would occupy space on a disk that may be full. If it can't be removed now, the
// next Open does it.
func discard(files journaler.FileSystem, file journaler.File, temporary string, failure error) error {
	_ = file.Close()
	_ = files.Remove(temporary)
	return failure
}

// syncAndRename syncs and closes a temporary file, renames it to name, and syncs the
// folder.
func syncAndRename(files journaler.FileSystem, file journaler.File, temporary, name string) error {
	if err := file.Sync(); err != nil {
		return errors.Annotatef(discard(files, file, temporary, err), "sync %s", temporary)
	}
	if err := file.Close(); err != nil {
		return errors.Annotatef(err, "close %s", temporary)
	}
	if err := files.Rename(temporary, name); err != nil {
		return errors.Annotatef(err, "rename %s", temporary)
	}
	return errors.Annotate(files.SyncFolder(filepath.Dir(name)), "sync folder")
}

// readFile returns the data that replaceFile wrote to name. If there is no such file,
// the cause of the error satisfies os.IsNotExist. It returns journaler.ErrDamaged if
// the checksum does not match.
func readFile(files journaler.FileSystem, name string) ([]byte, error) {
	file, err := files.Open(name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	b, err := journaler.ReadAll(file)
	if err != nil {
		_ = file.Close()
		return nil, errors.Annotatef(err, "read %s", name)
	}
	if err := file.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	body := len(b) - checksumSize
	if body < 0 || crc32.Checksum(b[:body], castagnoliTable) != binary.LittleEndian.Uint32(b[body:]) {
		return nil, errors.Trace(journaler.ErrDamaged{File: name, Reason: "checksum of the file does not match"})
	}
	return b[:body], nil
}
