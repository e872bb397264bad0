package linker_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/standin/linker"
)

// listen returns a listener on a free port of the loopback address.
func listen(t *testing.T) net.Listener {
	t.Helper()
	network, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = network.Close() })
	return network
}

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	network := listen(t)
	_ = network.Close()
	return network.Addr().String()
}

// TestLinkRate guards against connections that each have the link's rate: four that send at the
// same time take at least as long as their bytes take one after the other.
func TestLinkRate(t *testing.T) {
	const connections, bytes, perSecond = 4, 50_000, 400_000
	target, address := listen(t), freeAddress(t)
	l := linker.NewLink(linker.Settings{Rate: perSecond, Delay: time.Millisecond})
	defer l.Close()
	if err := l.Expose(address, target.Addr().String()); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	for range connections {
		go func() {
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			if _, err := conn.Write(make([]byte, bytes)); err != nil {
				t.Error(err)
			}
		}()
	}
	received := make(chan int64)
	for range connections {
		conn, err := target.Accept()
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			n, _ := io.Copy(io.Discard, conn)
			received <- n
		}()
	}
	total := int64(0)
	for range connections {
		total += <-received
	}
	if total != connections*bytes {
		t.Errorf("%d bytes arrived, want %d", total, connections*bytes)
	}
	// The first segment of an idle link is sent at once.
	least := time.Duration(float64(connections*bytes-1514) / perSecond * float64(time.Second))
	if took := time.Since(began); took < least {
		t.Errorf("%d bytes took %v, want %v at least", total, took, least)
	}
}

// TestLinkPassesOnRefusals guards against callers that are not told that a host refuses
// connections.
func TestLinkPassesOnRefusals(t *testing.T) {
	address := freeAddress(t)
	l := linker.NewLink(linker.Settings{Rate: 1e6})
	defer l.Close()
	if err := l.Expose(address, freeAddress(t)); err != nil {
		t.Fatal(err)
	}
	// The reset may arrive before the connection is reported as open.
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err == nil {
		defer conn.Close()
		_, err = conn.Read(make([]byte, 1))
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("error %v, want a reset", err)
	}
}
