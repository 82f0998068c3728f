// Package aggregator sums the demand of client accounts over entry instances.
// Accounts fall into shards; in each availability zone one entry instance, found
// by hashing, sums a shard for its zone and tells the sums to its counterparts in
// the other zones. So the messages of an entry instance grow with the accounts
// it serves and with the zones, not with the number of instances.
package aggregator

import (
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	"siskinfall/internal/store/storer"
	"siskinfall/internal/wire/encoder"
)

// Shards is the number of parts into which accounts fall.
const Shards = 48

// GetShard returns the shard of a client account.
func GetShard(account string) int { return int(xxhash.Sum64String(account) % Shards) }

// Plan says which entry instance sums which shard in which availability zone.
type Plan struct {
	// byZone holds the instance of each shard.
	byZone map[string][Shards]storer.Instance
}

// NewPlan returns the plan for a list of entry instances. Equal lists give equal
// plans, and few shards move when an instance comes or goes.
func NewPlan(entries []storer.Instance) *Plan {
	p := &Plan{byZone: make(map[string][Shards]storer.Instance)}
	zones := make(map[string][]storer.Instance)
	for _, in := range entries {
		zones[in.Zone] = append(zones[in.Zone], in)
	}
	for zone, list := range zones {
		var shards [Shards]storer.Instance
		for shard := range shards {
			shards[shard] = highest(list, shard)
		}
		p.byZone[zone] = shards
	}
	return p
}

// highest picks the instance with the highest hash together with a shard.
func highest(list []storer.Instance, shard int) storer.Instance {
	best := list[0]
	var bestHash uint64
	for _, in := range list {
		d := xxhash.NewWithSeed(uint64(shard))
		_, _ = d.WriteString(in.Name)
		if h := d.Sum64(); h > bestHash {
			best, bestHash = in, h
		}
	}
	return best
}

// GetInstance returns who sums a shard in a zone.
func (p *Plan) GetInstance(zone string, shard int) (storer.Instance, bool) {
	shards, ok := p.byZone[zone]
	return shards[shard], ok
}

// GetZones returns the zones, sorted.
func (p *Plan) GetZones() []string {
	zones := make([]string, 0, len(p.byZone))
	for zone := range p.byZone {
		zones = append(zones, zone)
	}
	sort.Strings(zones)
	return zones
}

// Aggregator sums shards at one entry instance; it is safe for concurrent use.
type Aggregator struct {
	zone string
	mu   sync.Mutex
	// own holds the demand of each instance of the own zone, by account. A silent
	// instance keeps its demand until it is no longer listed.
	own map[string]map[string]uint64
	// zones holds the sums of other zones, by account, likewise.
	zones map[string]map[string]uint64
}

// New returns an Aggregator of a zone.
func New(zone string) *Aggregator {
	return &Aggregator{zone: zone, own: make(map[string]map[string]uint64), zones: make(map[string]map[string]uint64)}
}

// SetListed drops what came from instances and zones that are no longer listed.
func (a *Aggregator) SetListed(entries []storer.Instance) {
	names, zones := make(map[string]bool), make(map[string]bool)
	for _, in := range entries {
		names[in.Name], zones[in.Zone] = true, true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for name := range a.own {
		if !names[name] {
			delete(a.own, name)
		}
	}
	for zone := range a.zones {
		if !zones[zone] {
			delete(a.zones, zone)
		}
	}
}

// Report takes in the demand at an instance of the own zone and returns the
// sums over all zones.
func (a *Aggregator) Report(r *encoder.ShareReport) *encoder.ShareReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.own[r.GetInstance()] = newDemand(r.GetUses())
	reply := &encoder.ShareReport{Zone: a.zone, Uses: make([]*encoder.AccountUse, 0, len(r.GetUses()))}
	for _, use := range r.GetUses() {
		account := use.GetClientAccount()
		total := sumOf(a.own, account) + sumOf(a.zones, account)
		reply.Uses = append(reply.Uses, &encoder.AccountUse{ClientAccount: account, DemandMilli: total})
	}
	return reply
}

// MergeZone takes in the sums of another zone.
func (a *Aggregator) MergeZone(r *encoder.ShareReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sums := a.zones[r.GetZone()]
	if sums == nil {
		sums = make(map[string]uint64)
		a.zones[r.GetZone()] = sums
	}
	for _, use := range r.GetUses() {
		sums[use.GetClientAccount()] = use.GetDemandMilli()
	}
}

// GetZoneSums returns the sums of the own zone by shard.
func (a *Aggregator) GetZoneSums() map[int][]*encoder.AccountUse {
	a.mu.Lock()
	defer a.mu.Unlock()
	sums := make(map[string]uint64)
	for _, demand := range a.own {
		for account, v := range demand {
			sums[account] += v
		}
	}
	byShard := make(map[int][]*encoder.AccountUse)
	for account, v := range sums {
		shard := GetShard(account)
		byShard[shard] = append(byShard[shard], &encoder.AccountUse{ClientAccount: account, DemandMilli: v})
	}
	return byShard
}

func newDemand(uses []*encoder.AccountUse) map[string]uint64 {
	demand := make(map[string]uint64, len(uses))
	for _, use := range uses {
		demand[use.GetClientAccount()] = use.GetDemandMilli()
	}
	return demand
}

func sumOf(by map[string]map[string]uint64, account string) uint64 {
	total := uint64(0)
	for _, demand := range by {
		total += demand[account]
	}
	return total
}
