// Package aggregator sums the demand of client accounts over entry instances.
// Accounts are divided into shards. In each availability zone one entry instance,
// found by rendezvous hashing, sums a shard for its zone and sends the sums to its
// counterparts in the other zones. The number of messages of an entry instance
// therefore grows with the accounts it serves and with the zones, not with the
// number of instances.
package aggregator

import (
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	"siskinfall/internal/store/storer"
	"siskinfall/internal/wire/encoder"
)

// ShardCount is the number of shards into which client accounts are divided.
const ShardCount = 48

// GetShard returns the shard of a client account.
func GetShard(account string) int { return int(xxhash.Sum64String(account) % ShardCount) }

// Plan assigns each shard to an entry instance in every availability zone; it is
// immutable.
type Plan struct {
	// byZone holds, for each availability zone, the instance of each shard.
	byZone map[string][ShardCount]storer.Instance
}

// NewPlan returns the plan for a list of entry instances. Equal lists give equal
// plans, and few shards are reassigned when an instance is added or removed.
func NewPlan(entries []storer.Instance) *Plan {
	p := &Plan{byZone: make(map[string][ShardCount]storer.Instance)}
	zones := make(map[string][]storer.Instance)
	for _, in := range entries {
		zones[in.Zone] = append(zones[in.Zone], in)
	}
	for zone, list := range zones {
		var shards [ShardCount]storer.Instance
		for shard := range shards {
			shards[shard] = pickByHash(list, shard)
		}
		p.byZone[zone] = shards
	}
	return p
}

// pickByHash returns the instance with the highest hash of its name seeded with
// the shard.
func pickByHash(list []storer.Instance, shard int) storer.Instance {
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

// GetInstance returns the instance that sums a shard in a zone, and false if the
// zone has no entry instances.
func (p *Plan) GetInstance(zone string, shard int) (storer.Instance, bool) {
	shards, ok := p.byZone[zone]
	return shards[shard], ok
}

// GetZones returns the names of the availability zones, sorted.
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
	// instanceDemands holds the demand at each instance of the own zone by account.
	// The last report of an instance counts until the instance is no longer listed.
	instanceDemands map[string]map[string]uint64
	// zoneDemands holds the sums of each other zone by account, likewise until the
	// zone is no longer listed.
	zoneDemands map[string]map[string]uint64
}

// New returns an Aggregator of a zone.
func New(zone string) *Aggregator {
	return &Aggregator{zone: zone, instanceDemands: make(map[string]map[string]uint64), zoneDemands: make(map[string]map[string]uint64)}
}

// RetainListed removes the demand of instances and zones that are no longer listed.
func (a *Aggregator) RetainListed(entries []storer.Instance) {
	names, zones := make(map[string]bool), make(map[string]bool)
	for _, in := range entries {
		names[in.Name], zones[in.Zone] = true, true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for name := range a.instanceDemands {
		if !names[name] {
			delete(a.instanceDemands, name)
		}
	}
	for zone := range a.zoneDemands {
		if !zones[zone] {
			delete(a.zoneDemands, zone)
		}
	}
}

// Report records the demand at an instance of the own zone and returns, for the
// same accounts, the sums over all zones.
func (a *Aggregator) Report(r *encoder.ShareReport) *encoder.ShareReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.instanceDemands[r.GetInstance()] = indexDemand(r.GetUses())
	reply := &encoder.ShareReport{Zone: a.zone, Uses: make([]*encoder.AccountUse, 0, len(r.GetUses()))}
	for _, use := range r.GetUses() {
		account := use.GetClientAccount()
		total := sumDemand(a.instanceDemands, account) + sumDemand(a.zoneDemands, account)
		reply.Uses = append(reply.Uses, &encoder.AccountUse{ClientAccount: account, DemandMilli: total})
	}
	return reply
}

// MergeZone records sums of another zone. Accounts that are not in the report keep
// their value.
func (a *Aggregator) MergeZone(r *encoder.ShareReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sums := a.zoneDemands[r.GetZone()]
	if sums == nil {
		sums = make(map[string]uint64)
		a.zoneDemands[r.GetZone()] = sums
	}
	for _, use := range r.GetUses() {
		sums[use.GetClientAccount()] = use.GetDemandMilli()
	}
}

// GetZoneSums returns the demand of the own zone by account, grouped by shard.
func (a *Aggregator) GetZoneSums() map[int][]*encoder.AccountUse {
	a.mu.Lock()
	defer a.mu.Unlock()
	sums := make(map[string]uint64)
	for _, demand := range a.instanceDemands {
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

func indexDemand(uses []*encoder.AccountUse) map[string]uint64 {
	demand := make(map[string]uint64, len(uses))
	for _, use := range uses {
		demand[use.GetClientAccount()] = use.GetDemandMilli()
	}
	return demand
}

func sumDemand(demands map[string]map[string]uint64, account string) uint64 {
	total := uint64(0)
	for _, demand := range demands {
		total += demand[account]
	}
	return total
}
