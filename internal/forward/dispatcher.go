package forward

import (
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/overload"
)

// dispatchDelay batches changes of the load. Under the heaviest load measured there are some 1,200
// a second; a VM with a fifth of a core cannot evaluate each.
const (
	dispatchDelay    = 5 * time.Millisecond
	maxDispatchDelay = 20 * time.Millisecond
)

// passShare is the share of time that passes may take: the wait before a pass is longer than
// dispatchDelay where passes are slow.
const passShare = 0.04

// dispatcher wakes the calls of this VM that wait for a slot when there is one for them. One pass
// for all calls replaces attempts by each call, most of which would fail.
type dispatcher struct {
	mu        sync.Mutex
	calls     map[*orderedCall]struct{}
	scheduled bool
	// delay is the wait before the next pass, 0 before the first.
	delay time.Duration
}

func (d *dispatcher) add(o *orderedCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.calls == nil {
		d.calls = map[*orderedCall]struct{}{}
	}
	d.calls[o] = struct{}{}
}

func (d *dispatcher) remove(o *orderedCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.calls, o)
	o.engine = ""
}

// length returns the number of calls that wait for a slot.
func (d *dispatcher) length() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.calls)
}

// takeAssigned returns the engine that was assigned to a call since it was last asked; "" if none.
func (d *dispatcher) takeAssigned(o *orderedCall) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	engine := o.engine
	o.engine = ""
	return engine
}

// schedule runs a pass soon, unless one is due or no call waits.
func (d *dispatcher) schedule(run func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.scheduled || len(d.calls) == 0 {
		return
	}
	d.scheduled = true
	time.AfterFunc(max(d.delay, dispatchDelay), func() {
		d.mu.Lock()
		d.scheduled = false
		d.mu.Unlock()
		began := time.Now()
		run()
		d.mu.Lock()
		d.delay = min(time.Duration(float64(time.Since(began))/passShare), maxDispatchDelay)
		d.mu.Unlock()
	})
}

// services returns the services for which calls wait.
func (d *dispatcher) services() map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	services := map[string]bool{}
	for o := range d.calls {
		services[o.call.service] = true
	}
	return services
}

// assign wakes the calls of a service to which a plan assigns engines.
func (d *dispatcher) assign(service, vm string, plan *overload.Plan) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for o := range d.calls {
		if o.call.service != service {
			continue
		}
		engine := plan.Engine(vm, o.waiting.ID())
		if engine == "" {
			continue
		}
		o.engine = engine
		select {
		case o.wake <- struct{}{}:
		default:
		}
	}
}

// dispatch assigns free slots to the waiting calls of all VMs and wakes those of this VM that
// have one.
func (h *Handler) dispatch() {
	for name := range h.dispatcher.services() {
		view := h.Views.Get()
		service := view.Service(name)
		if service == nil || service.Engine == nil {
			continue
		}
		plan := overload.Assign(h.overloadSnapshot(view, service))
		h.dispatcher.assign(name, h.Overload.VM, &plan)
	}
}
