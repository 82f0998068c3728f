package registrar

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"siskinfall/internal/check/asserter"
	"siskinfall/internal/wire/encoder"
)

// Snapshot is the configuration in force at one moment. It is immutable.
type Snapshot struct {
	Accounts map[string]*ClientAccount
	Services map[string]*Service
	Groups   map[string]*Group
	// Ranking is never nil.
	Ranking *Ranking
	// Entities holds every entity in force, including deleted ones.
	Entities map[Ref]*encoder.Entity
	// Digest is equal for two snapshots whose entities have the same numbers.
	Digest uint64
	// byKey maps the SHA-256 sum of a bearer key to its account.
	byKey map[[sha256.Size]byte]*ClientAccount
}

// defaultRanking is in force until a ticket sets another.
var defaultRanking = &Ranking{
	Name:    RankingName,
	Classes: []Class{{Name: "field"}, {Name: "background", Floor: 0.05}},
}

// ActiveConfig holds the configuration in force in one process. The number of an entity
// never decreases.
type ActiveConfig struct {
	mu sync.Mutex
	// snap is replaced as a whole under mu.
	snap atomic.Pointer[Snapshot]
	// watchers are called after each change, outside mu.
	watchers []func(changed []*encoder.Entity)
}

// NewActiveConfig returns an empty ActiveConfig.
func NewActiveConfig() *ActiveConfig {
	c := &ActiveConfig{}
	c.snap.Store(newSnapshot())
	return c
}

// Get returns the snapshot in force.
func (c *ActiveConfig) Get() *Snapshot { return c.snap.Load() }

// Watch calls f after every change.
func (c *ActiveConfig) Watch(f func(changed []*encoder.Entity)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchers = append(c.watchers, f)
}

// Apply merges entities into the configuration. For each entity the highest
// number wins, so the order of calls does not matter. It returns the entities
// that changed.
func (c *ActiveConfig) Apply(entities []*encoder.Entity) []*encoder.Entity {
	c.mu.Lock()
	old := c.snap.Load()
	newer := old.selectNewer(entities)
	if len(newer) == 0 {
		c.mu.Unlock()
		return nil
	}
	snap := old.clone()
	var changed []*encoder.Entity
	for _, e := range newer {
		if snap.set(e) {
			changed = append(changed, e)
		}
	}
	if err := checkMonotonic(old, snap); err != nil {
		c.mu.Unlock()
		return nil
	}
	c.snap.Store(snap)
	watchers := slices.Clone(c.watchers)
	c.mu.Unlock()
	for _, f := range watchers {
		f(changed)
	}
	return changed
}

// selectNewer returns the entities whose numbers are above those in force.
func (s *Snapshot) selectNewer(entities []*encoder.Entity) []*encoder.Entity {
	var newer []*encoder.Entity
	for _, e := range entities {
		if e.GetNumber() > s.GetNumber(refOf(e)) {
			newer = append(newer, e)
		}
	}
	return newer
}

func refOf(e *encoder.Entity) Ref { return Ref{Kind: Kind(e.GetKind()), Name: e.GetName()} }

// clone returns a copy whose maps may be changed.
func (s *Snapshot) clone() *Snapshot {
	next := *s
	next.Accounts, next.Services, next.Groups = maps.Clone(s.Accounts), maps.Clone(s.Services), maps.Clone(s.Groups)
	next.Entities, next.byKey = maps.Clone(s.Entities), maps.Clone(s.byKey)
	return &next
}

// set stores an entity in a clone and reports whether it did so. It ignores an
// entity that is not newer or can't be decoded.
func (s *Snapshot) set(e *encoder.Entity) bool {
	ref := refOf(e)
	cur := s.Entities[ref]
	if cur.GetNumber() >= e.GetNumber() {
		return false
	}
	a, err := decodeEntity(e)
	if err != nil {
		log.Error("ignoring an entity that can't be decoded", "step", "decode_entity", "entity", ref, "error", err)
		return false
	}
	if cur != nil {
		s.Digest -= entityDigest(ref, cur.GetNumber())
	}
	s.remove(ref)
	s.add(a)
	s.Entities[ref] = e
	s.Digest += entityDigest(ref, e.GetNumber())
	return true
}

// remove deletes an aggregate, but keeps its entity.
func (s *Snapshot) remove(ref Ref) {
	switch ref.Kind {
	case KindClientAccount:
		if a := s.Accounts[ref.Name]; a != nil {
			maps.DeleteFunc(s.byKey, func(_ [sha256.Size]byte, other *ClientAccount) bool { return other == a })
		}
		delete(s.Accounts, ref.Name)
	case KindService:
		delete(s.Services, ref.Name)
	case KindGroup:
		delete(s.Groups, ref.Name)
	case KindRanking:
		s.Ranking = defaultRanking
	}
}

func checkMonotonic(old, next *Snapshot) error {
	for ref, e := range old.Entities {
		number := next.Entities[ref].GetNumber()
		err := asserter.Holds(number >= e.GetNumber(), asserter.RuleMonotone, "%s fell from %d to %d", ref, e.GetNumber(), number)
		if err != nil {
			return err
		}
	}
	return nil
}

func newSnapshot() *Snapshot {
	return &Snapshot{
		Accounts: make(map[string]*ClientAccount),
		Services: make(map[string]*Service),
		Groups:   make(map[string]*Group),
		Ranking:  defaultRanking,
		Entities: make(map[Ref]*encoder.Entity),
		byKey:    make(map[[sha256.Size]byte]*ClientAccount),
	}
}

func (s *Snapshot) add(a Aggregate) {
	switch a := a.(type) {
	case *ClientAccount:
		s.Accounts[a.Name] = a
		for _, h := range a.KeyHashes {
			raw, err := hex.DecodeString(h)
			if err == nil && len(raw) == sha256.Size {
				s.byKey[[sha256.Size]byte(raw)] = a
			}
		}
	case *Service:
		s.Services[a.Name] = a
	case *Group:
		s.Groups[a.Name] = a
	case *Ranking:
		s.Ranking = a
	}
}

// entityDigest hashes a reference and a number. Digests are added up, so that the
// result does not depend on the order of entities.
func entityDigest(ref Ref, number uint64) uint64 {
	var buf [8]byte
	for i := range buf {
		buf[i] = byte(number >> (8 * i))
	}
	d := xxhash.New()
	_, _ = d.WriteString(ref.String())
	_, _ = d.Write(buf[:])
	return d.Sum64()
}

// GetAccountByKey returns the account of a bearer key. Only hashes are
// compared: the lookup reveals nothing of the key, and the final comparison
// takes constant time.
func (s *Snapshot) GetAccountByKey(key string) (*ClientAccount, bool) {
	sum := sha256.Sum256([]byte(key))
	a := s.byKey[sum]
	if a == nil {
		return nil, false
	}
	for _, h := range a.KeyHashes {
		raw, err := hex.DecodeString(h)
		if err == nil && subtle.ConstantTimeCompare(raw, sum[:]) == 1 {
			return a, true
		}
	}
	return nil, false
}

// GetNumber returns the number in force of an entity, 0 if it was never set.
func (s *Snapshot) GetNumber(ref Ref) uint64 { return s.Entities[ref].GetNumber() }

// GetClassIndex returns the index of a class in the ranking, where 0 has the
// highest precedence. An unknown class gets the last index.
func (s *Snapshot) GetClassIndex(name string) int {
	for i, c := range s.Ranking.Classes {
		if c.Name == name {
			return i
		}
	}
	return len(s.Ranking.Classes) - 1
}

// GetServiceByPath returns the plain service with the longest matching prefix.
func (s *Snapshot) GetServiceByPath(path string) (*Service, bool) {
	var best *Service
	for _, svc := range s.Services {
		if svc.Kind != ServicePlain || !strings.HasPrefix(path, svc.PathPrefix) {
			continue
		}
		if best == nil || len(svc.PathPrefix) > len(best.PathPrefix) {
			best = svc
		}
	}
	return best, best != nil
}

// IsIdempotent reports whether a request may run more than once.
func (s *Service) IsIdempotent(method, path string) bool {
	for _, r := range s.Routes {
		if slices.Contains(r.Methods, method) && strings.HasPrefix(path, r.PathPrefix) {
			return r.Idempotent
		}
	}
	return s.Kind == ServiceModel || method == "GET" || method == "HEAD"
}

// Numbers returns the number of every entity, for comparison with a peer.
func (s *Snapshot) Numbers() []*encoder.EntityNumber {
	list := make([]*encoder.EntityNumber, 0, len(s.Entities))
	for ref, e := range s.Entities {
		list = append(list, &encoder.EntityNumber{Kind: string(ref.Kind), Name: ref.Name, Number: e.GetNumber()})
	}
	return list
}

// NewerThan returns the entities whose numbers are above the peer's.
func (s *Snapshot) NewerThan(peer []*encoder.EntityNumber) []*encoder.Entity {
	peerNumbers := make(map[Ref]uint64, len(peer))
	for _, n := range peer {
		peerNumbers[Ref{Kind: Kind(n.GetKind()), Name: n.GetName()}] = n.GetNumber()
	}
	var list []*encoder.Entity
	for ref, e := range s.Entities {
		if e.GetNumber() > peerNumbers[ref] {
			list = append(list, e)
		}
	}
	return list
}

// ForAgent returns the entities that an agent uses: its service, its group and
// the ranking.
func (s *Snapshot) ForAgent(service, group string) []*encoder.Entity {
	var list []*encoder.Entity
	for ref, e := range s.Entities {
		switch {
		case ref.Kind == KindRanking,
			ref.Kind == KindService && ref.Name == service,
			ref.Kind == KindGroup && ref.Name == group:
			list = append(list, e)
		}
	}
	return list
}
