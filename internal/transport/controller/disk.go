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
	// probeName is the file by which a disk is tried, and probeBytes its size: room for
	// some hundred changes.
	probeName  = "probe"
	probeBytes = 256 << 10
	// probePause is the time between two tries.
	probePause = 200 * time.Millisecond
)

// WaitDiskWritable returns once the disk takes writes again, or with the context's error. Call
// it after Failed: a disk that is full or refuses writes may do so for some seconds
// only, and a host that is started anew before would fail as the one that stopped.
//
// A host whose log has stopped is lost to its group, although it runs. One that stays
// so is no longer there when the next is lost: of three hosts one had a full disk for
// some seconds, another lost its own half a minute later, and there was no leader until
// all were started anew.
func (c *Control) WaitDiskWritable(ctx context.Context) error {
	for {
		err := probe(c.settings.DataFolder)
		if err == nil {
			return nil
		}
		c.settings.Log.Debug().Err(err).Msg("the disk takes no writes")
		if !pauser.Pause(ctx, probePause) {
			return errors.Trace(ctx.Err())
		}
	}
}

// probe writes a file, syncs and removes it.
func probe(folder string) error {
	path := filepath.Join(folder, probeName)
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
	// What is left of a file that could not be written is room for others.
	if removed := os.Remove(path); err == nil {
		err = removed
	}
	return errors.Trace(err)
}
