// Package quarantiner blocks poison requests, which crash the backend servers that run
// them, on all gateways, even while the store is unavailable.
//
// Load pattern: a request crashes each backend server that begins to run it, and its
// caller sends it repeatedly, to any gateway. Beside it, requests that many callers send
// lose servers for other reasons and must still be served.
package quarantiner

import (
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxCrashes is the number of crashes after which a request is blocked. Fewer
	// lost servers could be due to network failures.
	maxCrashes = 3
	// maxGroupCrashes is that for a request whose servers are ranks of a model group. Each
	// crash stops all requests of the group for seconds, and of those in progress on the
	// rank that crashed first, few are there again when another one crashes.
	maxGroupCrashes = 2
	// crashTTL is how long a lost server counts against a request.
	crashTTL = 10 * time.Minute
	// forgetAfter is how long a lost server is remembered. It exceeds crashTTL by more than
	// gateways differ in its age, so that none learns it again from another one.
	forgetAfter = 2 * crashTTL
	// servedWindow is how long a request that was served is not blamed for lost servers.
	servedWindow = 30 * time.Second
	// maxEntries bounds the number of requests kept; the oldest are evicted first.
	// maxLosses bounds the lost servers kept for each.
	maxEntries = 4096
	maxLosses  = 64
)

// Digest identifies a request by the parts that are the same in a client retry.
func Digest(method, path, account string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(strings.Join([]string{method, path, account}, "\x00"))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// entry holds the servers that were lost while they ran one request, or requests with one
// part of a prompt.
type entry struct {
	losses map[LossID]*Loss
	// position is that of the part in the prompt, from 1; 0 for a whole request.
	position int
	// answeredBefore is the number of requests that were answered before the first loss that
	// counts.
	answeredBefore uint64
	// updatedAt is the time of the latest change.
	updatedAt time.Time
	// trial is the trial that this gateway has announced, nil if there is none.
	trial *trial
	// isKept is set once the losses must outlive all gateways, and never unset.
	isKept bool
	// isRival is set for a part that was there in all crashes of a convicted one.
	isRival bool
}

// Set holds the lost servers by request. Sets that exchange their contents converge: a
// loss that arrives twice, late or by way of other gateways counts once. It is safe for
// concurrent use.
type Set struct {
	mu       sync.Mutex
	observer uint64
	// lastNumber is the number of the latest loss that this gateway observed.
	lastNumber uint64
	entries    map[uint64]*entry
	served     servedLog
	// arrivals and answered are the prompts that have come to this gateway, and the number of
	// requests with parts whose answers have got beyond their beginning.
	arrivals partLog
	answered uint64
	// peerArrivals holds what other gateways have said of the prompts that came to them, by
	// observer.
	peerArrivals map[uint64]peerArrivals
	// suspects are the parts that were there in enough crashes, at the latest review of the
	// verdicts, at reviewedAt. Convicted ones and their rivals come first.
	suspects   []uint64
	reviewedAt time.Time
	// suspectServers holds the latest loss of each server that parts are suspected of.
	suspectServers map[Server]time.Time
	fleet          fleet
	// complete is set once all reachable gateways were asked for their losses at the start, and
	// recovered once a complete one has answered, or what was kept outside them is known.
	complete, recovered bool
	// keptChanged is closed and replaced with each change of the kept losses.
	keptChanged chan struct{}
}

// Option configures a Set.
type Option func(*Set)

// WithPeers makes the set incomplete until SetComplete and SetRecovered are called.
func WithPeers() Option { return func(s *Set) { s.complete, s.recovered = false, false } }

// New returns an empty Set. The observer identifies the process among all gateways and
// their earlier incarnations.
func New(observer uint64, opts ...Option) *Set {
	s := &Set{
		observer: observer, entries: make(map[uint64]*entry), served: newServedLog(), complete: true, recovered: true,
		suspectServers: make(map[Server]time.Time), peerArrivals: make(map[uint64]peerArrivals),
		keptChanged: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// SetComplete says that all reachable gateways have been asked for their losses.
func (s *Set) SetComplete() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.complete = true
}

// SetRecovered says that the set has the losses that were known before this gateway started:
// from a gateway whose set is complete, or from where they are kept outside the gateways.
func (s *Set) SetRecovered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recovered = true
}

// IsRecovered reports whether SetRecovered was called.
func (s *Set) IsRecovered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recovered
}

// IsComplete reports whether the set has the losses that were known when this gateway started.
// Before that, a request that is blocked may look harmless.
func (s *Set) IsComplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete && s.recovered
}

// LossOption describes a loss.
type LossOption func(*Loss)

// InGroup says that the server was a rank of a model group, all of which stops with it.
func InGroup() LossOption { return func(l *Loss) { l.InGroup = true } }

// AddLoss records that a server was lost at now, while it ran a request that this gateway
// had sent at sentAt. It returns the number of crashes of the request.
func (s *Set) AddLoss(digest uint64, server Server, sentAt, now time.Time, opts ...LossOption) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[digest]
	if e == nil || !e.hasLossSince(s.observer, server, sentAt) {
		s.addOwn(digest, server, now, opts...)
	}
	if e != nil && e.trial != nil && e.trial.isSpent {
		e.retractTrial()
	}
	return s.entries[digest].countCrashes(now)
}

// addOwn adds a loss that this gateway has observed.
func (s *Set) addOwn(digest uint64, server Server, now time.Time, opts ...LossOption) *Loss {
	s.lastNumber++
	position := 0
	if e := s.entries[digest]; e != nil {
		position = e.position
	}
	l := Loss{
		LossID: LossID{Observer: s.observer, Number: s.lastNumber}, Server: server, At: now,
		Explained: s.isInnocent(Record{Digest: digest, PartPosition: position}, now, now),
	}
	for _, opt := range opts {
		opt(&l)
	}
	return s.put(digest, position, l, now)
}

// AddServed records that a server ran a request and survived. The request is not to blame
// for the servers that were lost under it shortly before or while it ran. It returns the
// number of losses that counted until then.
func (s *Set) AddServed(digest uint64, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served.add(digest, now)
	e := s.entries[digest]
	if e == nil {
		return 0
	}
	e.trial = nil
	n := e.explain(now)
	if n > 0 {
		s.noteChange(e, now)
	}
	return n
}

// IsBlocked reports whether a request is blocked, itself or by a part of its prompt, and must
// not be sent to any server.
func (s *Set) IsBlocked(digest uint64, now time.Time, parts ...uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.getBlocked(digest, parts, now)) > 0
}

// IsSuspect reports whether a server was lost under a request, or under a part of its prompt,
// that has no other explanation. Such a request must not be at two servers at a time.
func (s *Set) IsSuspect(digest uint64, now time.Time, parts ...uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range append([]uint64{digest}, parts...) {
		if e := s.entries[d]; e != nil && e.countCrashes(now) > 0 {
			return true
		}
	}
	return false
}

// getBlocked returns which of a request and its parts are blocked.
func (s *Set) getBlocked(digest uint64, parts []uint64, now time.Time) []uint64 {
	var blocked []uint64
	if e := s.entries[digest]; e != nil && e.isBlocked(now) {
		blocked = append(blocked, digest)
	}
	for _, part := range parts {
		if e := s.entries[part]; e != nil && e.isBlocked(now) {
			blocked = append(blocked, part)
		}
	}
	return blocked
}

func (e *entry) isBlocked(now time.Time) bool {
	if e.position > 0 {
		return e.isConvicted(now)
	}
	return e.countCrashes(now) >= e.getLimit(now)
}

// put adds a loss to the entry of a request or a part, and returns it. Without room, the
// oldest loss is forgotten.
func (s *Set) put(digest uint64, position int, l Loss, now time.Time) *Loss {
	e := s.entries[digest]
	if e == nil {
		if len(s.entries) >= maxEntries {
			s.evictOldest()
		}
		e = &entry{losses: make(map[LossID]*Loss), position: position}
		s.entries[digest] = e
	}
	if position > 0 {
		if e.getLatest(now).IsZero() {
			e.answeredBefore = s.answered
		}
		if l.Server != (Server{}) {
			s.suspectServers[l.Server] = l.At
		}
	}
	e.losses[l.LossID] = &l
	e.updatedAt = now
	if len(e.losses) > maxLosses {
		e.evictOldest()
	}
	s.noteChange(e, now)
	return &l
}

// expire forgets old losses, and requests without any.
func (s *Set) expire(now time.Time) {
	for digest, e := range s.entries {
		for id, l := range e.losses {
			if now.Sub(l.At) > forgetAfter {
				delete(e.losses, id)
			}
		}
		if len(e.losses) == 0 {
			delete(s.entries, digest)
		}
	}
	maps.DeleteFunc(s.suspectServers, func(_ Server, at time.Time) bool { return now.Sub(at) > crashTTL })
}

func (s *Set) evictOldest() {
	var oldest uint64
	var oldestAt time.Time
	for digest, e := range s.entries {
		if oldestAt.IsZero() || e.updatedAt.Before(oldestAt) {
			oldest, oldestAt = digest, e.updatedAt
		}
	}
	delete(s.entries, oldest)
}
