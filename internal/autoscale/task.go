package autoscale

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolefront/oriolefront/internal/duty"
	"github.com/oriolefront/oriolefront/internal/inflight"
	"github.com/oriolefront/oriolefront/internal/topology"
	"github.com/oriolefront/oriolefront/internal/wait"
)

// TaskName is the name of the duty in the settings.
const TaskName = "autoscale"

const (
	// sampleInterval is the time between two samples of the load.
	sampleInterval = 250 * time.Millisecond
	// retryDelay is the time until failed orders are sent again; refusedDelay is that
	// until an order that the platform refused definitely is.
	retryDelay   = 500 * time.Millisecond
	refusedDelay = 10 * time.Second
	// zoneMemory is how long a zone without servers is remembered. Its servers may be
	// replaced in the meantime.
	zoneMemory = time.Minute
)

// Orderer sends orders of numbers of servers to the platform.
type Orderer interface {
	// SetServers orders the number of servers of a service in a zone.
	SetServers(ctx context.Context, g duty.Grant, service, zone string, desired int) error
}

// Options are the dependencies of a Task.
type Options struct {
	Views    *topology.Holder
	Registry *inflight.Registry
	Orders   Orderer
	// Holding reports whether this VM holds the duty. Without the duty nothing is sampled.
	Holding func() bool
	// LoadKnown reports whether enough other VMs are heard of for the load to be known.
	LoadKnown func() bool
	Log       *slog.Logger
	Metrics   *metrics.Set
}

// Task samples the load and orders servers while this VM holds the duty. It implements
// duty.Task.
type Task struct {
	Options

	mu       sync.Mutex
	token    uint64 // of the last grant; 0 before the first
	services map[string]*serviceState
	// notBefore is when orders may be sent again after a failure.
	notBefore time.Time
}

// serviceState is what the holder knows of a service.
type serviceState struct {
	samples []Sample
	zones   map[string]*zoneState
	// pending are the orders to be sent.
	pending []Change
}

// zoneState is what the holder knows of a zone of a service.
type zoneState struct {
	order  Order
	seenAt time.Time // when it last had a server
	usual  int       // the highest number of serving servers seen
	// refusedUntil is when an order may be sent again after a definite refusal.
	refusedUntil time.Time
}

// NewTask returns a task. Watch must run as well.
func NewTask(o Options) *Task {
	return &Task{Options: o, services: map[string]*serviceState{}}
}

// Name implements duty.Task.
func (t *Task) Name() string { return TaskName }

// Watch samples the load until ctx is done.
func (t *Task) Watch(ctx context.Context) {
	for wait.For(ctx, sampleInterval) {
		t.tick(time.Now())
	}
}

// tick takes a sample of the load of each service and decides on it.
func (t *Task) tick(now time.Time) {
	if !t.Holding() {
		t.reset(0)
		return
	}
	view := t.Views.Get()
	if view.Config == nil {
		return
	}
	loads, known := t.Registry.Loads(), t.LoadKnown()
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range view.Config.Services {
		if service := &view.Config.Services[i]; service.Scaling != nil {
			sample := Measure(service, view.Targets(), loads, now)
			sample.Complete = known
			t.decide(service, view, sample)
		}
	}
}

// reset forgets what belongs to the time before this VM held the duty.
func (t *Task) reset(token uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.token, t.notBefore = token, time.Time{}
	for service := range t.services {
		t.needGauge(service).Set(0)
	}
	clear(t.services)
}

func (t *Task) needGauge(service string) *metrics.Gauge {
	return t.Metrics.GetOrCreateGauge(fmt.Sprintf(`oriole_scale_need_servers{service=%q}`, service), nil)
}

// decide adds a sample to the history of a service and decides. The lock must be held.
func (t *Task) decide(service *topology.Service, view *topology.View, sample Sample) {
	state := t.state(service.Name)
	state.add(sample)
	in := Input{Now: sample.At, Limits: *service.Scaling, ColdTime: coldTime(service, view, sample.At), Zones: state.observe(service.Name, view, sample.At), Samples: state.samples}
	d := Decide(in)
	t.needGauge(service.Name).Set(d.Need)
	state.pending = state.pending[:0]
	for _, c := range d.Changes {
		if !sample.At.Before(state.zones[c.Zone].refusedUntil) {
			state.pending = append(state.pending, c)
		}
	}
}

func (t *Task) state(service string) *serviceState {
	state := t.services[service]
	if state == nil {
		state = &serviceState{zones: map[string]*zoneState{}}
		t.services[service] = state
	}
	return state
}

// add adds a sample and removes those that are too old.
func (s *serviceState) add(sample Sample) {
	for len(s.samples) > 0 && sample.At.Sub(s.samples[0].At) > historyTime {
		s.samples = s.samples[1:]
	}
	s.samples = append(s.samples, sample)
}

// observe returns the zones of a service, and updates the state of their orders.
func (s *serviceState) observe(service string, view *topology.View, now time.Time) []Zone {
	serving := map[string]int{}
	for _, target := range view.Targets() {
		if target.Service != service {
			continue
		}
		if s.zones[target.Zone] == nil {
			s.zones[target.Zone] = &zoneState{}
		}
		s.zones[target.Zone].seenAt = now
		if !target.Draining {
			serving[target.Zone]++
		}
	}
	var zones []Zone
	for name, z := range s.zones {
		if now.Sub(z.seenAt) > zoneMemory {
			delete(s.zones, name)
			continue
		}
		z.order, z.usual = z.order.Observe(serving[name]), max(z.usual, serving[name])
		zones = append(zones, Zone{Name: name, OutOfService: view.ZonesOutOfService[name], Serving: serving[name], Usual: z.usual, Order: z.order})
	}
	slices.SortFunc(zones, func(a, b Zone) int { return strings.Compare(a.Name, b.Name) })
	return zones
}

// defaultColdTime is the time for which new servers are cold, as long as none has been seen.
const defaultColdTime = 3 * time.Second

// coldTime returns the time for which new servers can take only a limited load.
func coldTime(service *topology.Service, view *topology.View, now time.Time) time.Duration {
	if service.ColdRate <= 0 {
		return 0
	}
	cold := defaultColdTime
	for _, target := range view.Targets() {
		if target.Service == service.Name {
			cold = max(cold, target.ColdUntil.Sub(now))
		}
	}
	return cold
}

// Next implements duty.Task.
func (t *Task) Next(now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, state := range t.services {
		if len(state.pending) > 0 {
			if now.Before(t.notBefore) {
				return t.notBefore
			}
			return now
		}
	}
	return time.Time{}
}

// Run implements duty.Task: it sends the pending orders. What another holder may have ordered
// since the last grant is unknown, so that after it the history starts anew.
func (t *Task) Run(ctx context.Context, g duty.Grant) error {
	if previous := t.swapToken(g.Token); previous != 0 && previous != g.Token {
		t.reset(g.Token)
		return nil
	}
	for service, changes := range t.take() {
		for _, c := range changes {
			if err := t.send(ctx, g, service, c); err != nil {
				return err
			}
		}
	}
	return nil
}

func (t *Task) swapToken(token uint64) (previous uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous, t.token = t.token, token
	return previous
}

// take returns the pending orders by service.
func (t *Task) take() map[string][]Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := map[string][]Change{}
	for service, state := range t.services {
		if len(state.pending) > 0 {
			changes[service] = append([]Change(nil), state.pending...)
			state.pending = state.pending[:0]
		}
	}
	return changes
}

// send sends an order. After an error that concerns all orders it returns that error.
func (t *Task) send(ctx context.Context, g duty.Grant, service string, c Change) error {
	err := t.Orders.SetServers(ctx, g, service, c.Zone, c.Order.Desired)
	var refused *duty.RefusedError
	var unknown *duty.UnknownOutcomeError
	isRefused := errors.As(err, &refused)
	mayHaveEffect := err == nil || errors.As(err, &unknown)
	t.record(service, c, mayHaveEffect, err == nil, isRefused)
	t.logOrder(service, c, err)
	if isRefused {
		return nil
	}
	return err
}

// record updates the state of a zone after an order. An order that had no effect is forgotten.
func (t *Task) record(service string, c Change, mayHaveEffect, confirmed, refused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.services[service]
	if state == nil || state.zones[c.Zone] == nil {
		return // the duty was lost in the meantime
	}
	zone, now := state.zones[c.Zone], time.Now()
	switch {
	case mayHaveEffect:
		zone.order = c.Order
		zone.order.Confirmed = confirmed
	case refused:
		zone.refusedUntil = now.Add(refusedDelay)
	}
	if !confirmed && !refused {
		t.notBefore = now.Add(retryDelay)
	}
}

func (t *Task) logOrder(service string, c Change, err error) {
	result := "accepted"
	if err != nil {
		result = "failed"
	}
	t.Metrics.GetOrCreateCounter(fmt.Sprintf(`oriole_scale_orders_total{result=%q}`, result)).Inc()
	args := []any{"service", service, "zone", c.Zone, "desired", c.Order.Desired, "from", c.From, "reason", string(c.Reason), "missed", c.Order.Missed, "need", fmt.Sprintf("%.1f", c.Need)}
	if err != nil {
		t.Log.Warn("servers not ordered", append(args, "error", err)...)
		return
	}
	t.Log.Info("servers ordered", args...)
}
