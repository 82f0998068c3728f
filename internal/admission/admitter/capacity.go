package admitter

import (
	"math"
	"time"

	"siskinfall/internal/catalog/holder"
)

// Load pattern: a group's pace changes with its map of experts, with slow ranks and with the
// prompts that are read, and so does what it can finish within its callers' objectives.

// Room is what the engines of a service have room for, for all gateways together.
type Room struct {
	// Places is how many requests may be at the engines at once, running or waiting.
	Places int
	// InUse is how many were there by the latest reports.
	InUse int
	// FirstEvent is the expected time from a place to the first event of an answer, and
	// Residence the time to the last one of a usual answer.
	FirstEvent, Residence time.Duration
	// IsSlow is set if no batch of a useful size keeps the objectives at the present pace.
	IsSlow bool
}

// Rank is the state of an engine that may receive work.
type Rank struct {
	Slots int
	// IsReported is set if there is a fresh report; else the other fields are 0.
	IsReported               bool
	Running, Waiting, Memory int
	// Pass is the duration of the group's passes, 0 if unknown.
	Pass time.Duration
}

const (
	// minBatchFraction is the fraction of an engine's slots below which batches gain little
	// time and lose much throughput.
	minBatchFraction = 0.5
	// maxMemoryFraction is the fraction of an engine's memory above which it gets no more
	// work. Above its capacity it preempts requests.
	maxMemoryFraction = 0.9
	// passesToFirstEvent is the number of passes until a request's first event: the one
	// already begun, and the one that reads the prompt.
	passesToFirstEvent = 2
)

// queuePerEngine is the number of requests that wait at an engine. It takes them by priority,
// for all gateways and without delay, and a slot that becomes free is used at once.
const queuePerEngine = 2

// NewRoom returns the room of a service whose streams may pause for gap, 0 for no limit.
func NewRoom(e *holder.Engine, gap time.Duration, ranks []Rank) Room {
	pace := findPace(e, ranks)
	batch, isSlow := findBatch(e, gap, pace)
	pass := paced(passTime(e, float64(batch)), pace)
	events := max(e.UsualAnswer/max(e.TokensPerEvent, 1), 1)
	room := Room{FirstEvent: passesToFirstEvent * pass, Residence: time.Duration(events+passesToFirstEvent) * pass, IsSlow: isSlow}
	for _, r := range ranks {
		used := r.Running + r.Waiting
		room.InUse += used
		places := min(batch, r.Slots) + queuePerEngine
		if e.MemoryTokens > 0 && float64(r.Memory) > maxMemoryFraction*float64(e.MemoryTokens) {
			places = min(places, used)
		}
		room.Places += places
	}
	return room
}

// passTime returns the duration of a pass with a number of running requests, at normal speed
// and with nothing to read.
func passTime(e *holder.Engine, running float64) time.Duration {
	context := running * float64(e.UsualPrompt+e.UsualAnswer) / 1000 //nolint:mnd // PerContext is for thousands
	step := float64(e.Pass) + running*float64(e.PerRequest) + context*float64(e.PerContext)
	return time.Duration(step * float64(max(e.TokensPerEvent, 1)))
}

func paced(d time.Duration, pace float64) time.Duration { return time.Duration(float64(d) * pace) }

// findPace returns by which factor passes last longer than they would at normal speed and
// with nothing to read, at least 1.
func findPace(e *holder.Engine, ranks []Rank) float64 {
	pace, running, reported := 1.0, 0, 0
	longest := time.Duration(0)
	for _, r := range ranks {
		if r.IsReported {
			running += r.Running
			reported++
			longest = max(longest, r.Pass)
		}
	}
	if normal := passTime(e, float64(running)/float64(max(reported, 1))); normal > 0 {
		pace = max(pace, float64(longest)/float64(normal))
	}
	return pace
}

// findBatch returns the largest number of running requests with which passes last no longer
// than the streams may pause. If only small batches would keep that, all slots are used:
// fewer requests would be late as well.
func findBatch(e *holder.Engine, gap time.Duration, pace float64) (batch int, isSlow bool) {
	most := max(e.Slots, 1)
	if usual := e.UsualPrompt + e.UsualAnswer; e.MemoryTokens > 0 && usual > 0 {
		most = max(min(most, e.MemoryTokens/usual), 1)
	}
	least := max(int(math.Ceil(minBatchFraction*float64(most))), 1)
	for n := most; n >= least; n-- {
		if gap <= 0 || paced(passTime(e, float64(n)), pace) <= gap {
			return n, false
		}
	}
	return most, true
}
