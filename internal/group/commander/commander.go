// Package commander changes the expert map of a model group so that no pass runs
// under two maps, whichever orders are lost or late and whenever a leader fails. A
// pass is identified by its step number.
//
// Package expert/coordinator does the same for engines whose agents let each step begin;
// here, the engines begin passes by themselves and carry out the orders. Arming all
// ranks is the commit, and the held pass is the fence. Preparing a map includes the
// copies of its weights, which are a phase of their own there (stage). An epoch here
// is the group's, which begins another after a rank has rejoined; there, it is the
// coordinator's and fences its orders.
//
// Engines check only a little. Each refuses a map whose version is not above all
// versions it has had, an arm for a map that it has not prepared or for a pass that
// has begun, and an order of another epoch. Orders may be lost, or be carried out
// seconds later. Safety rests on six rules:
//
//  1. A change begins with preparing the map at the first rank. Of two competing
//     leaders one wins: the one with the higher version, or the first one where
//     the engine counts these orders in its sequence, which the order carries. No
//     version is used for two maps.
//  2. Nothing is armed before every rank has reported the map as prepared, with
//     the experts that were sent, and before the leader's own rank holds the pass.
//     No leader arms the first rank under a hold that it has found: the release of
//     that hold may be in flight.
//  3. The first rank is armed first. While it is not armed, no other rank is, and
//     preparing a newer map there makes the older one impossible; the other ranks
//     keep an older one until the first rank is seen without it. Once it is armed,
//     the change can only go forward, and any leader that finds it may complete it.
//  4. A leader releases its own hold when every rank has confirmed that it is armed
//     with this version for this pass, or when the first rank can't be armed with
//     it any more. It releases the hold of another leader only when every rank is
//     armed, or when it has made every older map impossible at the first rank, and
//     not if the holder has prepared a later map by then.
//  5. An order without an answer is sent again until its effect is seen. A
//     duplicate that is carried out later finds its version not prepared, its pass
//     begun, or the state that it asks for. A hold that is carried out after its
//     change is like that of a leader that has failed.
//  6. No pass of a rank is held for two changes in one epoch, also after the
//     leader's process was restarted. So a release ends no other hold than the one
//     that it was sent for, however late or often it is carried out.
package commander

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"siskinfall/internal/group/shifter"
)

// Armed is a prepared map and the pass (Step) from which on it is in force.
type Armed struct {
	Version uint64
	Step    uint64
}

// Status is the state of one engine of a group, as read at one moment.
type Status struct {
	Addr    netip.AddrPort
	Started time.Time
	Group   string
	// Epoch changes each time the group starts again.
	Epoch uint64
	Rank  int
	Size  int
	// Lagged is true if the status may be some hundred milliseconds old.
	Lagged bool
	// Broken is true while the group can't run passes.
	Broken bool
	// Step is the number of the latest pass that has begun.
	Step uint64
	// Version is the version of the map in force.
	Version uint64
	// Busy is true while an order is in progress.
	Busy bool
	// Sequence counts the orders that have started work in the engine.
	Sequence uint64
	// Prepared is the version of the prepared map, nil if there is none.
	Prepared *uint64
	// PreparedDigest is the Digest of this rank's experts in the prepared map, 0 if it
	// is not known.
	PreparedDigest uint64
	// Armed is nil if no map is armed.
	Armed *Armed
	// Held is the pass that this rank keeps the group from beginning, nil for none.
	Held             *uint64
	Running, Waiting int
	Memory           int
	// Slowness is the rank's time for the same work over that of a healthy rank.
	Slowness float64
	// Counts and Experts are set only if the query asked for them.
	Counts  []uint64
	Experts [][]int
}

// Order is an order to one engine.
type Order interface{ order() }

// Prepare makes an engine copy the experts that a map places on its rank.
type Prepare struct {
	Version   uint64
	Placement shifter.Placement
	// Base is the placement of BaseVersion, which the ranks may have; nil if it is
	// not known. It only makes the message smaller.
	BaseVersion uint64
	Base        shifter.Placement
	// Urgent is true if one more pass under the old map costs more than a pass that is held
	// while the ranks are armed.
	Urgent bool
}

// Arm brings a prepared map into force at a pass.
type Arm struct{ Armed }

// Disarm cancels an Arm.
type Disarm struct{ Version uint64 }

// Hold keeps the group from beginning the pass Step until it is released.
type Hold struct{ Step uint64 }

// Release ends the hold of the pass Step.
type Release struct{ Step uint64 }

func (Prepare) order() {}

func (Arm) order() {}

func (Disarm) order() {}

func (Hold) order() {}

func (Release) order() {}

// Directive is an order and the conditions under which an engine accepts it.
type Directive struct {
	Order
	Epoch uint64
	// Sequence is the sequence that the engine must be at, nil for any.
	Sequence *uint64
}

// latestVersion returns the version of the latest change for which this rank can hold a
// pass: its leader holds one after it has prepared the map.
func (s *Status) latestVersion() uint64 {
	if s.Prepared != nil {
		return max(s.Version, *s.Prepared)
	}
	return s.Version
}

// ErrConflict says that an order does not fit the engine's state and was not carried
// out.
var ErrConflict = errors.New("order does not fit the engine's state")

// Query says what to read besides the status.
type Query struct {
	LeaderRank int
	// Group is the leader's group, empty if the engine is known to be in it.
	Group      string
	WithCounts bool
	// KnownVersion is the version of a map that the reader has; Experts is left out for it.
	KnownVersion uint64
	// SidecarOnly is true if an engine whose sidecar does not answer is not to be called
	// instead. The sidecar is called also if it did not answer before.
	SidecarOnly bool
	// WantsDemand asks a sidecar for the demand that it keeps, if it has one.
	WantsDemand bool
}

// Transport reaches the engines of a group. After an error other than ErrConflict the
// order may or may not have been carried out, or may be carried out later.
type Transport interface {
	Read(ctx context.Context, engine netip.AddrPort, q Query) (*Status, error)
	// Announce sends a map to engines that will be sent the order to prepare it, so that
	// the order is small. It may fail for some of them.
	Announce(ctx context.Context, engines []netip.AddrPort, p Prepare, epoch uint64)
	Send(ctx context.Context, engine netip.AddrPort, d Directive) error
}

// Limits of a change.
const (
	// orderTimeout bounds one attempt of an order; an engine answers in about 2 ms. In a large
	// group it is orderTimeoutPerRank for each rank: the leader sends an order to all ranks
	// at once, and has a quarter of a core and a link of some megabits a second.
	orderTimeout        = 60 * time.Millisecond
	orderTimeoutPerRank = 2 * time.Millisecond
	// readTimeout bounds one read of an engine.
	readTimeout = 250 * time.Millisecond
	// readTimeoutPerRank is added for each rank when counts are read: those of 2,000
	// experts are 5 KB, those of 4,000 experts 10 KB, and a sidecar's link has 6 to 8 Mbit/s.
	readTimeoutPerRank = 25 * time.Millisecond
	// prepareTimeoutPerRank is added for each rank to an attempt to send a map of some
	// 10 KB.
	prepareTimeoutPerRank = 20 * time.Millisecond
	// prepareTimeout bounds the copies of one change: a dozen experts at 35 ms each,
	// several times over.
	prepareTimeout = 4 * time.Second
	// preparePollInterval is the pause between two reads of the ranks that still copy.
	preparePollInterval = 60 * time.Millisecond
	// armTimeout bounds the arming of all ranks while a pass is held; after that the
	// change is left to Recover.
	armTimeout = 6 * time.Second
	// orderRetryBackoff is the pause before an order is sent again.
	orderRetryBackoff = 10 * time.Millisecond
	// minPassesAhead is how many passes ahead a change comes into force at least. It
	// covers the orders of a change, some 10 ms, with one pass to spare.
	minPassesAhead = 2
	// urgentPassesAhead is used instead for an urgent change while no order is lost.
	urgentPassesAhead = 1
	// lossPassesAhead is used after an order was lost: four passes cover several
	// attempts, so that the group need not wait for the last rank.
	lossPassesAhead = 5
	// An arming that takes longer than slowArmingThreshold has made the group wait;
	// slowArmingPasses are added then. A pass takes some 60 ms.
	slowArmingThreshold = 150 * time.Millisecond
	slowArmingPasses    = 2
	// maxPassesAhead bounds the distance: the old map costs more with each pass. A sidecar
	// that is restarted relies on it (type passes): all releases must have the same bound.
	maxPassesAhead = 8
	// maxHoldAttempts bounds the attempts to hold a pass before it begins.
	maxHoldAttempts = 4
)

var (
	errIncomplete     = errors.New("not every rank of the group answered in the same epoch")
	errHoldTooLate    = errors.New("every attempt to hold a pass was too late")
	errPrepareTimeout = errors.New("map was not prepared in time")
	errOtherMap       = errors.New("another map is prepared")
	errNoFreePass     = errors.New("every pass that is near may have been held before")
	errLaterHold      = errors.New("pass may be held for a later change")
	errNotArmed       = errors.New("not all ranks could be armed")
	errOtherEpoch     = errors.New("group has begun another epoch")
)

// Armed returns what the first rank is armed with, nil for nothing. By rule 3 no
// other rank is armed while the first is not.
func (g Group) Armed() *Armed { return g.First().Armed }

// Commander makes map changes. It is not safe for concurrent use.
type Commander struct {
	transport Transport
	// passesAhead is how many passes ahead the next change comes into force.
	passesAhead uint64
	// orderLost is true if an order was left without an answer since the latest change.
	orderLost atomic.Bool
	// passes tells which pass may be held next.
	passes passes
	// counter is the time part of the latest version made.
	counter uint64
	// random draws the low bits of versions.
	random func() uint64
}

// New returns a Commander that draws random numbers from random.
func New(t Transport, random func() uint64) *Commander {
	return &Commander{transport: t, passesAhead: minPassesAhead, random: random}
}

// Observe records a status of the leader's own rank. The first one has to be read after the
// process has started, and every later epoch has to be observed.
func (c *Commander) Observe(own *Status) {
	if !own.Lagged {
		c.passes.observe(own.Epoch, own.Step)
	}
}

const (
	// effectAbsent: the order has had no effect.
	effectAbsent effect = iota
	// effectUnknown: the order may have had an effect.
	effectUnknown
	// effectSeen: the state is the one that was ordered.
	effectSeen
)
