package controller

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
)

const (
	// probeFileName is the file written to test a disk, and probeBytes its size: enough
	// for some hundred changes.
	probeFileName = "probe"
	probeBytes    = 256 << 10
	// probeInterval is the time between two probes.
	probeInterval = 200 * time.Millisecond
)

// WaitDiskWritable returns once the disk accepts writes again, or with the context's
// error. Call it after Failed is closed: a disk that is full or refuses writes may
// recover within seconds, and a host that restarts earlier fails again.
//
// A host whose log has stopped is lost to its group although its process runs, so the
// group does not survive the next loss. Example: of three hosts, one had a full disk for
// some seconds, another lost its disk half a minute later, and there was no leader until
// all were restarted.
func (c *Control) WaitDiskWritable(ctx context.Context) error {
	for {
		err := probe(c.settings.DataFolder)
		if err == nil {
			return nil
		}
		c.settings.Log.Debug().Err(err).Msg("the disk does not accept writes")
		if !pauser.Pause(ctx, probeInterval) {
			return errors.Trace(ctx.Err())
		}
	}
}

// probe writes, syncs and removes a file.
func probe(folder string) error {
	path := filepath.Join(folder, probeFileName)
	f, err := os.Create(path)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = f.Write(make([]byte, probeBytes))
	if err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	// Remove a partially written file too, to free its space.
	if removed := os.Remove(path); err == nil {
		err = removed
	}
	return errors.Trace(err)
}
