package messenger_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// TestHeartbeatsAreSmall guards against heartbeats that carry their method name and a
// zero timestamp. With 25 entries connected to each of 46 companions and few messages on
// most connections, such heartbeats were a seventh of all bytes between failure domains.
func TestHeartbeatsAreSmall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		c := messenger.NewConn(near, messenger.Settings{HeartbeatInterval: 200 * time.Millisecond, SilenceLimit: time.Minute})
		total := 0
		read := make(chan struct{})
		go func() {
			defer close(read)
			buffer := make([]byte, 4096)
			for {
				n, err := far.Read(buffer)
				total += n
				if err != nil {
					return
				}
			}
		}()
		<-time.After(2050 * time.Millisecond)
		if err := c.Close(); err != nil {
			t.Error(err)
		}
		_ = far.Close()
		<-read
		if total == 0 || total > 10*2 {
			t.Errorf("ten heartbeats take %d bytes", total)
		}
	})
}

// TestOtherMessagesStandForHeartbeats guards against heartbeats sent in addition to other
// messages, for example by a companion that sends ten messages a second to an entry.
func TestOtherMessagesStandForHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		c := messenger.NewConn(near, messenger.Settings{HeartbeatInterval: 200 * time.Millisecond, SilenceLimit: time.Minute})
		frames := 0
		read := make(chan struct{})
		go func() {
			defer close(read)
			buffer := make([]byte, 4096)
			for {
				if _, err := far.Read(buffer); err != nil {
					if !errors.Is(err, io.EOF) {
						t.Error(err)
					}
					return
				}
				frames++
			}
		}()
		for range 20 {
			<-time.After(100 * time.Millisecond)
			if err := c.Notify(t.Context(), messenger.MethodState, nil); err != nil {
				t.Error(err)
			}
		}
		if err := c.Close(); err != nil {
			t.Error(err)
		}
		<-read
		if frames != 20 {
			t.Errorf("%d messages, want the 20 that were sent", frames)
		}
	})
}
