// Package admission decides whether a request is taken, and when and where it
// may start.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/engine"
)

// Work describes a request that needs a target.
type Work struct {
	RequestID    string
	Account      string
	Service      string
	Model        string
	Class        config.Class
	PromptTokens int
	OutputTokens int
	// Deadline is when the request has to be finished.
	Deadline time.Time
	// Prefix holds the hashes of the prompt's leading blocks.
	Prefix []uint64
	// Exclude names targets that failed this request before.
	Exclude []string
}

// Report says how an attempt on a target ended.
type Report struct {
	// Answered is true when the target sent at least one event.
	Answered bool
	// Failed is true when the target did not finish what it was given.
	Failed bool
	// StartNumber is the target's start number, 0 if it gave none.
	StartNumber uint64
	// FirstEvent is the time from the send to the first event.
	FirstEvent time.Duration
	// Events is the number of events received, and Took the time for them.
	Events int
	Took   time.Duration
}

// Grant is the right to send one attempt to a target.
type Grant struct {
	Target   string
	Declared config.Target
	Client   engine.Client
	Reason   string
	// Done must be called once, when the target holds nothing of the attempt
	// any more.
	Done func(Report)
}

// Controller admits work.
type Controller struct {
	holder  *config.Holder
	clients func(address string) engine.Client

	mu       sync.Mutex
	inFlight map[string]int
}

// NewController returns a controller for the configuration in holder.
func NewController(holder *config.Holder, clients func(address string) engine.Client) *Controller {
	return &Controller{holder: holder, clients: clients, inFlight: map[string]int{}}
}

// Admit waits until w may start on a target, and refuses it when it cannot
// start in time.
func (c *Controller) Admit(ctx context.Context, w *Work) (*Grant, error) {
	cfg := c.holder.Current()
	c.mu.Lock()
	defer c.mu.Unlock()
	best := ""
	for name, t := range cfg.Targets {
		if t.Service != w.Service || excluded(w, name) || t.Leaving || cfg.Zones[t.Zone].OutOfService {
			continue
		}
		if best == "" || c.inFlight[name] < c.inFlight[best] {
			best = name
		}
	}
	if best == "" {
		return nil, apierror.New(apierror.KindOverloaded, apierror.NotRun,
			"no target can take the request", "try again later").WithRetryAfter(time.Second)
	}
	c.inFlight[best]++
	return &Grant{
		Target:   best,
		Declared: cfg.Targets[best],
		Client:   c.clients(cfg.Targets[best].Address),
		Reason:   "least in flight",
		Done:     func(Report) { c.release(best) },
	}, nil
}

func (c *Controller) release(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[target]--
}

func excluded(w *Work, target string) bool {
	for _, name := range w.Exclude {
		if name == target {
			return true
		}
	}
	return false
}
