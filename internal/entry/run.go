package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/store"
	"github.com/oriolefront/oriolefront/internal/tcp"
)

// claimCleanInterval is the time between two batches of expired claims.
const claimCleanInterval = time.Minute

// Run serves until ctx ends and then shuts down gracefully.
func (p *Process) Run(ctx context.Context) error {
	if _, err := p.server.Listen(p.settings.Listen.Peers); err != nil {
		return merry.Prepend(err, "listen.peers")
	}
	defer p.server.Close()
	defer p.links.Close()
	background, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	for _, run := range p.backgroundWork() {
		running.Go(func() { run(background) })
	}
	failed := make(chan error, 2)
	if err := serve(p.operators, p.settings.Listen.Operators, failed); err != nil {
		return merry.Prepend(err, "listen.operators")
	}
	defer p.operators.Close()
	if err := serve(p.callers, p.settings.Listen.Callers, failed); err != nil {
		return merry.Prepend(err, "listen.callers")
	}
	defer p.callers.Close()
	p.log.Info("serving", "callers", p.settings.Listen.Callers, "operators", p.settings.Listen.Operators,
		"peers", p.settings.Listen.Peers, "zone", p.settings.VM.Zone, "instance", p.instanceName())
	select {
	case err := <-failed:
		return merry.Prepend(err, "serve")
	case <-p.abort:
		return errAborted
	case <-ctx.Done():
	}
	return p.shutdown()
}

var errAborted = errors.New("process was aborted")

// backgroundWork lists the loops that run as long as the process.
func (p *Process) backgroundWork() []func(context.Context) {
	return []func(context.Context){
		p.members.Run,
		p.syncer.Run,
		p.seats.Run,
		p.ledger.Run,
		p.sweeper.Run,
		p.collector.Run,
		p.admission.Run,
		p.claims.Run,
		p.cleanClaims,
		p.followSeats,
		func(ctx context.Context) { p.orders.Run(ctx, p.config, p.clients.get, p.ordersTarget) },
	}
}

func serve(server *http.Server, address string, failed chan<- error) error {
	listener, err := tcp.Listen(context.Background(), address)
	if err != nil {
		return err
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			failed <- err
		}
	}()
	return nil
}

// Abort ends the process at once and without any message to others, as a
// crash does. It is for tests and experiments.
func (p *Process) Abort() {
	select {
	case <-p.abort:
		return
	default:
		close(p.abort)
	}
	p.server.Close()
	p.links.Close()
	p.callers.Close()
	p.operators.Close()
	p.clients.transport.CloseIdleConnections()
}

// shutdown stops readiness first, leaves the balancer time to notice, waits
// for all requests and cancellations, and resigns the seats last, because
// requests in flight use their shares.
func (p *Process) shutdown() error {
	p.log.Info("graceful shutdown begins", "drain_delay", p.settings.Limits.DrainDelay.Std())
	p.members.SetLeaving(true)
	p.gateway.StartDrain()
	time.Sleep(p.settings.Limits.DrainDelay.Std())
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.Limits.DrainTimeout.Std())
	defer cancel()
	if err := p.callers.Shutdown(ctx); err != nil {
		return merry.Prepend(err, "graceful shutdown was not complete in time")
	}
	if err := p.gateway.Wait(ctx); err != nil {
		return merry.Prepend(err, "cancellations were not confirmed in time")
	}
	if err := p.claims.Flush(ctx); err != nil {
		return merry.Prepend(err, "results of claims were not written in time")
	}
	if err := p.seats.Resign(ctx); err != nil {
		p.log.Warn("seats were not resigned; others take them over", "error", err)
	}
	p.log.Info("graceful shutdown complete")
	return nil
}

// seatsInterval is how soon a changed number of seats changes the share of the
// store's ceilings.
const seatsInterval = time.Second

// followSeats divides the store's ceilings by the seats of the configuration.
// The number of configured seats bounds the VMs that are at work.
func (p *Process) followSeats(ctx context.Context) {
	ticker := time.NewTicker(seatsInterval)
	defer ticker.Stop()
	for {
		if seats := p.configuredSeats(); seats > 0 {
			p.store.SetSeats(seats)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// cleanClaims deletes expired claims in bounded batches.
func (p *Process) cleanClaims(ctx context.Context) {
	ticker := time.NewTicker(claimCleanInterval)
	defer ticker.Stop()
	after := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		seats := p.seats.Seats()
		if len(seats) == 0 || seats[0].Index != 0 {
			continue // one VM at a time is enough
		}
		next, err := p.claims.DeleteExpired(ctx, after)
		if err != nil {
			p.log.Debug("expired claims were not cleaned", "error", err)
		}
		after = next
	}
}

// lister adapts the platform's VM list.
func (p *Process) lister() membership.Lister {
	return membership.ListerFunc(func(ctx context.Context) ([]membership.Entry, error) {
		vms, err := p.store.VMs(ctx)
		if err != nil {
			return nil, err
		}
		entries := make([]membership.Entry, len(vms))
		for i, vm := range vms {
			entries[i] = membership.Entry{
				Address: vm.Address, PeerAddress: vm.Peer, Zone: vm.Zone, Leaving: vm.State == store.VMLeaving,
			}
		}
		return entries, nil
	})
}
