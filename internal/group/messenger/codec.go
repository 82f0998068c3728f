package messenger

import (
	"errors"
	"net/netip"
	"time"

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/group/commander"
	"siskinfall/internal/wire/encoder"
)

// slownessScale is the slowness of a healthy rank on the wire, in thousandths.
const slownessScale = 1000

// Names of the orders on the wire.
const (
	operationPrepare    = "prepare"
	operationKeep       = "keep"
	operationKeepDemand = "keep_demand"
	operationArm        = "arm"
	operationDisarm     = "disarm"
	operationHold       = "hold"
	operationRelease    = "release"
)

func isConflict(err error) bool { return errors.Is(err, commander.ErrConflict) }

func encodeStatus(s *commander.Status) *encoder.EngineState {
	out := &encoder.EngineState{
		Address: s.Addr.String(), StartedMillis: s.Started.UnixMilli(), Group: s.Group, Epoch: s.Epoch, Rank: uint32(s.Rank),
		Size: uint32(s.Size), Broken: s.Broken, Step: s.Step, Version: s.Version, Busy: s.Busy, Sequence: s.Sequence,
		PreparedDigest: s.PreparedDigest, Running: uint32(s.Running), Waiting: uint32(s.Waiting), Memory: uint64(s.Memory),
		SlownessMilli: uint32(s.Slowness * slownessScale), Counts: s.Counts, Experts: encodeLists(s.Experts),
	}
	if s.Prepared != nil {
		out.HasPrepared, out.Prepared = true, *s.Prepared
	}
	if s.Armed != nil {
		out.HasArmed, out.ArmedVersion, out.ArmedStep = true, s.Armed.Version, s.Armed.Step
	}
	if s.Held != nil {
		out.HasHeld, out.HeldStep = true, *s.Held
	}
	return out
}

func decodeStatus(m *encoder.EngineState) (*commander.Status, error) {
	addr, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		return nil, wrapper.At("decode_status", m.GetAddress(), err)
	}
	out := &commander.Status{
		Addr: addr, Started: time.UnixMilli(m.GetStartedMillis()), Group: m.GetGroup(), Epoch: m.GetEpoch(), Rank: int(m.GetRank()),
		Size: int(m.GetSize()), Broken: m.GetBroken(), Step: m.GetStep(), Version: m.GetVersion(), Busy: m.GetBusy(),
		Sequence: m.GetSequence(), PreparedDigest: m.GetPreparedDigest(), Running: int(m.GetRunning()), Waiting: int(m.GetWaiting()),
		Memory: int(m.GetMemory()), Slowness: float64(m.GetSlownessMilli()) / slownessScale, Counts: m.GetCounts(), Experts: decodeLists(m.GetExperts()),
	}
	if m.GetHasPrepared() {
		v := m.GetPrepared()
		out.Prepared = &v
	}
	if m.GetHasArmed() {
		out.Armed = &commander.Armed{Version: m.GetArmedVersion(), Step: m.GetArmedStep()}
	}
	if m.GetHasHeld() {
		v := m.GetHeldStep()
		out.Held = &v
	}
	return out, nil
}

func encodeLists(lists [][]int) []*encoder.ExpertList {
	out := make([]*encoder.ExpertList, 0, len(lists))
	for _, list := range lists {
		out = append(out, &encoder.ExpertList{Experts: encodeList(list)})
	}
	return out
}

func encodeList(list []int) []uint32 {
	out := make([]uint32, 0, len(list))
	for _, e := range list {
		out = append(out, uint32(e))
	}
	return out
}

func decodeLists(lists []*encoder.ExpertList) [][]int {
	out := make([][]int, 0, len(lists))
	for _, list := range lists {
		out = append(out, decodeList(list.GetExperts()))
	}
	return out
}

func decodeList(list []uint32) []int {
	out := make([]int, 0, len(list))
	for _, e := range list {
		out = append(out, int(e))
	}
	return out
}

func encodeOrder(d commander.Directive) (*encoder.EngineOrder, error) {
	out := &encoder.EngineOrder{Epoch: d.Epoch}
	if d.Sequence != nil {
		out.HasSequence, out.Sequence = true, *d.Sequence
	}
	switch o := d.Order.(type) {
	case commander.Prepare:
		out.Operation, out.Version = operationPrepare, o.Version
		if haveSameShape(o.Base, o.Placement) {
			changes, err := diff(o.Base, o.Placement)
			if err != nil {
				return nil, wrapper.At("encode_order", "", err)
			}
			out.BaseVersion, out.Changes, out.Digest = o.BaseVersion, changes, mapDigest(o.Placement)
			if o.BaseVersion == 0 {
				out.LayerSets, out.Ranks, out.Experts = uint32(len(o.Base)), uint32(len(o.Base[0])), uint32(countExperts(o.Base[0]))
			}
			break
		}
		for _, ranks := range o.Placement {
			out.Placement = append(out.Placement, &encoder.PlacementSet{Ranks: encodeLists(ranks)})
		}
	case commander.Arm:
		out.Operation, out.Version, out.Step = operationArm, o.Version, o.Step
	case commander.Disarm:
		out.Operation, out.Version = operationDisarm, o.Version
	case commander.Hold:
		out.Operation, out.Step = operationHold, o.Step
	case commander.Release:
		out.Operation, out.Step = operationRelease, o.Step
	}
	return out, nil
}

// decodeOrder decodes an order. It adds the map of a Prepare to received, and returns
// errNeedsFullMap if the map can't be restored from there.
func decodeOrder(m *encoder.EngineOrder, received *placementCache) (commander.Directive, error) {
	d := commander.Directive{Epoch: m.GetEpoch()}
	if m.GetHasSequence() {
		v := m.GetSequence()
		d.Sequence = &v
	}
	switch m.GetOperation() {
	case operationPrepare:
		p, err := decodePlacement(m, received)
		if err != nil {
			return d, err
		}
		received.add(m.GetVersion(), p)
		d.Order = commander.Prepare{Version: m.GetVersion(), Placement: p}
	case operationArm:
		d.Order = commander.Arm{Armed: commander.Armed{Version: m.GetVersion(), Step: m.GetStep()}}
	case operationDisarm:
		d.Order = commander.Disarm{Version: m.GetVersion()}
	case operationHold:
		d.Order = commander.Hold{Step: m.GetStep()}
	case operationRelease:
		d.Order = commander.Release{Step: m.GetStep()}
	default:
		return d, wrapper.New("decode_order", "", "unknown operation "+m.GetOperation())
	}
	return d, nil
}
