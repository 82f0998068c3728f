package picker

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Strategy is an algorithm for choosing a backend server.
type Strategy interface{ sealed() }

// ExpectedCompletion picks the lowest expected completion time among Candidates
// random backend servers and those to which the prefix hashes.
type ExpectedCompletion struct{ Candidates int }

// RoundRobin picks the backend servers in turn.
type RoundRobin struct{}

// Random picks uniformly at random.
type Random struct{}

// LeastReported picks the lowest load in the latest reports, ignoring requests
// sent since.
type LeastReported struct{}

// BoundedRendezvous uses rendezvous hashing of the prefix and skips backend
// servers whose load reaches Factor times the mean.
type BoundedRendezvous struct{ Factor float64 }

func (ExpectedCompletion) sealed() {}
func (RoundRobin) sealed()         {}
func (Random) sealed()             {}
func (LeastReported) sealed()      {}
func (BoundedRendezvous) sealed()  {}

// PickInfo describes the request for which a backend server is picked.
type PickInfo struct {
	// Prefix is a hash of the prompt prefix, 0 for none.
	Prefix uint64
	// Exclude names backend servers already tried; it may be nil.
	Exclude []*Backend
	Now     time.Time
}

// Constants of scoring and ejection.
const (
	// cachedPrefixSaving is the fraction of the service time that a cached prefix
	// saves.
	cachedPrefixSaving = 0.3
	// affinityPrior is the minimum probability assumed that the backend servers to
	// which a prefix hashes have it cached.
	affinityPrior = 0.8
	// fullBatchSlowdown is the added run time of a request on a full engine, as a
	// fraction of the run time on an empty one.
	fullBatchSlowdown = 1
	// failurePenalty is the increase of the score at a failure rate of 1, as a
	// multiple of the score.
	failurePenalty = 10
	// affinityCandidates is the number of backend servers to which a prefix hashes.
	affinityCandidates = 1
	// ejectFailureRate is the failure rate from which a backend server is ejected.
	ejectFailureRate = 0.6
	// ejectionDuration is how long a backend server stays ejected.
	ejectionDuration = 5 * time.Second
	// maxEjectedFraction is the maximum fraction of a set ejected at a time.
	maxEjectedFraction = 0.3
)

// Picker picks one of a set of backend servers; it is safe for concurrent use.
type Picker struct {
	zone string
	// defaultZoneLatency is the one-way latency to other availability zones that
	// are not in zoneLatencies.
	defaultZoneLatency time.Duration
	zoneLatencies      map[string]time.Duration
	strategy           Strategy
	nextIndex          atomic.Uint64
	// meanOtherLoad is the EWMA over random candidates of the load from other entry
	// instances per slot, as float64 bits.
	meanOtherLoad atomic.Uint64
	// meanServiceSeconds is the EWMA over random candidates of the service time in
	// seconds, as float64 bits.
	meanServiceSeconds atomic.Uint64
}

// Option configures a Picker.
type Option func(*Picker)

// WithStrategy sets the algorithm.
func WithStrategy(s Strategy) Option { return func(p *Picker) { p.strategy = s } }

// WithZone sets the own availability zone and the default one-way latency to
// others.
func WithZone(zone string, latency time.Duration) Option {
	return func(p *Picker) { p.zone, p.defaultZoneLatency = zone, latency }
}

// WithZoneLatency sets the one-way latency to an availability zone.
func WithZoneLatency(zone string, latency time.Duration) Option {
	return func(p *Picker) { p.zoneLatencies[zone] = latency }
}

// getZoneLatency returns the one-way latency to an availability zone.
func (p *Picker) getZoneLatency(zone string) time.Duration {
	if zone == p.zone {
		return 0
	}
	if latency, ok := p.zoneLatencies[zone]; ok {
		return latency
	}
	return p.defaultZoneLatency
}

// New returns a Picker.
func New(opts ...Option) *Picker {
	p := &Picker{strategy: ExpectedCompletion{Candidates: 2}, zoneLatencies: make(map[string]time.Duration)}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Pick returns a backend server for a request, or nil if none is available. It
// returns an ejected or excluded one only if the algorithm finds no other.
func (p *Picker) Pick(set []*Backend, pi PickInfo) *Backend {
	if len(set) == 0 {
		return nil
	}
	var b *Backend
	switch s := p.strategy.(type) {
	case ExpectedCompletion:
		b = p.pickExpected(set, pi, s.Candidates)
	case RoundRobin:
		b = p.pickFrom(set, pi, int(p.nextIndex.Add(1)%uint64(len(set))))
	case Random:
		b = p.pickFrom(set, pi, rand.IntN(len(set)))
	case LeastReported:
		b = pickLeastReported(set, pi)
	case BoundedRendezvous:
		b = pickRendezvous(set, pi, s.Factor)
	}
	if b == nil {
		b = pickAny(set, pi)
	}
	return b
}

func (pi PickInfo) excludes(b *Backend) bool {
	for _, e := range pi.Exclude {
		if e == b {
			return true
		}
	}
	return false
}

// isEligible reports whether b is available, not ejected and not excluded.
func (pi PickInfo) isEligible(b *Backend) bool {
	return b.IsAvailable() && b.ejectedUntil.Load() <= pi.Now.UnixNano() && !pi.excludes(b)
}

// pickAny returns an available backend server, even an ejected one; it returns an
// excluded one only if all available ones are excluded.
func pickAny(set []*Backend, pi PickInfo) *Backend {
	var tried *Backend
	start := rand.IntN(len(set))
	for i := range set {
		b := set[(start+i)%len(set)]
		if !b.IsAvailable() {
			continue
		}
		if !pi.excludes(b) {
			return b
		}
		tried = b
	}
	return tried
}

func (p *Picker) pickFrom(set []*Backend, pi PickInfo, start int) *Backend {
	for i := range set {
		if b := set[(start+i)%len(set)]; pi.isEligible(b) {
			return b
		}
	}
	return nil
}

func pickLeastReported(set []*Backend, pi PickInfo) *Backend {
	var best *Backend
	for _, b := range set {
		if pi.isEligible(b) && (best == nil || b.reportedLoad.Load() < best.reportedLoad.Load()) {
			best = b
		}
	}
	return best
}

func pickRendezvous(set []*Backend, pi PickInfo, factor float64) *Backend {
	total := 0.0
	for _, b := range set {
		total += b.knownLoad()
	}
	bound := math.Ceil(factor * (total + 1) / float64(len(set)))
	var best *Backend
	var bestHash uint64
	for _, b := range set {
		if !pi.isEligible(b) || b.knownLoad() >= bound {
			continue
		}
		if h := rendezvousHash(b, pi.Prefix); best == nil || h > bestHash {
			best, bestHash = b, h
		}
	}
	return best
}

// rendezvousHash hashes a backend server together with a prefix.
func rendezvousHash(b *Backend, prefix uint64) uint64 {
	return mixBits(xxhash.Sum64String(b.Name) ^ prefix)
}

// mixBits is the 64-bit finalizer of MurmurHash3.
func mixBits(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// choice is the candidate with the lowest score so far.
type choice struct {
	best  *Backend
	score float64
}

func (c *choice) consider(p *Picker, b *Backend, pi PickInfo, prior float64) {
	if !pi.isEligible(b) {
		return
	}
	if score := p.score(b, pi, prior); c.best == nil || score < c.score {
		c.best, c.score = b, score
	}
}

// pickExpected scores random candidates and those to which the prefix hashes. All
// entry instances hash a prefix to the same ones, which therefore are likely to
// have it cached.
func (p *Picker) pickExpected(set []*Backend, pi PickInfo, candidates int) *Backend {
	var c choice
	if pi.Prefix != 0 {
		for i := range uint64(affinityCandidates) {
			c.consider(p, set[mixBits(pi.Prefix+i)%uint64(len(set))], pi, affinityPrior)
		}
	}
	for range candidates {
		b := set[rand.IntN(len(set))]
		p.updateMeans(b)
		c.consider(p, b, pi, 0)
	}
	if c.best == nil {
		return p.pickFrom(set, pi, rand.IntN(len(set)))
	}
	return c.best
}

// meanEWMAWeight is the weight of one candidate in the means.
const meanEWMAWeight = 0.05

// serviceTimeTolerance is the relative difference of a service time from the mean
// below which it is treated as noise.
const serviceTimeTolerance = 0.3

// updateMeans adds a random candidate to the means. Concurrent updates may be
// lost, which is harmless.
func (p *Picker) updateMeans(b *Backend) {
	updateEWMA(&p.meanOtherLoad, float64(b.otherLoad.Load())/float64(b.concurrency.Load()))
	updateEWMA(&p.meanServiceSeconds, b.getServiceSeconds())
}

func updateEWMA(mean *atomic.Uint64, sample float64) {
	old := math.Float64frombits(mean.Load())
	if old == 0 {
		old = sample
	}
	mean.Store(math.Float64bits(old + meanEWMAWeight*(sample-old)))
}

// getServiceSeconds returns the service time in seconds. It returns the mean if
// the difference is within serviceTimeTolerance, because all entry instances would
// react to the same noise at once.
func (p *Picker) getServiceSeconds(b *Backend) float64 {
	own, mean := b.getServiceSeconds(), math.Float64frombits(p.meanServiceSeconds.Load())
	if mean > 0 && math.Abs(own-mean) < serviceTimeTolerance*mean {
		return mean
	}
	return own
}

// Score returns the expected completion time in seconds, with penalties for
// failures and for a backend server in slow start.
func (p *Picker) Score(b *Backend, pi PickInfo) float64 { return p.score(b, pi, 0) }

// score is Score with prior as the minimum probability that the prefix is cached.
func (p *Picker) score(b *Backend, pi PickInfo, prior float64) float64 {
	now := pi.Now.UnixNano()
	serviceSeconds := p.getServiceSeconds(b)
	slots := float64(b.concurrency.Load())
	load := b.estimateLoad(now, math.Float64frombits(p.meanOtherLoad.Load()))
	rounds := max(load+1-slots, 0) / slots
	runSeconds := serviceSeconds * (1 - cachedPrefixSaving*max(b.cacheProbability(pi.Prefix, now), prior))
	// Even with free slots, a larger batch makes each pass slower.
	runSeconds *= 1 + fullBatchSlowdown*min(load/slots, 1)
	score := (rounds*serviceSeconds+runSeconds)/b.slowStartFactor(now) + 2*p.getZoneLatency(b.Zone).Seconds()
	return score * (1 + failurePenalty*b.GetFailureRate())
}

// Eject ejects backend servers with a high failure rate for ejectionDuration and
// returns them. At most maxEjectedFraction of the set is ejected at a time.
func Eject(set []*Backend, now time.Time) []*Backend {
	ejectedCount := 0
	for _, b := range set {
		if b.ejectedUntil.Load() > now.UnixNano() {
			ejectedCount++
		}
	}
	var ejected []*Backend
	for _, b := range set {
		if b.GetFailureRate() < ejectFailureRate || b.ejectedUntil.Load() > now.UnixNano() {
			continue
		}
		if float64(ejectedCount+1) > maxEjectedFraction*float64(len(set)) {
			break
		}
		ejectedCount++
		b.ejectedUntil.Store(now.Add(ejectionDuration).UnixNano())
		b.failureRate.Store(math.Float64bits(ejectFailureRate / 2))
		ejected = append(ejected, b)
	}
	return ejected
}
