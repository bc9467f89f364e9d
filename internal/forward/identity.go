package forward

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/oriolefront/oriolefront/internal/quarantine"
)

// identityBytes is the length of the hash that identifies a request. It is long enough that two
// requests hardly ever share it.
const identityBytes = 8

// identity identifies the request over its caller's tries, which have new request ids: the
// account, the request line, the prompt and the body stay the same. All VMs compute the same one.
func (c *call) identity() string {
	c.identityOnce.Do(func() {
		hash := sha256.New()
		fmt.Fprintf(hash, "%q %q %q %q %q %q %d %d ", c.accountName(), c.request.Host, c.request.Method, c.request.URL.RequestURI(),
			c.meta.SharedParts, c.meta.OwnPart, c.meta.PromptTokens, c.meta.OutputTokens)
		hash.Write(c.body)
		c.identityHash = hex.EncodeToString(hash.Sum(nil)[:identityBytes])
	})
	return c.identityHash
}

// suspect returns the call as far as the crash of a target may be blamed on it.
func (c *call) suspect() quarantine.Request {
	return quarantine.Request{ID: c.meta.ID, Identity: c.identity, OwnPart: c.meta.OwnPart, Parts: c.meta.SharedParts}
}
