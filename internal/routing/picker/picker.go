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
	// affinityPrior is the probability that a prefix's preferred targets hold it.
	affinityPrior = 0.8
	// fullSlowdown is how much slower a full engine runs a request than an empty
	// one, as a fraction.
	fullSlowdown = 1
	// failurePenalty multiplies the score at a failure fraction of 1.
	failurePenalty = 10
	// affinityTargets is the number of candidates that a prefix prefers.
	affinityTargets = 1
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
	// hop is the one-way latency to other availability zones, but for those in
	// hops.
	hop  time.Duration
	hops map[string]time.Duration
	way  Way
	next atomic.Uint64
	// meanOthers is the smoothed load by other entries for each slot, as float
	// bits; it is learnt from random candidates.
	meanOthers atomic.Uint64
	// meanService is the smoothed service time in seconds, learnt likewise.
	meanService atomic.Uint64
}

// Option configures a Picker.
type Option func(*Picker)

// WithWay sets the way of choosing.
func WithWay(w Way) Option { return func(p *Picker) { p.way = w } }

// WithZone sets the own availability zone and the latency to others.
func WithZone(zone string, hop time.Duration) Option {
	return func(p *Picker) { p.zone, p.hop = zone, hop }
}

// WithHop sets the one-way latency to one availability zone.
func WithHop(zone string, hop time.Duration) Option {
	return func(p *Picker) { p.hops[zone] = hop }
}

// getHop is the one-way latency to a zone.
func (p *Picker) getHop(zone string) time.Duration {
	if zone == p.zone {
		return 0
	}
	if hop, ok := p.hops[zone]; ok {
		return hop
	}
	return p.hop
}

// New returns a Picker.
func New(opts ...Option) *Picker {
	p := &Picker{way: ExpectedCompletion{Candidates: 2}, hops: make(map[string]time.Duration)}
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
		total += b.known()
	}
	bound := math.Ceil(factor * (total + 1) / float64(len(set)))
	var best *Backend
	var bestHash uint64
	for _, b := range set {
		if !d.usable(b) || b.known() >= bound {
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
	return mix(xxhash.Sum64String(b.Name) ^ prefix)
}

// mix spreads the bits of a number, as the finalizer of MurmurHash3 does.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// choice is the best candidate so far.
type choice struct {
	best  *Backend
	score float64
}

func (c *choice) consider(p *Picker, b *Backend, d Demand, prior float64) {
	if !d.usable(b) {
		return
	}
	if score := p.score(b, d, prior); c.best == nil || score < c.score {
		c.best, c.score = b, score
	}
}

// pickExpected scores random candidates, and the prefix's own few. Every entry
// prefers the same few for a prefix, so that they are likely to hold it.
func (p *Picker) pickExpected(set []*Backend, d Demand, candidates int) *Backend {
	var c choice
	if d.Prefix != 0 {
		for i := range uint64(affinityTargets) {
			c.consider(p, set[mix(d.Prefix+i)%uint64(len(set))], d, affinityPrior)
		}
	}
	for range candidates {
		b := set[rand.IntN(len(set))]
		p.learn(b)
		c.consider(p, b, d, 0)
	}
	if c.best == nil {
		return p.pickFrom(set, d, rand.IntN(len(set)))
	}
	return c.best
}

// meanSmoothing is the weight of one candidate in the mean load.
const meanSmoothing = 0.05

// serviceTolerance is the relative difference of a service time from the mean
// that counts as noise.
const serviceTolerance = 0.3

// learn takes a random candidate into the means. A lost update does no harm.
func (p *Picker) learn(b *Backend) {
	smooth(&p.meanOthers, float64(b.others.Load())/float64(b.concurrency.Load()))
	smooth(&p.meanService, b.getService())
}

func smooth(mean *atomic.Uint64, sample float64) {
	old := math.Float64frombits(mean.Load())
	if old == 0 {
		old = sample
	}
	mean.Store(math.Float64bits(old + meanSmoothing*(sample-old)))
}

// getService is the service time in seconds. Within serviceTolerance of the mean
// a difference is taken for noise, which all entries would follow at once.
func (p *Picker) getService(b *Backend) float64 {
	own, mean := b.getService(), math.Float64frombits(p.meanService.Load())
	if mean > 0 && math.Abs(own-mean) < serviceTolerance*mean {
		return mean
	}
	return own
}

// Score is the expected completion time in seconds, with penalties for failures
// and for a backend server that has just come.
func (p *Picker) Score(b *Backend, d Demand) float64 { return p.score(b, d, 0) }

// score takes prior as the least probability that the prefix is cached.
func (p *Picker) score(b *Backend, d Demand, prior float64) float64 {
	now := d.Now.UnixNano()
	service := p.getService(b)
	slots := float64(b.concurrency.Load())
	load := b.load(now, math.Float64frombits(p.meanOthers.Load()))
	rounds := max(load+1-slots, 0) / slots
	run := service * (1 - prefixGain*max(b.cached(d.Prefix, now), prior))
	// Below the limit, a fuller engine still steps slower.
	run *= 1 + fullSlowdown*min(load/slots, 1)
	score := (rounds*service+run)/b.warmth(now) + 2*p.getHop(b.Zone).Seconds()
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
