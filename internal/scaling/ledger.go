package scaling

import (
	"context"
	"log/slog"
	"time"

	"github.com/oriolefront/oriolefront/internal/capacity"
	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/seat"
)

// singleSeat is a VM that holds seat 0 and knows no other seat holder.
type singleSeat struct{}

// Seats implements seat.Reader.
func (singleSeat) Seats() []seat.Seat { return []seat.Seat{{Index: 0, Epoch: 3}} }

// HolderOf implements seat.Reader.
func (singleSeat) HolderOf(int) (string, uint64, bool) { return "", 0, false }

// AttemptPrefix implements seat.Reader.
func (singleSeat) AttemptPrefix() (string, error) { return "0.3", nil }

// newViewWithoutPeers returns a membership view without peers.
func newViewWithoutPeers() *membership.View {
	return membership.New(membership.Options{Self: membership.Instance{Address: "10.9.9.9:7946", StartNumber: 1}, Caller: fakeCaller{}})
}

// newLedger returns a ledger for a configuration, and its heartbeat attachment.
func newLedger(cfg *config.Config) (*capacity.Ledger, membership.Attachment) {
	holder := &config.Holder{}
	cfg.Version = 1
	holder.PublishIfNewer(cfg)
	return newLedgerOn(holder)
}

func newLedgerOn(holder *config.Holder) (*capacity.Ledger, membership.Attachment) {
	l := capacity.New(capacity.Options{
		Config: holder, Seats: singleSeat{}, Members: newViewWithoutPeers(), Caller: fakeCaller{}, Log: slog.New(slog.DiscardHandler),
	}, handlers{})
	return l, l.Attachment()
}

// warmDoublings is enough doublings of the cold limits to make every declared
// target warm. A doubling takes 4 requests that succeed at normal speed.
const warmDoublings = 6

// warmUpTargets makes all targets warm except the first n.
func warmUpTargets(l *capacity.Ledger, targets, n int) {
	for i := range targets {
		name := targetName(i)
		l.Observe(name, capacity.Observation{At: time.Now(), StartNumber: 1_700_000_000_000_000_000})
		for range 4 * warmDoublings {
			if i < n {
				break
			}
			l.Observe(name, capacity.Observation{
				At: time.Now(), StartNumber: 1_700_000_000_000_000_000, Finished: true, SpeedRatio: 1,
			})
		}
	}
}

// warmupStages measures the warm-up stages of targets in heartbeats, and the
// periodic work and the listing of targets in the ledger.
func warmupStages(context.Context) ([]Result, error) {
	size := &series{name: "stage_bytes", unit: "bytes of a heartbeat per target that is not warm, until the bound of 384"}
	idle := &series{name: "ledger_run_cpu", unit: "cores of the ledger's periodic work per declared target", planX: plannedTargets}
	list := &series{name: "followed_cpu", unit: "seconds to list the followed targets per declared target", planX: plannedTargets}
	ask := &series{name: "orders_cpu", unit: "seconds to ask once for each declared target whether it is followed, per target", planX: plannedTargets}
	cost := &series{name: "stage_cpu", unit: "seconds to make one heartbeat's stages per declared target", planX: plannedTargets}
	for _, cold := range []int{0, 2, 4, 6, 8} {
		l, attachment := newLedger(syntheticConfig(100, 0, virtualAddress))
		warmUpTargets(l, 100, cold)
		l.Run(timeoutContext(4 * time.Second)) // recent changes are sent with priority for 3 s
		size.add(float64(cold), float64(len(attachment.Produce())))
	}
	for _, targets := range []int{1_000, 3_000, 6_000, plannedTargets} {
		l, attachment := newLedger(syntheticConfig(targets, 0, virtualAddress))
		warmUpTargets(l, targets, 0)
		const settle = 4 * time.Second
		idle.add(float64(targets), cpuOf(func() { l.Run(timeoutContext(settle)) }).Seconds()/settle.Seconds())
		const lists = 20
		listing := lowestCPU(5, func() {
			for range lists {
				l.MonitoredTargets()
			}
		})
		list.add(float64(targets), listing.Seconds()/lists)
		asking := lowestCPU(5, func() {
			for range lists {
				for i := range targets {
					l.MonitoredTarget(targetName(i))
				}
			}
		})
		ask.add(float64(targets), asking.Seconds()/lists)
		const rounds = 200
		used := lowestCPU(5, func() {
			for range rounds {
				attachment.Produce()
			}
		})
		cost.add(float64(targets), used.Seconds()/rounds)
	}
	return resultsOf(size, cost, idle, list, ask), nil
}

func timeoutContext(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	context.AfterFunc(ctx, cancel)
	return ctx
}
