package flooder

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Usage is the most of what a process has used. Its memory is what is resident, with the bytes that have
// arrived and were not read; unread is the most of the latter.
type Usage struct{ Memory, Unread, Descriptors int }

// Sampler samples what a process uses.
type Sampler struct {
	process int
	// local holds the address at which bytes arrive.
	local map[string]bool
	mu    sync.Mutex
	// most is guarded by mu.
	most Usage
}

// NewSampler returns a sampler of a process, at one of its addresses. It panics unless that is an IP and
// a port.
func NewSampler(process int, address string) *Sampler {
	at := net.TCPAddrFromAddrPort(netip.MustParseAddrPort(address))
	return &Sampler{process: process, local: map[string]bool{TableAddress(at): true}}
}

// Sample takes one sample.
func (s *Sampler) Sample() {
	unread := unreadBytesAt(s.local)
	memory := ResidentBytes(s.process) + unread
	// The directory is gone if the process has ended.
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.process))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.most = Usage{max(s.most.Memory, memory), max(s.most.Unread, unread), max(s.most.Descriptors, len(entries))}
}

// Run takes samples until ctx ends.
func (s *Sampler) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s.Sample()
		time.Sleep(10 * time.Millisecond)
	}
}

// Most returns the most that was seen of each.
func (s *Sampler) Most() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.most
}

// ResidentBytes returns the memory of a process that is in use, from /proc.
func ResidentBytes(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize()
}

// UnreadBytes returns the bytes that this host's processes have received from the given addresses, on its
// loopback interface, and not read yet.
func UnreadBytes(from map[string]bool) int {
	return sumUnread(func(_, remote string) bool { return from[remote] })
}

// unreadBytesAt returns the bytes that have arrived at the given addresses and were not read yet.
func unreadBytesAt(addresses map[string]bool) int {
	return sumUnread(func(local, _ string) bool { return addresses[local] })
}

// sumUnread returns the unread bytes of the TCP connections that match, whose addresses are as
// TableAddress returns them.
func sumUnread(matches func(local, remote string) bool) int {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	const listening = "0A"
	unread := 0
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		// The queue of a listening socket counts connections.
		if len(fields) < 5 || fields[3] == listening || !matches(fields[1], fields[2]) {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(received, 16, 64)
		if err == nil {
			unread += int(n)
		}
	}
	return unread
}

// TableAddress returns an address as /proc/net/tcp writes it.
func TableAddress(a net.Addr) string {
	t := a.(*net.TCPAddr)
	ip := t.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], t.Port)
}
