package subscriber

import "time"

// repeatAfter is how often a part of a message is told that has not changed: with
// tens of gateways and engines it is most of the bytes between them.
const repeatAfter = 5 * time.Second

// repeater tells when a part of the messages of one stream is due.
type repeater struct {
	told string
	at   time.Time
}

// isDue reports whether a part is to be told now, and notes that it is.
func (r *repeater) isDue(part string, now time.Time) bool {
	if !r.at.IsZero() && part == r.told && now.Sub(r.at) < repeatAfter {
		return false
	}
	r.told, r.at = part, now
	return true
}
