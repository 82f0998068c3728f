package balancer

import (
	"time"

	"github.com/charmbracelet/log"
)

const (
	// maxFollowTime is how long the leader may take to follow a demand before it is
	// reported. A change takes one to two seconds.
	maxFollowTime = 4 * time.Second
	// reportInterval is the pause between two reports.
	reportInterval = 5 * time.Second
)

// followDelay tells since when a leader has not followed the demand: it has not seen the
// group, or has not made a change that is worth its copies.
type followDelay struct {
	// seenAt is when the skew was last known, or when the leader began to lead.
	seenAt time.Time
	// skewedSince is when the skew became worth a change, zero if it is not.
	skewedSince time.Time
	// skew is the latest one, 0 if it is not known.
	skew float64
	// err is the latest failure, nil after a success.
	err        error
	reportedAt time.Time
}

// start begins to lead.
func (d *followDelay) start(now time.Time) { *d = followDelay{seenAt: now} }

// end ends to lead.
func (*followDelay) end() {
	mapSkew.Set(0)
	followDelaySeconds.Set(0)
}

// observe records the skew under the map in force.
func (d *followDelay) observe(skew float64, now time.Time) {
	d.seenAt, d.skew = now, skew
	mapSkew.Set(skew)
	switch {
	case skew < 1+minSkewGain:
		d.skewedSince = time.Time{}
	case d.skewedSince.IsZero():
		d.skewedSince = now
	}
}

// setResult records the result of a read of all ranks or of a change.
func (d *followDelay) setResult(err error) { d.err = err }

// setFollowed records a change of the map, or that none would bring enough.
func (d *followDelay) setFollowed() {
	d.err, d.skewedSince = nil, time.Time{}
}

// get returns how long the demand has not been followed.
func (d *followDelay) get(now time.Time) time.Duration {
	since := d.seenAt
	if !d.skewedSince.IsZero() && d.skewedSince.Before(since) {
		since = d.skewedSince
	}
	return now.Sub(since)
}

// report updates the metric and reports a map that does not follow.
func (d *followDelay) report(group string, now time.Time) {
	delay := d.get(now)
	followDelaySeconds.Set(delay.Seconds())
	if delay < maxFollowTime || now.Sub(d.reportedAt) < reportInterval {
		return
	}
	d.reportedAt = now
	mapsNotFollowing.Inc()
	log.Warn("expert map does not follow demand", "event", "map_overdue", "group", group, "delay", delay, "skew", d.skew,
		"skew_seen", now.Sub(d.seenAt), "error", d.err)
}
