// Package prober measures marginal costs: the processor time, memory and bytes on the wire
// that one more adapter, watcher, companion, change, heartbeat, claim, load permit or stream
// costs a process.
//
// A ClientGroup holds many lightweight clients in one process, each with the code and the
// connection of a real node. They connect to control hosts that run as separate processes.
// Run executes a Phase at one size and reads the resource usage of the processes from the
// kernel; Fit computes the regression line over several sizes. Processor time is measured
// instead of elapsed time because the machine may run other work. The same work still costs
// somewhat more on a busy machine, so each size is measured several times and the standard
// error of the slope is reported.
//
// The benchmarks of this package measure the marginal costs of state. docs/CAPACITY.md
// derives from all of them the cost of the planned size for each role.
//
// The usage of processes is read from /proc, which requires Linux. Bytes are those written to
// and read from connections, without the headers of TCP and IP.
package prober
