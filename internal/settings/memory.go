package settings

import (
	"fmt"
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
)

const (
	// clientShare of the memory is the default for connections and request heads, and for
	// bodies.
	clientShare = 4
	// minClientBytes is the least memory for connections and request heads.
	minClientBytes = 8 << 20
	minConnections = 16
	// fallbackMemoryMB applies where the memory of the machine can't be told.
	fallbackMemoryMB = 1024
)

// SetMemoryDefaults sets what depends on the memory of the process and isn't set.
func (l *Limits) SetMemoryDefaults() {
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultMemoryMB()
	}
	share := int64(l.MemoryMB) << 20 / clientShare
	if l.ClientBytes == 0 {
		l.ClientBytes = max(share, minClientBytes)
	}
	if l.HeldBytes == 0 {
		l.HeldBytes = min(max(share, l.BodyBytes), maxHeldBytes)
	}
}

// defaultMemoryMB returns the memory limit of the Go runtime (GOMEMLIMIT), of the control group or
// of the machine, whichever is known first, in MB.
func defaultMemoryMB() int {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return int(max(limit>>20, 1))
	}
	least := int64(math.MaxInt64)
	if text, err := os.ReadFile("/sys/fs/cgroup/memory.max"); err == nil {
		if limit, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil {
			least = limit
		}
	}
	if total, err := machineMemory(); err == nil {
		least = min(least, total)
	}
	if least == math.MaxInt64 {
		return fallbackMemoryMB
	}
	return int(max(least>>20, 1))
}

// machineMemory returns the memory of the machine in bytes.
func machineMemory() (int64, error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	var kb int64
	_, err = fmt.Sscanf(string(text), "MemTotal: %d kB", &kb)
	return kb << 10, err
}
