package process

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/oriolefront/oriolefront/internal/autoscale"
	"github.com/oriolefront/oriolefront/internal/duty"
	"github.com/oriolefront/oriolefront/internal/freshness"
	"github.com/oriolefront/oriolefront/internal/peers"
	"github.com/oriolefront/oriolefront/internal/usage"
	"github.com/oriolefront/oriolefront/internal/vmsettings"
)

// dutyMarginShare is the part of the lease that a holder leaves unused at its end, and that
// another VM waits beyond it. It covers clocks that drift apart and a process that is not
// scheduled between the check of its grant and the call.
const dutyMarginShare = 10

// countsTimeout is the time without a heartbeat for which a report still waits for the counts of a
// VM, up to the usual bound: cuts and suspensions mostly last a few seconds.
const countsTimeout = 12 * time.Second

// Control makes the calls to the platform that are the duty of one VM at a time.
type Control interface {
	usage.Control
	autoscale.Orderer
}

// duties are the parts that make the calls of one VM for the fleet.
type duties struct {
	p       *Process
	lease   *duty.Lease
	manager *duty.Manager
	// reporter is nil if usage is not reported.
	reporter *usage.Reporter
	// scaler is nil if servers are not ordered.
	scaler *autoscale.Task
}

var _ peers.Duties = (*duties)(nil)

// newDuties builds the duties of a deployment that has some.
func newDuties(p *Process, s *vmsettings.Duties, control Control) *duties {
	d := &duties{p: p}
	d.lease = &duty.Lease{
		Store: p.store, Table: p.tables.Duties, Holder: p.vm.Name, Instance: strconv.FormatUint(rand.Uint64(), 36),
		Duration: s.Lease.Std(), Margin: s.Lease.Std() / dutyMarginShare,
		Uptime: freshness.Uptime, Started: freshness.Uptime(),
	}
	d.manager = &duty.Manager{Lease: d.lease, Log: p.log, Self: d.self, Others: d.others, Changed: d.changed, Metrics: p.metrics}
	if s.Runs(vmsettings.UsageReport) {
		d.reporter = &usage.Reporter{
			Control: control, Log: p.log, Metrics: p.metrics, Window: s.UsageWindow.Std(), Deadline: s.UsageDeadline.Std(),
			Clock: &usage.Clock{Store: p.targetsSyncer.Clock, Wall: time.Now, Uptime: freshness.Uptime},
			State: func() duty.TaskState { return d.lease.State(usage.Name) }, Expected: d.expectedInstances, Changed: d.changed,
		}
		d.reporter.Init()
		d.manager.Tasks = append(d.manager.Tasks, d.reporter)
	}
	if s.Runs(vmsettings.Autoscale) {
		d.scaler = newScaler(p, d.manager.Claims, control)
		d.manager.Tasks = append(d.manager.Tasks, d.scaler)
	}
	d.manager.Init()
	return d
}

// changed tells the other VMs at once. It may be called before the mesh is built.
func (d *duties) changed() {
	if d.p.mesh != nil {
		d.p.mesh.ScheduleStatusHeartbeat()
	}
}

// self returns this VM as a possible holder.
func (d *duties) self() duty.VM {
	return duty.VM{Name: d.p.vm.Name, ReachesStore: d.p.mesh.ReachesStore(), StoreFails: d.p.storeUnreachable(), Uptime: d.p.mesh.Uptime()}
}

// others returns the other live VMs as possible holders. Those that run no duties are none.
func (d *duties) others() []duty.VM {
	var vms []duty.VM
	for _, v := range d.p.mesh.LiveVMs() {
		if v.Duty != nil {
			vms = append(vms, duty.VM{Name: v.Name, ReachesStore: v.ReachesStore, Claims: v.Duty.Claims, Abstains: v.Duty.Abstains, Tries: v.Duty.Tries, Uptime: v.Uptime})
		}
	}
	return vms
}

// expectedInstances returns the VMs whose counts a report waits for.
func (d *duties) expectedInstances() []uint64 { return d.p.mesh.RecentInstances(countsTimeout) }

// Report implements peers.Duties.
func (d *duties) Report() (*duty.Status, *usage.Report) {
	status := &duty.Status{Claims: d.manager.Claims(), Abstains: d.manager.Abstains(), Tries: d.manager.Tries(), Token: d.lease.HighestToken()}
	if d.reporter == nil {
		return status, nil
	}
	return status, d.reporter.Report()
}

// Merge implements peers.Duties.
func (d *duties) Merge(instance uint64, s *duty.Status, u *usage.Report) {
	if s != nil {
		d.lease.HeardToken(s.Token)
	}
	if u != nil && d.reporter != nil {
		d.reporter.Merge(instance, u)
	}
}

// tick is called several times per second.
func (d *duties) tick() {
	if d.reporter != nil {
		d.reporter.Tick()
	}
}
