package callermemory

import (
	"flamingospar.org/base/meter"
	"flamingospar.org/core/heldbytes"
	"flamingospar.org/platform/site"
)

// The limits of the smallest VM, which apply where the settings state none.
const (
	smallestMemoryMB     = 144
	smallestMaxOpenFiles = 3075
)

// Parts of the VM's memory and descriptors that are held for callers.
const (
	// callerMemoryPart leaves room for the process itself, for the kernel and for garbage that
	// was not collected yet.
	callerMemoryPart = 4
	// smallPart is the part of the callers' memory that is left to small requests.
	smallPart = 4
	// holdersPart is the part of the callers' memory that connections may take without requests.
	holdersPart = 2
	// controlMemoryPart is the part of the VM's memory for other processes. On the smallest VM it
	// has places for two connections each of 68 processes, and for messages.
	controlMemoryPart = 8
	// fileReserve is the number of descriptors that are reserved for files.
	fileReserve = 200
	// callerConnShare and controlConnShare are shares of the other descriptors. The rest is for
	// the process's own calls.
	callerConnShare  = 0.6
	controlConnShare = 0.1
	// minConns is the least number of connections of callers or other processes.
	minConns = 64
	// readyConns and metricsConns are the numbers of connections of the listeners that few
	// systems use.
	readyConns   = 32
	metricsConns = 16
)

// What is held for a connection.
const (
	// connBytes is the cost of a connection: its goroutines, the buffers of the server and the
	// socket.
	connBytes = 48 << 10
	// smallBytes covers the connection, the head and a body of 72 KB of an ordinary request while
	// its buffer grows.
	smallBytes = 320 << 10
	// otherRequestBytes is held for a request to the readiness path or for metrics.
	otherRequestBytes = 128 << 10
)

// Listener names a listener of the process.
type Listener string

// The listeners of the process.
const (
	Callers Listener = "callers"
	Ready   Listener = "ready"
	Control Listener = "control"
	Metrics Listener = "metrics"
)

// ForListeners returns the budgets of all listeners of a process.
func ForListeners(limits site.Limits, registry *meter.Registry) map[Listener]*Memory {
	return map[Listener]*Memory{
		Callers: New(Callers, forCallers(limits), registry),
		Control: New(Control, forControl(limits), registry),
		Ready:   New(Ready, forOthers(readyConns), registry),
		Metrics: New(Metrics, forOthers(metricsConns), registry),
	}
}

// forCallers returns the budget of the listener for callers.
func forCallers(limits site.Limits) heldbytes.Settings {
	size := memoryBytes(limits) / callerMemoryPart
	if limits.CallerMemoryMB > 0 {
		size = int64(limits.CallerMemoryMB) << 20
	}
	conns := freeDescriptors(limits, callerConnShare)
	if limits.CallerConnections > 0 {
		conns = limits.CallerConnections
	}
	return heldbytes.Settings{
		Bytes: size, SmallReserve: size / smallPart, SmallBytes: smallBytes, HolderBytes: connBytes,
		MaxHolders: min(conns, int(size/holdersPart/connBytes)),
	}
}

// forControl returns the budget of the listener for other processes.
func forControl(limits site.Limits) heldbytes.Settings {
	size := memoryBytes(limits) / controlMemoryPart
	return heldbytes.Settings{
		Bytes: size, SmallReserve: size / smallPart, SmallBytes: smallBytes, HolderBytes: connBytes,
		MaxHolders: max(minConns, min(freeDescriptors(limits, controlConnShare), int(size/holdersPart/connBytes))),
	}
}

// forOthers returns the budget of a listener that few systems use.
func forOthers(conns int) heldbytes.Settings {
	return heldbytes.Settings{Bytes: int64(conns) * (connBytes + otherRequestBytes), SmallBytes: smallBytes, HolderBytes: connBytes, MaxHolders: conns}
}

func memoryBytes(limits site.Limits) int64 {
	if limits.MemoryMB <= 0 {
		return smallestMemoryMB << 20
	}
	return int64(limits.MemoryMB) << 20
}

// freeDescriptors returns a share of the descriptors that are not reserved for files.
func freeDescriptors(limits site.Limits, share float64) int {
	files := limits.MaxOpenFiles
	if files <= 0 {
		files = smallestMaxOpenFiles
	}
	return max(minConns, int(share*float64(files-fileReserve)))
}
