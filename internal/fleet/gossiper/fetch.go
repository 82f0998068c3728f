package gossiper

import (
	"sync"
	"time"

	"siskinfall/internal/fleet/lister"
)

// Load pattern: a catalog of hundreds of kilobytes, or the list of hundreds of servers,
// changes while tens of gateways exchange state. Most of them read the change from the
// store. Any other one fetches it from one gateway at a time, since all that have it would
// fill its link with copies.

// part is a part of the state that gateways fetch from each other.
type part int

const (
	partCatalog part = iota
	partServers
	partCount
)

// parts is a set of parts.
type parts [partCount]bool

const (
	// fetchDelay is how long a gateway that reads the store waits for a change from there,
	// maxFetchDelay that in a large fleet. They exceed the pauses between two reads.
	fetchDelay    = 400 * time.Millisecond
	maxFetchDelay = 900 * time.Millisecond
	// fetchTimeout is how long a fetch is waited for before another gateway is asked.
	fetchTimeout = 600 * time.Millisecond
)

// lag says which state of another gateway is newer than that here.
type lag struct {
	newer parts
	// own holds the positions of the state here; that of the catalog is its version.
	own [partCount]lister.Position
	// storeDelay is how long the store may take to deliver newer state, 0 if this gateway
	// does not read it.
	storeDelay time.Duration
}

// fetches coordinates the fetches from all gateways. It is safe for concurrent use.
type fetches struct {
	mu    sync.Mutex
	parts [partCount]fetch
}

// fetch is the state of one part.
type fetch struct {
	// behindSince is when state newer than own was first heard of, zero if there is none.
	behindSince time.Time
	own         lister.Position
	// begunAt is when the latest fetch began, zero if it has ended.
	begunAt time.Time
}

// begin returns the parts to fetch now from a gateway, and records that they are fetched.
func (f *fetches) begin(l lag, now time.Time) parts {
	f.mu.Lock()
	defer f.mu.Unlock()
	due := f.due(l, now)
	for p := range f.parts {
		if due[p] {
			f.parts[p].begunAt = now
		}
	}
	return due
}

// getDue returns the parts to fetch now from a gateway.
func (f *fetches) getDue(l lag, now time.Time) parts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.due(l, now)
}

func (f *fetches) due(l lag, now time.Time) parts {
	var due parts
	for p := range f.parts {
		due[p] = l.newer[p] && f.parts[p].isDue(l.own[p], l.storeDelay, now)
	}
	return due
}

// end records that fetches have ended, with or without success.
func (f *fetches) end(fetched parts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.parts {
		if fetched[p] {
			f.parts[p] = fetch{}
		}
	}
}

func (f *fetch) isDue(own lister.Position, storeDelay time.Duration, now time.Time) bool {
	if f.behindSince.IsZero() || f.own != own {
		f.behindSince, f.own = now, own
	}
	if !f.begunAt.IsZero() && now.Sub(f.begunAt) < fetchTimeout {
		return false
	}
	return now.Sub(f.behindSince) >= storeDelay
}
