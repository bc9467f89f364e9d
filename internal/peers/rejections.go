package peers

import (
	"log/slog"
	"sync"
	"time"
)

// rejectionInterval is the shortest time between two log lines about rejected datagrams.
const rejectionInterval = time.Second

// rejections logs rejected datagrams and addresses, one line in rejectionInterval at most: anything may send
// datagrams to a VM, at any rate.
type rejections struct {
	log *slog.Logger

	mu sync.Mutex
	// loggedAt is when the last line was written, omitted the number of rejections since.
	loggedAt time.Time
	omitted  int
}

func (r *rejections) record(address string, reason error) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.loggedAt) < rejectionInterval {
		r.omitted++
		return
	}
	r.log.Warn("heartbeat ignored", "address", address[:min(len(address), maxName)], "reason", reason, "omitted", r.omitted)
	r.loggedAt, r.omitted = now, 0
}
