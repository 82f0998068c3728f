// Package commander changes the expert map of a lock-step group so that no pass
// runs under two maps, whatever becomes of its orders and of itself.
//
// The engines check little: each refuses a map whose version is not above all it
// has had, an arm for a map it has not prepared or a pass that has begun, and an
// order of another epoch or with an old sequence. Orders may be lost, or be
// carried out seconds later. Safety rests on five rules:
//
//  1. A change begins with preparing the map at the first rank, under the
//     sequence read there: of two leaders one wins. Versions are never used for
//     two maps.
//  2. Nothing is armed before every rank has reported the map as prepared, with
//     the experts that were sent, and before the leader's own rank holds the pass.
//     Nobody arms the first rank under a hold of another leader, or of an earlier
//     life: its release may be under way.
//  3. The first rank is armed first. While it is not armed, no other rank is, and
//     preparing a newer map there makes the older one impossible; the other ranks
//     keep an older one until then. Once it is armed, the change can only go
//     forward, and whoever finds it may finish it.
//  4. A leader releases its own hold when every rank has confirmed that it is armed
//     with this version for this pass, or when the first rank can't be armed with
//     it any more. It releases the hold of another only when every rank is armed,
//     or when it has made every older map impossible at the first rank.
//  5. An order without an answer is sent again until its effect is seen. A copy
//     that is carried out later finds its version not prepared, its pass begun,
//     or the same state.
package commander

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"siskinfall/internal/group/shifter"
)

// Armed is a map that comes into force at a pass.
type Armed struct {
	Version uint64
	Step    uint64
}

// Status is the state of one engine of a group.
type Status struct {
	Addr    netip.AddrPort
	Started time.Time
	Group   string
	Epoch   uint64
	Rank    int
	Size    int
	// Broken says that the group runs nothing.
	Broken bool
	// Step is the latest pass that has begun.
	Step uint64
	// Version is that of the map in force.
	Version uint64
	// Busy says that an order is in progress.
	Busy bool
	// Sequence counts the orders that have begun something.
	Sequence uint64
	// Prepared is nil if no map is prepared.
	Prepared *uint64
	// PreparedDigest identifies the experts of this rank that are prepared.
	PreparedDigest uint64
	// Armed is nil if no map is armed.
	Armed *Armed
	// Held is the pass that the group may not begin, nil for none.
	Held             *uint64
	Running, Waiting int
	Memory           int
	// Slowness is how many times longer the rank takes than a sound one.
	Slowness float64
	// Counts and Experts are told only if they were asked for.
	Counts  []uint64
	Experts [][]int
}

// Order is an order to one engine.
type Order interface{ order() }

// Prepare copies what a map needs.
type Prepare struct {
	Version   uint64
	Placement shifter.Placement
	// Base is the placement of BaseVersion, which the ranks may have; nil if it is
	// not known. It only saves bytes.
	BaseVersion uint64
	Base        shifter.Placement
}

// Arm brings a prepared map into force at a pass.
type Arm struct{ Armed }

// Disarm takes an arm back.
type Disarm struct{ Version uint64 }

// Hold keeps the group from beginning a pass.
type Hold struct{ Step uint64 }

// Release ends a hold.
type Release struct{ Step uint64 }

func (Prepare) order() {}

func (Arm) order() {}

func (Disarm) order() {}

func (Hold) order() {}

func (Release) order() {}

// Directive is an order with its conditions.
type Directive struct {
	Order
	Epoch uint64
	// Sequence is the one that the engine must be at, nil if it does not matter.
	Sequence *uint64
}

// ErrConflict says that an order does not fit the engine's state; it was not
// carried out.
var ErrConflict = errors.New("order does not fit the engine's state")

// Query says what to read besides the status.
type Query struct {
	LeaderRank int
	WithCounts bool
	// KnownVersion is the map whose experts need not be told.
	KnownVersion uint64
}

// Transport reaches the engines of a group. An error other than ErrConflict
// leaves open whether an order was or will be carried out.
type Transport interface {
	Read(ctx context.Context, engine netip.AddrPort, q Query) (*Status, error)
	Send(ctx context.Context, engine netip.AddrPort, d Directive) error
}

// Times of a change.
const (
	// orderTimeout bounds one try of an order; an engine answers in about 2 ms.
	orderTimeout = 60 * time.Millisecond
	// readTimeout bounds one reading of an engine.
	readTimeout = 250 * time.Millisecond
	// readRank is added for each rank of a group that is read whole: the counts of
	// 2,000 experts are 5 KB, and a sidecar's link has 8 Mbit/s.
	readRank = 10 * time.Millisecond
	// prepareRank is added for each rank to a try of preparing a map, of some 10 KB.
	prepareRank = 20 * time.Millisecond
	// prepareTimeout bounds the copies of one change: a dozen experts at 35 ms
	// each, several times over.
	prepareTimeout = 4 * time.Second
	// preparePoll is the pause between two looks at the copies.
	preparePoll = 60 * time.Millisecond
	// armTimeout bounds the arming of all ranks while a pass is held; then the
	// change is left to recovery.
	armTimeout = 6 * time.Second
	// retryPause is the pause before an order is sent again.
	retryPause = 10 * time.Millisecond
	// leastAhead is how many passes ahead a change comes into force; it covers
	// the orders of a change, some 10 ms, with one pass to spare.
	leastAhead = 2
	// lossAhead is used while orders get lost: four passes cover several tries, so
	// that the group need not wait for the last rank.
	lossAhead = 5
	// slowArming is an arming so slow that the group waited for it, and slowStep the
	// passes added then; a pass takes some 60 ms.
	slowArming = 150 * time.Millisecond
	slowStep   = 2
	// mostAhead bounds it: the old map costs more with each pass.
	mostAhead = 8
	// idleSpread spreads the passes held while a group begins none.
	idleSpread = 4
	// holdTries bounds the tries to hold a pass before it begins.
	holdTries = 4
)

var (
	errNotWhole   = errors.New("not all ranks of one epoch have answered")
	errOutrun     = errors.New("passes begin faster than they can be held")
	errPreparing  = errors.New("map was not prepared in time")
	errOtherMap   = errors.New("another map is prepared")
	errNotArmed   = errors.New("not all ranks could be armed")
	errOtherEpoch = errors.New("group has begun another epoch")
)

// Armed returns what the first rank is armed with, nil for nothing. By rule 3 no
// other rank is armed while the first is not.
func (g Group) Armed() *Armed { return g.First().Armed }

// Commander makes changes. It is used by one goroutine.
type Commander struct {
	transport Transport
	// ahead is how many passes ahead the next change comes into force.
	ahead uint64
	// lost says that an order went unanswered since the latest change.
	lost atomic.Bool
	// lastStep is the highest pass that was held or seen; passes are not held twice.
	lastStep uint64
	// counter is that of the latest version made.
	counter uint64
	// random draws the low bits of versions.
	random func() uint64
}

// New returns a Commander; random draws any number.
func New(t Transport, random func() uint64) *Commander {
	return &Commander{transport: t, ahead: leastAhead, random: random}
}

const (
	// missing: the order has had no effect.
	missing verdict = iota
	// open: it may have had one.
	open
	// done: the state is the one ordered.
	done
)
