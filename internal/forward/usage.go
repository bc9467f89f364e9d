package forward

// countUsage counts the call for its account, once, when a target has begun to run it: with the
// first event of a stream, also one that is withheld, or with the head of another response.
func (h *Handler) countUsage(c *call) {
	if h.CountUsage != nil && !c.usageCounted.Swap(true) {
		h.CountUsage(c.accountName())
	}
}
