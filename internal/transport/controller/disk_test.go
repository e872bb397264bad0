package controller

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"
)

// TestWaitDiskWritable guards against a host that keeps running without its replicated
// log after its disk was full for some seconds. Of three control hosts, another one lost
// half a minute later left no leader until all were restarted.
func TestWaitDiskWritable(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	synctest.Test(t, func(t *testing.T) {
		c := &Control{settings: Settings{DataFolder: folder}}
		done := make(chan error, 1)
		go func() { done <- c.WaitDiskWritable(t.Context()) }()
		<-time.After(time.Second)
		select {
		case err := <-done:
			t.Fatalf("returned while the disk accepts no writes: %v", err)
		default:
		}
		if err := os.Mkdir(folder, 0o700); err != nil {
			t.Fatal(err)
		}
		<-time.After(probeInterval)
		synctest.Wait()
		select {
		case err := <-done:
			if err != nil {
				t.Error(err)
			}
		default:
			t.Fatal("still waiting although the disk accepts writes")
		}
	})
	if left, err := os.ReadDir(folder); err != nil || len(left) > 0 {
		t.Errorf("probe left files on the disk: %v, %v", left, err)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	c := &Control{settings: Settings{DataFolder: filepath.Join(folder, "missing")}}
	if err := c.WaitDiskWritable(ended); err == nil {
		t.Error("no error after the context ended")
	}
}
