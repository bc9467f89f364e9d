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

// claimCleanupInterval is the time between two deletions of a batch of expired
// claims.
const claimCleanupInterval = time.Minute

// Run serves until ctx is done and then shuts down gracefully.
func (p *Process) Run(ctx context.Context) error {
	if _, err := p.linkServer.Listen(p.settings.Listen.Peers); err != nil {
		return merry.Prepend(err, "listen.peers")
	}
	defer p.linkServer.Close()
	defer p.linkClient.Close()
	background, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	for _, run := range p.backgroundLoops() {
		running.Go(func() { run(background) })
	}
	failed := make(chan error, 2)
	if err := p.serve(p.operatorServer, "operators", p.settings.Listen.Operators, p.limits.shares.Service, 0, failed); err != nil {
		return merry.Prepend(err, "listen.operators")
	}
	defer p.operatorServer.Close()
	if err := p.serve(p.callerServer, "callers", p.settings.Listen.Callers, p.limits.shares.Callers, p.limits.shares.Requests, failed); err != nil {
		return merry.Prepend(err, "listen.callers")
	}
	defer p.callerServer.Close()
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

// backgroundLoops returns the loops that run as long as the process.
func (p *Process) backgroundLoops() []func(context.Context) {
	return []func(context.Context){
		p.members.Run,
		p.syncer.Run,
		p.seats.Run,
		p.ledger.Run,
		p.sweeper.Run,
		p.quarantine.Run,
		p.collector.Run,
		p.admission.Run,
		p.claims.Run,
		p.deleteExpiredClaims,
		p.updateStoreShare,
		func(ctx context.Context) { p.orders.Run(ctx, p.config, p.clients.get, p.sendsCommandsTo) },
	}
}

func (p *Process) serve(server *http.Server, name, address string, connections, requests int, failed chan<- error) error {
	listener, err := tcp.Listen(context.Background(), address)
	if err != nil {
		return err
	}
	listener = p.protect(server, listener, name, connections, requests)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			failed <- err
		}
	}()
	return nil
}

// Abort stops the process immediately and without a message to other VMs, like a
// crash. It is meant for tests and experiments.
func (p *Process) Abort() {
	select {
	case <-p.abort:
		return
	default:
		close(p.abort)
	}
	p.linkServer.Close()
	p.linkClient.Close()
	p.callerServer.Close()
	p.operatorServer.Close()
	p.clients.transport.CloseIdleConnections()
}

// shutdown first ends readiness and gives the load balancer time to notice. It then
// waits for all requests and cancellations. Seats are resigned last, because
// requests in flight use their shares.
func (p *Process) shutdown() error {
	p.log.Info("graceful shutdown started", "drain_delay", p.settings.Limits.DrainDelay.Std())
	p.members.SetLeaving(true)
	p.gateway.StartDrain()
	time.Sleep(p.settings.Limits.DrainDelay.Std())
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.Limits.DrainTimeout.Std())
	defer cancel()
	if err := p.callerServer.Shutdown(ctx); err != nil {
		return merry.Prepend(err, "graceful shutdown was not complete in time")
	}
	if err := p.gateway.Wait(ctx); err != nil {
		return merry.Prepend(err, "cancellations were not confirmed in time")
	}
	if err := p.claims.Flush(ctx); err != nil {
		return merry.Prepend(err, "results of claims were not written in time")
	}
	if err := p.seats.Resign(ctx); err != nil {
		p.log.Warn("failed to resign seats; other VMs will take them over", "error", err)
	}
	p.log.Info("graceful shutdown complete")
	return nil
}

// seatCheckInterval bounds the delay until a changed number of seats changes this
// VM's share of the store's rate limits.
const seatCheckInterval = time.Second

// updateStoreShare divides the store's rate limits by the number of configured
// seats, which is an upper bound on the number of active VMs.
func (p *Process) updateStoreShare(ctx context.Context) {
	ticker := time.NewTicker(seatCheckInterval)
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

// deleteExpiredClaims deletes expired claims in bounded batches.
func (p *Process) deleteExpiredClaims(ctx context.Context) {
	ticker := time.NewTicker(claimCleanupInterval)
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
			continue // only the VM that holds seat 0 does this
		}
		next, err := p.claims.DeleteExpired(ctx, after)
		if err != nil {
			p.log.Debug("failed to delete expired claims", "error", err)
		}
		after = next
	}
}

// vmLister adapts the platform's VM list to membership.Lister.
func (p *Process) vmLister() membership.Lister {
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
