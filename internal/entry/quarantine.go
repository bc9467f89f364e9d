package entry

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/quarantine"
)

// quarantineAttachment exchanges the evidence about requests that crash targets between VMs with
// the heartbeats.
func (p *Process) quarantineAttachment() membership.Attachment {
	return membership.Attachment{
		Name: "quarantine",
		Produce: func() []byte {
			report := p.quarantine.Report(time.Now())
			if report == nil {
				return nil
			}
			data, err := msgpack.Marshal(report)
			if err != nil {
				p.log.Error("evidence about crashes not encoded", "error", err)
				return nil
			}
			return data
		},
		Consume: func(from membership.Instance, data []byte) {
			var report quarantine.Report
			if err := msgpack.Unmarshal(data, &report); err != nil {
				p.log.Warn("evidence about crashes ignored", "from", from, "error", err)
				return
			}
			p.quarantine.Merge(&report, time.Now())
		},
	}
}
