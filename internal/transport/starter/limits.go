package starter

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"marigoldpoint.example/marigoldpoint/internal/coordination/allotter"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
)

const (
	// reservedDescriptors are for files, listeners, and connections to other processes.
	reservedDescriptors = 100
	// receiveBuffer is the size of the receive buffers of accepted HTTP connections, in bytes. Bytes that
	// nobody reads count as the memory of the process.
	receiveBuffer = 64 << 10
)

// newAllotter returns the limits of what connections and requests hold in the process, which all its
// listeners share.
func newAllotter(l configurer.LimitSettings) *allotter.Allotter {
	memory, descriptors := int64(l.Memory), l.Descriptors
	if memory == 0 {
		memory = availableMemory()
	}
	if descriptors == 0 {
		descriptors = availableDescriptors()
	}
	return allotter.NewAllotter(allotter.HostSettings(memory, descriptors, reservedDescriptors))
}

// availableMemory returns the memory of the host, or the limit of the Go runtime if that is less.
func availableMemory() int64 {
	limit := debug.SetMemoryLimit(-1)
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return limit
	}
	return min(limit, int64(info.Totalram)*int64(info.Unit))
}

// availableDescriptors returns the limit of the operating system.
func availableDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt32
	}
	return int(min(limit.Cur, math.MaxInt32))
}
