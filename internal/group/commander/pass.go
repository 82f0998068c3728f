package commander

// passes tells which pass of its rank a leader may hold next. In one epoch, no pass of a rank
// is held for two changes, so that a release that is carried out late ends no hold but the one
// that it was meant for.
//
// A leader holds a pass only on its own rank, at most maxPassesAhead passes ahead. So a sidecar
// that starts knows from the first status which passes its predecessors on the rank can have
// held at most.
type passes struct {
	// epoch is the one that was observed last, latestEpoch the highest one. Both are 0 before
	// the first status.
	epoch, latestEpoch uint64
	// lastHeld is the highest pass of the epoch that can have been held at this rank, by this
	// sidecar or an earlier one.
	lastHeld uint64
}

// observe records the epoch and the latest pass of the own rank.
func (p *passes) observe(epoch, step uint64) {
	if epoch == p.epoch {
		return
	}
	p.lastHeld = step + maxPassesAhead
	if p.latestEpoch != 0 && epoch > p.latestEpoch {
		// The epoch began after this sidecar did, which has held nothing in it yet.
		p.lastHeld = 0
	}
	p.epoch, p.latestEpoch = epoch, max(p.latestEpoch, epoch)
}

// next returns the pass to hold when step is the latest one of the epoch: ahead passes later, or the first
// one after that which can't have been held. It returns false if there is none that is near: the
// group has to begin more passes first.
func (p *passes) next(epoch, step, ahead uint64) (uint64, bool) {
	pass := max(step+ahead, p.lastHeld+1)
	return pass, epoch == p.epoch && pass <= step+maxPassesAhead
}

// hold records a pass that is about to be held.
func (p *passes) hold(pass uint64) { p.lastHeld = max(p.lastHeld, pass) }
