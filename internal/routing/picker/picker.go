package picker

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Way is a way of choosing a backend server.
type Way interface{ sealed() }

// ExpectedCompletion compares the expected completion time of a few random
// candidates and of those that the prefix prefers.
type ExpectedCompletion struct{ Candidates int }

// RoundRobin takes one after the other.
type RoundRobin struct{}

// Random takes any.
type Random struct{}

// LeastReported takes the least load by the latest reports alone.
type LeastReported struct{}

// BoundedRendezvous hashes the prefix and passes over those whose load is above
// Factor times the mean.
type BoundedRendezvous struct{ Factor float64 }

func (ExpectedCompletion) sealed() {}
func (RoundRobin) sealed()         {}
func (Random) sealed()             {}
func (LeastReported) sealed()      {}
func (BoundedRendezvous) sealed()  {}

// Demand is what a choice depends on.
type Demand struct {
	// Prefix is a hash of the prompt's beginning, 0 for none.
	Prefix uint64
	// Exclude names backend servers already tried; it may be nil.
	Exclude []*Backend
	Now     time.Time
}

// Constants of the choice.
const (
	// prefixGain is the fraction of the service time that a cached prefix saves.
	prefixGain = 0.3
	// failurePenalty multiplies the score at a failure fraction of 1.
	failurePenalty = 10
	// affinityTargets is the number of candidates that a prefix prefers.
	affinityTargets = 2
	// ejectAbove is the failure fraction that ejects a backend server.
	ejectAbove = 0.6
	// ejectTime is how long it stays ejected.
	ejectTime = 5 * time.Second
	// maxEjected is the largest fraction of a set that is ejected.
	maxEjected = 0.3
)

// Picker chooses among a set of backend servers; it is safe for concurrent use.
type Picker struct {
	zone string
	// hop is the one-way latency to another availability zone.
	hop  time.Duration
	way  Way
	next atomic.Uint64
}

// Option configures a Picker.
type Option func(*Picker)

// WithWay sets the way of choosing.
func WithWay(w Way) Option { return func(p *Picker) { p.way = w } }

// WithZone sets the own availability zone and the latency to others.
func WithZone(zone string, hop time.Duration) Option {
	return func(p *Picker) { p.zone, p.hop = zone, hop }
}

// New returns a Picker.
func New(opts ...Option) *Picker {
	p := &Picker{way: ExpectedCompletion{Candidates: 4}}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Pick returns the backend server for a demand, or nil if none is available.
// An ejected one is taken only when no other is left.
func (p *Picker) Pick(set []*Backend, d Demand) *Backend {
	if len(set) == 0 {
		return nil
	}
	var b *Backend
	switch w := p.way.(type) {
	case ExpectedCompletion:
		b = p.pickExpected(set, d, w.Candidates)
	case RoundRobin:
		b = p.pickFrom(set, d, int(p.next.Add(1)%uint64(len(set))))
	case Random:
		b = p.pickFrom(set, d, rand.IntN(len(set)))
	case LeastReported:
		b = pickLeastReported(set, d)
	case BoundedRendezvous:
		b = pickRendezvous(set, d, w.Factor)
	}
	if b == nil {
		b = pickAny(set, d)
	}
	return b
}

func (d Demand) excludes(b *Backend) bool {
	for _, e := range d.Exclude {
		if e == b {
			return true
		}
	}
	return false
}

// usable reports whether b may get the request while there is a choice.
func (d Demand) usable(b *Backend) bool {
	return b.IsAvailable() && b.ejectedUntil.Load() <= d.Now.UnixNano() && !d.excludes(b)
}

// pickAny takes the first available one, ejected or tried before as it may be.
func pickAny(set []*Backend, d Demand) *Backend {
	var tried *Backend
	start := rand.IntN(len(set))
	for i := range set {
		b := set[(start+i)%len(set)]
		if !b.IsAvailable() {
			continue
		}
		if !d.excludes(b) {
			return b
		}
		tried = b
	}
	return tried
}

func (p *Picker) pickFrom(set []*Backend, d Demand, start int) *Backend {
	for i := range set {
		if b := set[(start+i)%len(set)]; d.usable(b) {
			return b
		}
	}
	return nil
}

func pickLeastReported(set []*Backend, d Demand) *Backend {
	var best *Backend
	for _, b := range set {
		if d.usable(b) && (best == nil || b.reported.Load() < best.reported.Load()) {
			best = b
		}
	}
	return best
}

func pickRendezvous(set []*Backend, d Demand, factor float64) *Backend {
	total := 0.0
	for _, b := range set {
		total += b.load()
	}
	bound := math.Ceil(factor * (total + 1) / float64(len(set)))
	var best *Backend
	var bestHash uint64
	for _, b := range set {
		if !d.usable(b) || b.load() >= bound {
			continue
		}
		if h := weigh(b, d.Prefix); best == nil || h > bestHash {
			best, bestHash = b, h
		}
	}
	return best
}

// weigh hashes a backend server together with a prefix.
func weigh(b *Backend, prefix uint64) uint64 {
	h := xxhash.Sum64String(b.Name) ^ prefix
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// pickExpected scores random candidates, and the prefix's own few.
func (p *Picker) pickExpected(set []*Backend, d Demand, candidates int) *Backend {
	var best *Backend
	bestScore := math.Inf(1)
	consider := func(b *Backend) {
		if !d.usable(b) {
			return
		}
		if score := p.Score(b, d); score < bestScore {
			best, bestScore = b, score
		}
	}
	if len(set) <= 2*candidates {
		for _, b := range set {
			consider(b)
		}
		return best
	}
	if d.Prefix != 0 {
		for i := range uint64(affinityTargets) {
			consider(set[(d.Prefix>>(8*i))%uint64(len(set))])
		}
	}
	for range candidates {
		consider(set[rand.IntN(len(set))])
	}
	if best == nil {
		return p.pickFrom(set, d, rand.IntN(len(set)))
	}
	return best
}

// Score is the expected completion time in seconds, with penalties for failures
// and for a backend server that has just come.
func (p *Picker) Score(b *Backend, d Demand) float64 {
	now := d.Now.UnixNano()
	service := time.Duration(b.service.Load()).Seconds()
	slots := float64(b.concurrency.Load())
	rounds := max(b.load()+1-slots, 0) / slots
	run := service * (1 - prefixGain*b.cached(d.Prefix, now))
	// Below the limit, a fuller engine still steps slower.
	run *= 1 + 0.5*min(b.load()/slots, 1)
	score := (rounds*service + run) / b.warmth(now)
	if b.Zone != p.zone {
		score += 2 * p.hop.Seconds()
	}
	return score * (1 + failurePenalty*b.GetFailures())
}

// Eject takes out of the set, for a while, those whose failures stand out. At
// most maxEjected of the set is out at any time.
func Eject(set []*Backend, now time.Time) []*Backend {
	out := 0
	for _, b := range set {
		if b.ejectedUntil.Load() > now.UnixNano() {
			out++
		}
	}
	var ejected []*Backend
	for _, b := range set {
		if b.GetFailures() < ejectAbove || b.ejectedUntil.Load() > now.UnixNano() {
			continue
		}
		if float64(out+1) > maxEjected*float64(len(set)) {
			break
		}
		out++
		b.ejectedUntil.Store(now.Add(ejectTime).UnixNano())
		b.failures.Store(math.Float64bits(ejectAbove / 2))
		ejected = append(ejected, b)
	}
	return ejected
}
