package scaling

import (
	"runtime"
	"syscall"
	"time"
)

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuOf returns the processor time that the process uses during f.
func cpuOf(f func()) time.Duration {
	before := cpuTime()
	f()
	return cpuTime() - before
}

// lowestCPU runs f several times and returns the lowest processor time, because
// other load on the machine makes a run slower, never faster.
func lowestCPU(runs int, f func()) time.Duration {
	lowest := cpuOf(f)
	for range runs - 1 {
		lowest = min(lowest, cpuOf(f))
	}
	return lowest
}

// heapBytes returns the size of the live heap and of the stacks in use. The
// second collection frees what finalizers and pools kept during the first.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// allocated returns the number of bytes that f allocates.
func allocated(f func()) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc - before.TotalAlloc)
}
