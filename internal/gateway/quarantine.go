package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/quarantine"
)

// crashDialTimeout bounds the connection probe that tells a crashed engine from one that closed a
// connection.
const crashDialTimeout = 250 * time.Millisecond

// identity identifies the request over its caller's tries, which have new request ids.
func (c *call) identity() string {
	c.identityOnce.Do(func() {
		fields := fmt.Sprintf("%q %q %q %d ", c.account, c.path, c.model, c.maxTokens)
		c.identityHash = quarantine.Identity(fields, c.prompt)
	})
	return c.identityHash
}

// suspect returns the call as far as the crash of a target may be blamed on it.
func (c *call) suspect() quarantine.Request {
	return quarantine.Request{ID: c.id, Identity: c.identity}
}

// checkQuarantine returns an error if the request is quarantined.
func (d *dispatch) checkQuarantine() error {
	now := time.Now()
	v, found := d.g.Quarantine.Check(d.c.suspect(), now)
	if !found {
		return nil
	}
	d.g.Log.Info("request not sent: it is quarantined", "request", d.c.id, "identity", v.Request, "crashes", v.Crashes,
		"last_crash_age", now.Sub(v.LastCrash).Round(time.Millisecond), "until", v.Until.Sub(now).Round(time.Second))
	return apierror.New(apierror.KindUnavailable, d.outcome(), "the request is quarantined: targets crashed under it",
		"change the request, or try again later").WithRetryAfter(v.Until.Sub(now))
}

// recordEvidence records whether the target of an attempt that has ended served it, or crashed.
// In the latter case it returns when a decision on the evidence of all VMs has been made.
func (d *dispatch) recordEvidence(ctx context.Context, run *attemptRun, err error) {
	now := time.Now()
	began := run.sentAt.Add(run.result.TimeToFirstEvent)
	served := run.result.ReceivedEvent && (err == nil || now.Sub(began) >= quarantine.SurvivalTime)
	switch {
	case served:
		d.g.Quarantine.RecordServed(d.c.suspect(), began)
	case errors.Is(err, engine.ErrInterrupted) && ctx.Err() == nil && !run.result.ReceivedEvent && run.crashed():
		d.g.Log.Warn("target crashed under a request that it had not answered", "request", d.c.id, "identity", d.c.identity(),
			"target", run.grant.Target, "since_sent", now.Sub(run.sentAt).Round(time.Millisecond), "error", err)
		d.g.Quarantine.RecordCrash(run.grant.Target, d.c.suspect(), false, now)
		time.Sleep(quarantine.SettleTime)
		d.g.Quarantine.Decide(time.Now())
	}
}

// crashed reports whether the target, whose connection has just broken, accepts no connections
// any more.
func (run *attemptRun) crashed() bool {
	if context.Cause(run.ctx) != nil {
		return false // this VM has given up the attempt
	}
	c, err := net.DialTimeout("tcp", run.grant.Declared.Address, crashDialTimeout)
	if err == nil {
		c.Close()
	}
	return err != nil
}
