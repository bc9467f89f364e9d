package forward

import (
	"fmt"

	"github.com/oriolefront/oriolefront/internal/quarantine"
)

// identity identifies the request over its caller's tries, which have new request ids: the
// account, the request line, the prompt and the body stay the same.
func (c *call) identity() string {
	c.identityOnce.Do(func() {
		fields := fmt.Sprintf("%q %q %q %q %q %q %d %d ", c.accountName(), c.request.Host, c.request.Method, c.request.URL.RequestURI(),
			c.meta.SharedParts, c.meta.OwnPart, c.meta.PromptTokens, c.meta.OutputTokens)
		c.identityHash = quarantine.Identity(fields, c.body)
	})
	return c.identityHash
}

// suspect returns the call as far as the crash of a target may be blamed on it.
func (c *call) suspect() quarantine.Request {
	return quarantine.Request{ID: c.meta.ID, Identity: c.identity, OwnPart: c.meta.OwnPart, Parts: c.meta.SharedParts}
}
