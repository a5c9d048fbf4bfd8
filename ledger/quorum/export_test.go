package quorum

import "time"

// Forwarders returns the number of members that have shown that they forward records.
func (c *Client) Forwarders() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	n := 0
	for _, l := range c.links {
		if l.knowsForwarding() {
			n++
		}
	}
	return n
}

// Connected returns the number of members with a connection.
func (c *Client) Connected() int { return c.connectedMembers(func(string) bool { return true }) }

// SetForwardPause sets how long forwarding pauses after records were not forwarded.
func (c *Client) SetForwardPause(pause time.Duration) { c.forwardPause = pause }
