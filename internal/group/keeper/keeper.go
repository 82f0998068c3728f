// Package keeper keeps what the leader of a model group has learnt about it, on several
// sidecars, so that it outlives the epoch and the leader. The map in force is not kept: a new
// epoch starts from the initial map, from which the old one can't be reached in one change.
// The demand that it was made for is, since it tells the best map that can be.
//
// Load pattern: a group opens again after a cut, under load and with its initial map, and the
// sidecar that led it may be another one's successor or may have been restarted.
package keeper

import (
	"math"
	"sync"
	"time"
)

// maxAge is how long a demand is kept after it was observed: the longest cut that a group
// outlives with its requests, and the time between two shares of an unchanged demand.
const maxAge = 30 * time.Second

// Demand is the demand of a group when it was last observed.
type Demand struct {
	// Group is the name of the group.
	Group string
	// Shares is the demand by layer set and expert, in shares of the layer set.
	Shares [][]float64
	// ObservedAt is by the clock of this process.
	ObservedAt time.Time
}

// hasShape reports whether every layer set has so many experts.
func (d Demand) hasShape(layerSets, experts int) bool {
	if len(d.Shares) != layerSets {
		return false
	}
	for _, set := range d.Shares {
		if len(set) != experts {
			return false
		}
	}
	return true
}

// Keeper keeps the latest demand. It is safe for concurrent use. The zero value is empty.
type Keeper struct {
	mu     sync.Mutex
	latest Demand
}

// KeepDemand keeps a demand unless the one kept is of the same group and was observed later.
func (k *Keeper) KeepDemand(d Demand) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.latest.Group == d.Group && k.latest.ObservedAt.After(d.ObservedAt) {
		return
	}
	k.latest = d
}

// GetDemand returns the demand of a group. It returns false if none is kept that was observed
// within maxAge.
func (k *Keeper) GetDemand(group string, now time.Time) (Demand, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	d := k.latest
	return d, d.Group == group && len(d.Shares) > 0 && now.Sub(d.ObservedAt) < maxAge
}

// GetDemandOf is GetDemand for a group of a known shape.
func (k *Keeper) GetDemandOf(group string, layerSets, experts int, now time.Time) (Demand, bool) {
	d, ok := k.GetDemand(group, now)
	return d, ok && d.hasShape(layerSets, experts)
}

// maxLevel is the level of the hottest expert of a layer set in an encoded demand.
const maxLevel = math.MaxUint8

// EncodeShares encodes a demand with one byte for each layer set and expert: the square root of
// its share, in parts of that of the hottest expert.
func EncodeShares(shares [][]float64) []byte {
	var out []byte
	for _, set := range shares {
		highest := 0.0
		for _, v := range set {
			highest = max(highest, v)
		}
		for _, v := range set {
			level := 0.0
			if highest > 0 {
				level = math.Round(maxLevel * math.Sqrt(v/highest))
			}
			out = append(out, byte(level))
		}
	}
	return out
}

// DecodeShares decodes a demand of a number of layer sets. It returns nil if the encoding does
// not fit.
func DecodeShares(encoded []byte, layerSets int) [][]float64 {
	if layerSets <= 0 || len(encoded) == 0 || len(encoded)%layerSets != 0 {
		return nil
	}
	experts := len(encoded) / layerSets
	shares := make([][]float64, layerSets)
	for s := range shares {
		shares[s] = make([]float64, experts)
		total := 0.0
		for e, level := range encoded[s*experts : (s+1)*experts] {
			shares[s][e] = float64(level) * float64(level)
			total += shares[s][e]
		}
		if total == 0 {
			return nil
		}
		for e := range shares[s] {
			shares[s][e] /= total
		}
	}
	return shares
}
