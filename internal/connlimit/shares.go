package connlimit

import (
	"fmt"
	"syscall"
)

// Shares are the parts of the descriptors of a process that its listeners may use. The rest is
// reserved for connections that the process opens: to other VMs, the store and targets.
type Shares struct {
	// Callers is the number of connections of callers, Requests that of their requests in
	// service, each of which may need a connection to a target.
	Callers, Requests int
	// IdleTargets is the number of connections to targets that are kept for further requests.
	IdleTargets int
	// Service is that of each listener for probes, metrics or operators.
	Service int
	// Links is that of the links from other VMs.
	Links int
}

const (
	// minDescriptors is the least descriptor limit with which a process starts.
	minDescriptors = 128
	// maxServiceConnections is more than a load balancer, a collector of metrics or the operators
	// need.
	maxServiceConnections = 256
	// fewestService are the connections of a service listener with the least descriptor limit.
	fewestService = 8
)

// Divide divides a number of descriptors. With 4,100 of them, the least of the platform's VMs, callers
// get 1,793 and links 768, of which the planned fleet of 590 VMs needs as many, and 590 more to other
// VMs. 768 requests in service are 16 s of the heaviest load of the platform's days on one VM (46
// requests per second) without a single answer.
func Divide(descriptors int) Shares {
	return Shares{
		Callers:     descriptors * 7 / 16,
		Requests:    descriptors * 3 / 16,
		IdleTargets: descriptors / 16,
		Service:     min(max(descriptors/64, fewestService), maxServiceConnections),
		Links:       descriptors * 3 / 16,
	}
}

// MaxCallers returns the largest value of Callers that leaves the other shares and the reserve as
// they are.
func (s Shares) MaxCallers(descriptors int) int {
	return descriptors - s.Requests - s.IdleTargets - s.Links - 2*s.Service
}

// Descriptors returns the number of descriptors that this process may open.
func Descriptors() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("descriptor limit: %w", err)
	}
	if limit.Cur < minDescriptors {
		return 0, fmt.Errorf("descriptor limit: found %d, allowed: %d or more", limit.Cur, minDescriptors)
	}
	return int(min(limit.Cur, 1<<20)), nil
}

// ServiceHead bounds the heads of requests on listeners that aren't for callers.
const ServiceHead = 16 << 10

// MaxHeadFields bounds the fields of a head. A head of 16,384 bytes, the largest that is promised to
// callers, has at most 5,461 fields of three bytes.
const MaxHeadFields = 8192
