package toucanledger

import "syscall"

const (
	// connMemoryShare is the share of the memory limit that the connections of callers may
	// take, beside the headers and bodies that are counted.
	connMemoryShare = 0.5
	// kernelMemoryShare is the share of the memory limit that the kernel buffers of all callers
	// may take. Each connection has a 1/1024 of the memory limit in each direction, within
	// bounds.
	kernelMemoryShare = 0.125
	minKernelBuffer   = 32 << 10
	maxKernelBuffer   = 256 << 10
	// peerConnMemory is the memory of a connection of another node, of which all may take
	// peerConnsMemoryShare of the memory limit.
	peerConnMemory       = 128 << 10
	peerConnsMemoryShare = 0.25
	// Parts of the descriptors that are kept for files, for other nodes and for the backend
	// server. Callers get what is left beside these and the control listeners.
	fileDescriptorsPart    = 16
	peerDescriptorsPart    = 8
	backendDescriptorsPart = 8
	// maxControlConns bounds the connections to each of the listeners for heartbeats,
	// readiness checks and metrics, which few others use. A process with few descriptors has
	// only a controlDescriptorsPart of them for each.
	maxControlConns        = 64
	controlDescriptorsPart = 24
	controlListeners       = 3
	// maxDescriptors is the number of descriptors above which more are not counted on.
	maxDescriptors = 1 << 20
)

// Limits are the limits on what callers and other nodes can make a process hold.
type Limits struct {
	CallerConns  int
	ControlConns int // of each listener for heartbeats, readiness checks, metrics and administration
	PeerConns    int
	KernelBytes  int64 // in the kernel buffers of all callers
	BufferBytes  int   // in each kernel buffer of a connection
}

// NewLimits returns the limits of a process, given its memory limit in MB and the number of
// descriptors that it may use; 0 means what the system allows.
func NewLimits(memoryMB, descriptors int) Limits {
	descriptors = allowedDescriptors(descriptors)
	memory := float64(memoryMB << 20)
	control := min(maxControlConns, max(1, descriptors/controlDescriptorsPart))
	peers := max(1, descriptors/peerDescriptorsPart)
	callers := descriptors - descriptors/fileDescriptorsPart - peers - descriptors/backendDescriptorsPart - controlListeners*control
	return Limits{
		CallerConns:  min(callers, int(connMemoryShare*memory/connBytes)),
		ControlConns: control,
		PeerConns:    min(peers, int(peerConnsMemoryShare*memory/peerConnMemory)),
		KernelBytes:  int64(kernelMemoryShare * memory),
		BufferBytes:  min(max(int(memory/1024), minKernelBuffer), maxKernelBuffer),
	}
}

// ControlBufferBytes is the size of each kernel buffer of a connection to a listener for control.
const ControlBufferBytes = minKernelBuffer

// allowedDescriptors returns the number of descriptors that the process may use, given what its
// settings say, but no more than the system allows.
func allowedDescriptors(set int) int {
	allowed := maxDescriptors
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err == nil && r.Cur < maxDescriptors {
		allowed = int(r.Cur)
	}
	if set > 0 {
		return min(set, allowed)
	}
	return allowed
}
