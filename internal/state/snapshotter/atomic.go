package snapshotter

import (
	"encoding/binary"
	"hash/crc32"
	"path/filepath"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/journaler"
)

// temporarySuffix ends the names of files that are not complete.
const temporarySuffix = ".temporary"

// checksumSize is the size of the CRC32C that ends each file.
const checksumSize = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// replaceFile puts data with its checksum at name, lasting and in one step.
func replaceFile(files journaler.FileSystem, name string, data []byte) error {
	temporary := name + temporarySuffix
	file, err := files.Create(temporary)
	if err != nil {
		return errors.Annotatef(err, "create %s", temporary)
	}
	sealed := binary.LittleEndian.AppendUint32(data, crc32.Checksum(data, castagnoli))
	if _, err := file.Write(sealed); err != nil {
		_ = file.Close()
		return errors.Annotatef(err, "write %s", temporary)
	}
	return errors.Trace(finish(files, file, temporary, name))
}

// finish syncs and closes a temporary file and gives it its name.
func finish(files journaler.FileSystem, file journaler.File, temporary, name string) error {
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return errors.Annotatef(err, "sync %s", temporary)
	}
	if err := file.Close(); err != nil {
		return errors.Annotatef(err, "close %s", temporary)
	}
	if err := files.Rename(temporary, name); err != nil {
		return errors.Annotatef(err, "rename %s", temporary)
	}
	return errors.Annotate(files.SyncFolder(filepath.Dir(name)), "sync folder")
}

// readFile returns the data that replaceFile put at name; where there is no
// such file the error satisfies os.IsNotExist after errors.Cause.
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
	if body < 0 || crc32.Checksum(b[:body], castagnoli) != binary.LittleEndian.Uint32(b[body:]) {
		return nil, errors.Trace(journaler.ErrDamaged{File: name, Reason: "checksum of the file does not match"})
	}
	return b[:body], nil
}
