package entry

import (
	"context"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/capacity"
	"github.com/oriolefront/oriolefront/internal/config"
)

// declaredCapacity gives this process the whole declared capacity of each
// target. It does not share with other VMs and does not know cold targets; the
// capacity ledger replaces it where seats are in use.
type declaredCapacity struct {
	holder *config.Holder

	mu      sync.Mutex
	used    map[string]capacity.Room
	changed chan struct{}
}

func newDeclaredCapacity(holder *config.Holder) *declaredCapacity {
	return &declaredCapacity{holder: holder, used: map[string]capacity.Room{}, changed: make(chan struct{})}
}

// Room implements capacity.Capacity.
func (c *declaredCapacity) Room(target string) capacity.Room {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roomLocked(target)
}

func (c *declaredCapacity) roomLocked(target string) capacity.Room {
	t, used := c.holder.Current().Targets[target], c.used[target]
	return capacity.Room{Tokens: t.KVTokens - used.Tokens, Slots: t.MaxRunning - used.Slots}
}

// Reserve implements capacity.Capacity.
func (c *declaredCapacity) Reserve(target string, tokens int) (*capacity.Reservation, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	room := c.roomLocked(target)
	if room.Slots < 1 || room.Tokens < tokens {
		return nil, false
	}
	c.addLocked(target, tokens, 1)
	return capacity.NewReservation(target, tokens, func(string) {}, func() { c.release(target, tokens) }), true
}

func (c *declaredCapacity) addLocked(target string, tokens, slots int) {
	u := c.used[target]
	c.used[target] = capacity.Room{Tokens: u.Tokens + tokens, Slots: u.Slots + slots}
}

func (c *declaredCapacity) release(target string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addLocked(target, -tokens, -1)
	close(c.changed)
	c.changed = make(chan struct{})
}

// Borrow implements capacity.Capacity; there is nobody to borrow from.
func (c *declaredCapacity) Borrow(context.Context, string, capacity.Room, time.Time) error {
	return nil
}

// Observe implements capacity.Capacity.
func (c *declaredCapacity) Observe(string, capacity.Observation) {}

// Changed implements capacity.Capacity.
func (c *declaredCapacity) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
