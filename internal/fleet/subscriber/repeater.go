package subscriber

import "time"

// resendInterval is how often an unchanged part of a message is sent again. With tens of
// gateways and engines such parts are most of the bytes between them.
const resendInterval = 5 * time.Second

// changeFilter omits a part of the messages on one stream while it does not change.
type changeFilter struct {
	lastSent string
	sentAt   time.Time
}

// isDue reports whether part has to be sent now, and records it as sent if so.
func (f *changeFilter) isDue(part string, now time.Time) bool {
	if !f.sentAt.IsZero() && part == f.lastSent && now.Sub(f.sentAt) < resendInterval {
		return false
	}
	f.lastSent, f.sentAt = part, now
	return true
}
