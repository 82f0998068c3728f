package admitter

import (
	"cmp"
	"math"
	"time"
)

// Load pattern: urgent and less urgent kinds, large and small requests, and accounts of
// very different demand wait for the same places.

const (
	// minKindRatio, minSizeRatio and minAccountRatio are the fractions of the rate at which
	// all requests are granted places below which a kind, the large requests of a kind or an
	// account go first.
	minKindRatio    = 0.35
	minSizeRatio    = 0.6
	minAccountRatio = 0.5
	// fairnessWindow is the time constant with which asked and granted requests are
	// forgotten.
	fairnessWindow = 4 * time.Second
	// minAsked is the number of recent requests below which a ratio says nothing.
	minAsked = 3
	// maxTallies bounds the tallies; those that are nearly forgotten are removed first.
	maxTallies = 8192
	// aboveFairShare is the multiple of the mean grants of an account from which on it goes
	// behind the others.
	aboveFairShare = 2
)

// compareTickets orders waiting requests: first those whose like were served too rarely,
// then by priority, accounts within their share, callers that return as told, and what is
// left of the objective.
func compareTickets(a, b *Ticket) int {
	return cmp.Or(
		compareFirst(a.isEntitled, b.isEntitled),
		cmp.Compare(a.Priority, b.Priority),
		compareFirst(!a.isAbove, !b.isAbove),
		compareFirst(a.isReturned, b.isReturned),
		a.latestStart.Compare(b.latestStart),
		cmp.Compare(a.number, b.number),
	)
}

// compareFirst orders what is true before what is false.
func compareFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// tally counts requests, of which older ones weigh less.
type tally struct {
	asked, granted float64
	at             time.Time
}

func (t *tally) decay(now time.Time) {
	if d := now.Sub(t.at); d > 0 {
		f := math.Exp(-d.Seconds() / fairnessWindow.Seconds())
		t.asked, t.granted, t.at = t.asked*f, t.granted*f, now
	}
}

// tallyKey names what requests have in common. Unused fields are empty.
type tallyKey struct {
	kind, account string
	size          sizeClass
}

// fairness tells which requests go first because their like were served too rarely. It
// knows the requests of one gateway; callers of a kind or account reach all of them.
type fairness struct {
	all     tally
	tallies map[tallyKey]*tally
	// accounts is the number of tallies of accounts.
	accounts int
	sizes    map[string]*sizes
}

func newFairness() fairness {
	return fairness{tallies: make(map[tallyKey]*tally), sizes: make(map[string]*sizes)}
}

func (f *fairness) get(k tallyKey, now time.Time) *tally {
	t := f.tallies[k]
	if t == nil {
		if len(f.tallies) >= maxTallies {
			f.prune(now)
		}
		t = &tally{at: now}
		f.tallies[k] = t
		f.count(k, 1)
	}
	t.decay(now)
	return t
}

func (f *fairness) prune(now time.Time) {
	const forgotten = 0.5
	for k, t := range f.tallies {
		if t.decay(now); t.asked < forgotten {
			delete(f.tallies, k)
			f.count(k, -1)
		}
	}
	if len(f.tallies) >= maxTallies {
		clear(f.tallies)
		f.accounts = 0
	}
}

// count adds n to the number of accounts if k is the key of one.
func (f *fairness) count(k tallyKey, n int) {
	if k.kind == "" {
		f.accounts += n
	}
}

func (f *fairness) keys(r *Request) [3]tallyKey {
	s := f.sizes[r.Kind]
	if s == nil {
		s = &sizes{}
		f.sizes[r.Kind] = s
	}
	return [...]tallyKey{{kind: r.Kind}, {kind: r.Kind, size: s.classify(r.Size)}, {account: r.Account}}
}

// ask counts a request. It reports whether the request goes first, and whether its account
// uses more than its fair share.
func (f *fairness) ask(r *Request, now time.Time) (isEntitled, isAbove bool) {
	keys := f.keys(r)
	f.sizes[r.Kind].add(r.Size)
	f.all.decay(now)
	f.all.asked++
	overall := f.all.granted / f.all.asked
	for i, minRatio := range [...]float64{minKindRatio, minSizeRatio, minAccountRatio} {
		t := f.get(keys[i], now)
		t.asked++
		isEntitled = isEntitled || t.asked >= minAsked && t.granted+1 <= minRatio*overall*t.asked
	}
	account := f.get(keys[2], now)
	return isEntitled, account.granted > aboveFairShare*f.meanGrants()
}

// meanGrants returns the mean of the granted requests of an account.
func (f *fairness) meanGrants() float64 {
	return f.all.granted / float64(max(f.accounts, 1))
}

func (f *fairness) grant(r *Request, now time.Time) {
	f.all.decay(now)
	f.all.granted++
	for _, k := range f.keys(r) {
		f.get(k, now).granted++
	}
}
