package prober

import (
	"bytes"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Usage is the resource usage of a process as accounted by the kernel.
type Usage struct {
	// Processor is the user and system time on all cores since the start of the
	// process.
	Processor time.Duration
	// Resident is the physical memory in use, in bytes. Private is its anonymous part,
	// which is not backed by a file: heap, stacks and the runtime's own memory.
	Resident, Private int64
	// Written is the number of bytes written to connections and files.
	Written int64
}

// ticksPerSecond is the unit of processor time in /proc, which is the same on all Linux
// architectures that Go supports.
const ticksPerSecond = 100

// Indices of the fields in /proc/PID/stat, counted from the field after the process's name.
const (
	fieldUser   = 11
	fieldSystem = 12
)

// UsageOf returns the usage of a process since its start.
func UsageOf(pid int) (Usage, error) {
	folder := "/proc/" + strconv.Itoa(pid) + "/"
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return Usage{}, errors.Annotatef(err, "read the usage of process %d", pid)
	}
	// The process's name is in parentheses and can contain any character.
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	if len(fields) <= fieldSystem {
		return Usage{}, errors.NotValidf("/proc/%d/stat with %d fields", pid, len(fields))
	}
	var ticks int64
	for _, f := range []int{fieldUser, fieldSystem} {
		n, err := strconv.ParseInt(string(fields[f]), 10, 64)
		if err != nil {
			return Usage{}, errors.Annotatef(err, "field %d of /proc/%d/stat", f, pid)
		}
		ticks += n
	}
	status, err := os.ReadFile(folder + "status")
	if err != nil {
		return Usage{}, errors.Annotatef(err, "read the memory of process %d", pid)
	}
	io, err := os.ReadFile(folder + "io")
	if err != nil {
		return Usage{}, errors.Annotatef(err, "read the I/O counts of process %d", pid)
	}
	return Usage{
		Written:   numberInLine(string(io), "wchar:"),
		Processor: time.Duration(ticks) * time.Second / ticksPerSecond,
		Resident:  numberInLine(string(status), "VmRSS:") << 10,
		Private:   numberInLine(string(status), "RssAnon:") << 10,
	}, nil
}

// numberInLine returns the number that follows name in a file of /proc, in the unit of its
// line; 0 if there is none.
func numberInLine(file, name string) int64 {
	_, rest, _ := strings.Cut(file, name)
	line, _, _ := strings.Cut(rest, "\n")
	n, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(line), " kB"), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
