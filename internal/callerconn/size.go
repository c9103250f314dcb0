package callerconn

const (
	// readBytes is the most that net/http reads at a time, so that a read that ends a head may hold as much of what follows it.
	readBytes = 4 << 10
	// peekBytes is how many bytes of a request on a kept connection net/http awaits before it reads the head.
	peekBytes = 4
	// freeHeadBytes of each head do not count against the budget for heads.
	freeHeadBytes = 4 << 10
)

// checkSize counts the last n bytes of a head that is arriving. It returns a cause if no more of the head may be read. The caller
// holds mu.
func (c *conn) checkSize(n int64) Cause {
	if !c.served && c.headBytes == n && c.tracker.full() {
		return CauseConnsFull
	}
	if limit := c.tracker.options.Limits().HeaderBytes; limit > 0 && c.headBytes > limit+readBytes {
		return CauseHeadSize
	}
	counted := min(n, c.headBytes-freeHeadBytes)
	if c.tracker.options.Heads == nil || counted <= 0 {
		return ""
	}
	if !c.tracker.options.Heads.TryReserve(counted) {
		return CauseHeadsFull
	}
	c.reserved += counted
	return ""
}

// release returns what the head has reserved. The caller holds mu.
func (c *conn) release() {
	if c.reserved > 0 {
		c.tracker.options.Heads.Release(c.reserved)
		c.reserved = 0
	}
}
