package kcledger

import (
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"syscall"
)

const (
	// softMemoryShare is the share of the memory at which the garbage collector
	// runs more often. The rest is for the program's file pages, for what is
	// allocated while the collector runs, and for what the runtime does not count.
	softMemoryShare = 0.6
	// ledgerShare is the share of the memory that callers may hold. It is half of
	// the heap below the soft limit, because the old and the new copy of a buffer
	// exist at the same time until the next collection.
	ledgerShare = 0.3
	// connShare is the part of the ledger that connections may take.
	connShare = 2
	// minLedgerBytes is room for a few small requests on any machine.
	minLedgerBytes = 8 << 20
	// reservedDescriptors are for listeners, the store and peers.
	reservedDescriptors = 64
	// descriptorsPerConn are those of a caller: its own, one for an upstream, and
	// one for an idle connection to another upstream.
	descriptorsPerConn = 3
	// minConns lets a process with very few descriptors serve.
	minConns = 8
)

// Limits are the limits of a process.
type Limits struct {
	// MemoryBytes is the memory of the process.
	MemoryBytes int64
	// LedgerBytes is what callers may hold.
	LedgerBytes int64
	// MaxConns is the number of connections of callers.
	MaxConns int
}

// NewLimits derives the limits from the memory and the descriptors of a process
// and the descriptors that are reserved for files. Memory or descriptors of 0 stand
// for those that the process has been given.
func NewLimits(memoryBytes int64, descriptors, files int) Limits {
	if memoryBytes <= 0 {
		memoryBytes = givenMemory()
	}
	own := processDescriptors()
	if descriptors <= 0 || own > 0 && own < descriptors {
		descriptors = own
	}
	size := max(int64(ledgerShare*float64(memoryBytes)), minLedgerBytes)
	conns := int(min(size/connShare/connBytes, math.MaxInt32))
	if descriptors > 0 {
		conns = min(conns, (descriptors-files-reservedDescriptors)/descriptorsPerConn)
	}
	return Limits{MemoryBytes: memoryBytes, LedgerBytes: size, MaxConns: max(conns, minConns)}
}

// bodyCopies is the memory of a body with the copies that are made of it when it is
// a chat request, in sizes of the body.
const bodyCopies = 5

// LeastMemory returns the memory of a process that can serve a body of a size.
func LeastMemory(bodyBytes int64) int64 {
	return int64(bodyCopies * float64(bodyBytes) / ledgerShare * smallShare / (smallShare - 1))
}

// Apply sets the soft limit of the Go runtime.
func (l Limits) Apply() {
	debug.SetMemoryLimit(int64(softMemoryShare * float64(l.MemoryBytes)))
}

// Files with the limits of the process.
const (
	cgroupLimitPath = "/sys/fs/cgroup/memory.max"
	memInfoPath     = "/proc/meminfo"
	// defaultMemoryBytes is used if no limit can be read.
	defaultMemoryBytes = 1 << 30
)

// givenMemory is read once, because Apply changes one of its sources.
var givenMemory = sync.OnceValue(processMemory)

// processMemory returns the memory that the process has been given: the soft limit
// of the Go runtime from the environment, the limit of its control group, or the
// memory of the machine.
func processMemory() int64 {
	limit := debug.SetMemoryLimit(-1)
	if text, err := os.ReadFile(cgroupLimitPath); err == nil {
		if n, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil && n > 0 {
			limit = min(limit, n)
		}
	}
	if text, err := os.ReadFile(memInfoPath); err == nil {
		line, _, _ := strings.Cut(string(text), "\n")
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[0] == "MemTotal:" {
			if n, err := strconv.ParseInt(fields[1], 10, 64); err == nil && n > 0 {
				limit = min(limit, n<<10)
			}
		}
	}
	if limit == math.MaxInt64 {
		return defaultMemoryBytes
	}
	return limit
}

// processDescriptors returns the number of descriptors that the process may open,
// or 0 if it is not known.
func processDescriptors() int {
	var r syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) != nil {
		return 0
	}
	return int(min(r.Cur, math.MaxInt32))
}
