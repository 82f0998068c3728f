package subscriber

import "time"

// resendInterval is how often an unchanged part of a message is sent again. With tens of
// gateways and engines such parts are most of the bytes between them.
const resendInterval = 5 * time.Second

// memberResendInterval is how often an address is sent again on one stream. The receiver adds
// what it gets to what it knows, so an address need not be repeated with each change.
const memberResendInterval = time.Minute

// memberFilter omits the addresses that were sent on one stream.
type memberFilter struct{ sentAt map[string]time.Time }

func newMemberFilter() *memberFilter { return &memberFilter{sentAt: make(map[string]time.Time)} }

// take returns the addresses that have to be sent now, and records them as sent. It forgets
// those that are gone, as they are news if they come back.
func (f *memberFilter) take(addrs []string, now time.Time) []string {
	var due []string
	sentAt := make(map[string]time.Time, len(addrs))
	for _, addr := range addrs {
		at, sent := f.sentAt[addr]
		if !sent || now.Sub(at) >= memberResendInterval {
			at = now
			due = append(due, addr)
		}
		sentAt[addr] = at
	}
	f.sentAt = sentAt
	return due
}

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
