package prober

import (
	"bytes"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Usage is what a process has used, by the kernel's accounts.
type Usage struct {
	// Processor is the time on all cores, in the kernel and out of it, since the
	// process began.
	Processor time.Duration
	// Resident is the physical memory in use, in bytes. Private is the part of it
	// that belongs to no file: heap, stacks and the runtime's own.
	Resident, Private int64
	// Written is what was written to connections and files, in bytes.
	Written int64
}

// ticksPerSecond is the kernel's unit of processor time in /proc, the same on
// all architectures of Linux that Go runs on.
const ticksPerSecond = 100

// The places of the fields in /proc/PID/stat, counted from the one behind the
// process's name.
const (
	fieldUser   = 11
	fieldSystem = 12
)

// UsageOf returns what a process has used.
func UsageOf(pid int) (Usage, error) {
	folder := "/proc/" + strconv.Itoa(pid) + "/"
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return Usage{}, errors.Annotatef(err, "read the usage of process %d", pid)
	}
	// The name stands in parentheses and can hold anything.
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
		return Usage{}, errors.Annotatef(err, "read what process %d wrote", pid)
	}
	return Usage{
		Written:   field(string(io), "wchar:"),
		Processor: time.Duration(ticks) * time.Second / ticksPerSecond,
		Resident:  field(string(status), "VmRSS:") << 10,
		Private:   field(string(status), "RssAnon:") << 10,
	}, nil
}

// field returns the number in a line of one of the process's files, in the unit
// that the line has; 0 where it is missing.
func field(file, name string) int64 {
	_, rest, _ := strings.Cut(file, name)
	line, _, _ := strings.Cut(rest, "\n")
	n, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(line), " kB"), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
