package peers

import "time"

// maxSilence is how long no other process may be heard while this one counts as in contact.
const maxSilence = 2 * time.Second

// noteHeard records that another process was heard. c.mu must be held.
func (c *Cluster) noteHeard() {
	now := time.Now()
	if !c.heardAt.IsZero() && now.Sub(c.heardAt) >= maxSilence {
		c.silentUntil = now
	}
	c.heardAt = now
}

// InContactSince reports whether other processes have been heard all the time since a moment.
// It is true for a process that knows no others.
func (c *Cluster) InContactSince(moment time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.members) == 0 || time.Since(c.heardAt) < maxSilence && c.silentUntil.Before(moment)
}
