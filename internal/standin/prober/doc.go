// Package prober measures slopes: what one more adapter, watcher, companion,
// change, heartbeat, claim, load permit or stream costs a process in processor
// time, memory and bytes on the wire.
//
// A ClientGroup is many light clients in one process, each with the code and the
// connection of a real node, against control hosts that run as processes of
// their own. A Probe puts them through a Phase at several sizes and reads what
// the processes used from the kernel's accounts; Fit draws the line. Processor
// time is measured and not the clock's, since the machine may be busy with other
// work; a busy machine still makes the same work cost somewhat more, so that
// each size is measured several times and the error of the slope is given.
//
// The benchmarks of this package give the slopes of state. docs/CAPACITY.md
// works out from all of them what the planned size costs each role.
//
// Processes are read through /proc, as Linux has it. Bytes are those written to
// and read from connections, without the headers of TCP and IP.
package prober
