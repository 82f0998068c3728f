// Package limiter holds the limits of client accounts over all entry instances
// without a coordinator: each instance takes a share of each limit that follows
// its part of the demand, as the instances tell each other.
package limiter

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"siskinfall/internal/config/registrar"
	"siskinfall/internal/wire/encoder"
)

// Refusals of a Limiter.
var (
	ErrRate        = errors.New("request rate of the client account is exceeded")
	ErrConcurrency = errors.New("concurrency of the client account is exceeded")
)

// Constants of the shares.
const (
	// floorShare is the part of a limit split evenly, whatever the demand.
	floorShare = 0.2
	// demandSmoothing is the weight of the newest demand.
	demandSmoothing = 0.3
	// limitTolerance is the relative change of a limit that is passed over.
	limitTolerance = 0.01
	// othersDecay bounds how fast the others' demand falls in one period: an
	// instance that has just begun to sum knows only a part of it.
	othersDecay = 0.5
)

// milli converts requests a second to the unit on the wire.
const milli = 1000

// Limiter is the part of one entry instance; it is safe for concurrent use.
type Limiter struct {
	instance string
	zone     string
	mu       sync.Mutex
	accounts map[string]*usage
	// peerCount is the number of entry instances, this one included; at least 1.
	peerCount int
	now       func() time.Time
}

// usage is what one client account does at this instance.
type usage struct {
	bucket *rate.Limiter
	// limit is what bucket was last set to.
	limit float64
	// arrivals counts requests since the last Tick.
	arrivals int
	// demand is smoothed, in requests a second.
	demand float64
	// others is the demand at all other instances, as last told; an instance that
	// is cut off keeps to it, and so to its share.
	others   float64
	inFlight int
}

// New returns a Limiter.
func New(instance, zone string) *Limiter {
	return &Limiter{
		instance: instance, zone: zone, peerCount: 1, now: time.Now,
		accounts: make(map[string]*usage),
	}
}

// SetPeers says how many other entry instances are listed.
func (l *Limiter) SetPeers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peerCount = n + 1
}

// Acquire counts a request in. The caller must call release when it ends. When
// it is refused, wait says when to come back.
func (l *Limiter) Acquire(_ context.Context, a *registrar.ClientAccount) (release func(), wait time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.getUsage(a)
	u.arrivals++
	if a.Concurrency > 0 && float64(u.inFlight) >= l.concurrencyShare(a, u) {
		return nil, time.Second, ErrConcurrency
	}
	if a.Rate > 0 {
		res := u.bucket.ReserveN(l.now(), 1)
		if delay := res.DelayFrom(l.now()); delay > 0 {
			res.CancelAt(l.now())
			return nil, delay, ErrRate
		}
	}
	u.inFlight++
	return func() { l.release(u) }, 0, nil
}

func (l *Limiter) release(u *usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u.inFlight--
}

// getUsage returns the account's usage with its bucket at the present share. A
// new bucket is full.
func (l *Limiter) getUsage(a *registrar.ClientAccount) *usage {
	u := l.accounts[a.Name]
	if u == nil {
		u = &usage{}
		l.accounts[a.Name] = u
	}
	share := l.share(u)
	limit := a.Rate * share
	burst := max(int(math.Ceil(float64(a.Burst)*share)), 1)
	switch {
	case u.bucket == nil:
		u.bucket = rate.NewLimiter(rate.Limit(limit), burst)
	case math.Abs(limit-u.limit) > limitTolerance*u.limit:
		u.bucket.SetLimitAt(l.now(), rate.Limit(limit))
		u.bucket.SetBurstAt(l.now(), burst)
	default:
		return u
	}
	u.limit = limit
	return u
}

// share is this instance's part of a limit; over all instances with the same
// view the shares add up to 1.
func (l *Limiter) share(u *usage) float64 {
	total := u.demand + u.others
	even := 1 / float64(l.peerCount)
	if total == 0 {
		return even
	}
	return floorShare*even + (1-floorShare)*u.demand/total
}

// concurrencyShare rounds up, so each instance can run at least one request.
func (l *Limiter) concurrencyShare(a *registrar.ClientAccount, u *usage) float64 {
	return math.Ceil(float64(a.Concurrency) * l.share(u))
}

// Tick closes a period of the given length and returns the report of demand.
func (l *Limiter) Tick(period time.Duration) *encoder.ShareReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := &encoder.ShareReport{Instance: l.instance, Zone: l.zone}
	for name, u := range l.accounts {
		now := float64(u.arrivals) / period.Seconds()
		u.demand += demandSmoothing * (now - u.demand)
		u.arrivals = 0
		if u.demand < 0.01 && u.inFlight == 0 {
			delete(l.accounts, name)
			continue
		}
		report.Uses = append(report.Uses, &encoder.AccountUse{
			ClientAccount: name, DemandMilli: uint64(u.demand * milli),
		})
	}
	return report
}

// SetTotals takes in the sums of accounts' demand over all instances. They
// include what this instance reported.
func (l *Limiter) SetTotals(uses []*encoder.AccountUse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, use := range uses {
		u := l.accounts[use.GetClientAccount()]
		if u == nil {
			continue
		}
		others := float64(use.GetDemandMilli())/milli - u.demand
		u.others = max(others, u.others*othersDecay, 0)
	}
}
