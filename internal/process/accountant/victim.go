package accountant

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minStall is how long a connection makes no progress at least before it is closed for others.
	minStall = time.Second
	// victimsAtOnce is the number of connections that are chosen together, so that a crowd causes
	// few searches.
	victimsAtOnce = 16
	// searchPause is the time between two searches that found none.
	searchPause = 50 * time.Millisecond
)

// resource is a Use, or the units of connections and requests.
type resource int

const (
	units     = resource(uses)
	resources = units + 1
)

// request asks for bytes, or for a unit.
type request struct {
	by       *Account
	resource resource
	bytes    int64
	now      time.Time
}

// take charges if there is room, after others have given way if need be, and the account is
// still in use.
func (a *Accountant) take(r request, charge func()) bool {
	a.mu.Lock()
	var victims []*Account
	if !a.hasRoom(r) && !r.now.Before(a.nextSearch[r.resource]) {
		victims = a.findVictims(r)
		for _, v := range victims {
			v.evicted.Store(true)
			v.close()
		}
		if len(victims) == 0 {
			a.nextSearch[r.resource] = r.now.Add(searchPause)
		}
	}
	ok := !r.by.evicted.Load() && r.by.isOpen && a.hasRoom(r)
	if ok {
		charge()
	}
	a.mu.Unlock()
	for _, v := range victims {
		v.owner.Evict()
	}
	return ok
}

// hasRoom reports whether a request fits. The caller holds mu.
func (a *Accountant) hasRoom(r request) bool {
	if r.resource == units {
		return a.units < a.maxUnits
	}
	return a.held[r.resource]+r.bytes <= a.max[r.resource]
}

// victim is an account with its state when it was chosen.
type victim struct {
	*Account
	stage Stage
	since int64
}

// findVictims returns accounts that hold what is asked for and have made no progress for
// minStall, or are closing: those of the lowest stage, and of these the ones that have waited the longest.
// Idle ones, which ordinary callers reuse, are chosen one by one. The caller holds mu.
func (a *Accountant) findVictims(r request) []*Account {
	latest := r.now.Add(-minStall).UnixNano()
	var found []victim
	for acc := range a.accounts {
		v := victim{acc, acc.GetStage(), acc.since.Load()}
		if acc != r.by && v.stage != Working && (v.stage == Closing || v.since <= latest) && (r.resource == units || acc.bytes[r.resource] > 0) {
			found = append(found, v)
		}
	}
	slices.SortFunc(found, func(x, y victim) int {
		return cmp.Or(cmp.Compare(x.stage, y.stage), cmp.Compare(x.since, y.since))
	})
	out := make([]*Account, 0, victimsAtOnce)
	for i, v := range found[:min(len(found), victimsAtOnce)] {
		if i > 0 && (v.stage == Idle || v.stage != found[0].stage) {
			break
		}
		out = append(out, v.Account)
	}
	return out
}
