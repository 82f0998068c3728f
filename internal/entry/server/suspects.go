package server

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/wire/encoder"
)

// publishTimeout bounds the wait for peers to learn of a suspect. A peer that does not
// answer, as in a network partition, holds up the caller's answer for that long.
const publishTimeout = 300 * time.Millisecond

// addSuspects adds suspects and sends those that changed the set to all peers, in the
// background.
func (s *Server) addSuspects(list []*encoder.Suspect) {
	if added := s.recordSuspects(list); len(added) > 0 {
		s.sendSuspects(added)
	}
}

// publishSuspects adds suspects and waits until all peers know them, also if this instance
// knew them already: it may have told the peers just before.
func (s *Server) publishSuspects(ctx context.Context, list []*encoder.Suspect) {
	s.recordSuspects(list)
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	select {
	case <-s.sendSuspects(list):
	case <-ctx.Done():
	}
}

// recordSuspects adds suspects and returns those that changed the set.
func (s *Server) recordSuspects(list []*encoder.Suspect) []*encoder.Suspect {
	added := s.suspects.Add(list...)
	for _, e := range added {
		if e.GetCulprit() {
			s.recorder.AddEvent("culprit", "request %x crashed %s and is refused", e.GetDigest()[:4], e.GetInstance())
		}
	}
	return added
}

// sendSuspects sends suspects to all peers and closes the returned channel once each has
// acknowledged them or could not be reached.
func (s *Server) sendSuspects(list []*encoder.Suspect) <-chan struct{} {
	open := &encoder.Open{Kind: &encoder.Open_Suspects{Suspects: &encoder.SuspectReport{Suspects: list}}}
	var wg sync.WaitGroup
	for _, in := range s.tracker.GetPeers() {
		wg.Go(func() { s.sendToPeer(s.backgroundCtx, in, open) })
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	return done
}

// handleSuspects adds a peer's suspects, and answers a query with those that the peer may
// lack.
func (s *Server) handleSuspects(r *encoder.SuspectReport) *encoder.SuspectReport {
	s.addSuspects(r.GetSuspects())
	reply := &encoder.SuspectReport{}
	if r.GetIsQuery() && r.GetFingerprint() != s.suspects.Fingerprint() {
		reply.Suspects = s.suspects.List()
	}
	return reply
}

// querySuspects adds the suspects that a peer knows. Each instance asks one peer in each
// sync interval, so that one that missed a message learns of it.
func (s *Server) querySuspects(ctx context.Context, addr netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	query := &encoder.SuspectReport{IsQuery: true, Fingerprint: s.suspects.Fingerprint()}
	reply := &encoder.SuspectReport{}
	if err := s.pool.Call(ctx, addr, &encoder.Open{Kind: &encoder.Open_Suspects{Suspects: query}}, reply); err != nil {
		log.Debug("failed to read suspects of a peer", "peer", addr, "error", err)
		return
	}
	s.recordSuspects(reply.GetSuspects())
}

// learnSuspects asks all peers for their suspects once, before this instance accepts
// requests. A peer that does not answer is not waited for longer than publishTimeout.
func (s *Server) learnSuspects(ctx context.Context) {
	if s.suspectsKnown.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, in := range s.tracker.GetPeers() {
		wg.Go(func() { s.querySuspects(ctx, in.Address) })
	}
	wg.Wait()
	s.suspectsKnown.Store(true)
}
