// This file defines how CPU time and memory are read.

package clbench

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"

	"github.com/go-faster/errors"
)

// clockTicksPerSecond is the unit of CPU times in /proc on Linux.
const clockTicksPerSecond = 100

// cpuSeconds returns the CPU time that this process has used.
func cpuSeconds() float64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // It cannot fail for the own process.
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
}

// heapBytes returns the heap and the stacks in use after a collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// processCPUSeconds returns the CPU time of another process.
func processCPUSeconds(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read CPU time")
	}
	// The second field is the name in parentheses, which can hold spaces.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) < 13 {
		return 0, errors.New("the process's statistics are too short")
	}
	user, err1 := strconv.ParseFloat(fields[11], 64)
	system, err2 := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicksPerSecond, errors.Join(err1, err2)
}

// processResidentBytes returns the resident memory of another process.
func processResidentBytes(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read resident memory")
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, errors.New("the process's memory statistics are too short")
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()), err
}
