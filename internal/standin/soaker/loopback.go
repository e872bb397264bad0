package soaker

import "net/netip"

// loopback returns the loopback address for the listeners of the soak with the process ID pid.
// Outgoing connections have the address 127.0.0.1, and one of them could take the port of a
// process that is down there. The addresses of soaks that run at once differ.
func loopback(pid int) string {
	const minBlock = 64
	return netip.AddrFrom4([4]byte{127, byte(minBlock + pid>>16), byte(pid >> 8), byte(pid)}).String()
}
