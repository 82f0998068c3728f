// Package limiter enforces the rate and concurrency limits of client accounts over
// all entry instances without a coordinator: each instance enforces a share of the
// limit that follows its share of the demand, which the instances report to each
// other.
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
	// evenFraction is the fraction of a limit that is split evenly, regardless of
	// the demand.
	evenFraction = 0.2
	// demandEWMAWeight is the weight of the newest period in the demand.
	demandEWMAWeight = 0.3
	// limitTolerance is the relative change of a limit up to which the bucket is
	// left unchanged.
	limitTolerance = 0.01
	// otherDemandDecay is the fraction of the demand at other instances that is kept
	// at least in one update. An instance that has just taken over a shard has
	// received only a part of the reports, so its sums are too low at first.
	otherDemandDecay = 0.5
)

// milliPerUnit converts requests per second to the unit on the wire.
const milliPerUnit = 1000

// Limiter enforces one entry instance's share of the limits; it is safe for
// concurrent use.
type Limiter struct {
	instance string
	zone     string
	mu       sync.Mutex
	accounts map[string]*accountState
	// instanceCount is the number of entry instances including this one; at least 1.
	instanceCount int
	now           func() time.Time
}

// accountState is the state of a client account at this instance.
type accountState struct {
	bucket *rate.Limiter
	// limit is the rate to which bucket was last set, in requests per second.
	limit float64
	// arrivals is the number of requests since the last EndPeriod.
	arrivals int
	// demand is the EWMA of the arrival rate, in requests per second.
	demand float64
	// otherDemand is the demand at all other instances, as last received. An
	// instance that is cut off keeps this value and thereby its share.
	otherDemand float64
	inFlight    int
}

// New returns a Limiter.
func New(instance, zone string) *Limiter {
	return &Limiter{
		instance: instance, zone: zone, instanceCount: 1, now: time.Now,
		accounts: make(map[string]*accountState),
	}
}

// SetPeerCount sets the number of other listed entry instances.
func (l *Limiter) SetPeerCount(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instanceCount = n + 1
}

// Acquire admits a request, or returns ErrRate or ErrConcurrency and the time after
// which the client may retry. The caller must call release when the request ends.
func (l *Limiter) Acquire(_ context.Context, a *registrar.ClientAccount) (release func(), retryAfter time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.getState(a)
	u.arrivals++
	if a.Concurrency > 0 && float64(u.inFlight) >= l.concurrencyShare(a, u) {
		return nil, time.Second, ErrConcurrency
	}
	if a.Rate > 0 {
		reservation := u.bucket.ReserveN(l.now(), 1)
		if delay := reservation.DelayFrom(l.now()); delay > 0 {
			reservation.CancelAt(l.now())
			return nil, delay, ErrRate
		}
	}
	u.inFlight++
	return func() { l.release(u) }, 0, nil
}

func (l *Limiter) release(u *accountState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u.inFlight--
}

// getState returns the state of an account, with its bucket set to the current
// share. A new bucket starts full.
func (l *Limiter) getState(a *registrar.ClientAccount) *accountState {
	u := l.accounts[a.Name]
	if u == nil {
		u = &accountState{}
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

// share returns this instance's fraction of a limit. If all instances have the
// same view of the demand, their shares add up to 1.
func (l *Limiter) share(u *accountState) float64 {
	total := u.demand + u.otherDemand
	evenShare := 1 / float64(l.instanceCount)
	if total == 0 {
		return evenShare
	}
	return evenFraction*evenShare + (1-evenFraction)*u.demand/total
}

// concurrencyShare returns this instance's share of the concurrency limit, rounded
// up so that each instance can run at least one request.
func (l *Limiter) concurrencyShare(a *registrar.ClientAccount, u *accountState) float64 {
	return math.Ceil(float64(a.Concurrency) * l.share(u))
}

// EndPeriod ends a period of the given length and returns the demand to report.
func (l *Limiter) EndPeriod(period time.Duration) *encoder.ShareReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := &encoder.ShareReport{Instance: l.instance, Zone: l.zone}
	for name, u := range l.accounts {
		arrivalRate := float64(u.arrivals) / period.Seconds()
		u.demand += demandEWMAWeight * (arrivalRate - u.demand)
		u.arrivals = 0
		if u.demand < 0.01 && u.inFlight == 0 {
			delete(l.accounts, name)
			continue
		}
		report.Uses = append(report.Uses, &encoder.AccountUse{
			ClientAccount: name, DemandMilli: uint64(u.demand * milliPerUnit),
		})
	}
	return report
}

// SetTotals applies the sums of the demand over all instances, including what this
// instance reported, by account.
func (l *Limiter) SetTotals(uses []*encoder.AccountUse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, use := range uses {
		u := l.accounts[use.GetClientAccount()]
		if u == nil {
			continue
		}
		otherDemand := float64(use.GetDemandMilli())/milliPerUnit - u.demand
		u.otherDemand = max(otherDemand, u.otherDemand*otherDemandDecay, 0)
	}
}
