package server

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/store/storer"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// Handle serves one stream that a peer opened.
func (s *Server) Handle(_ context.Context, peer *encoder.Hello, open *encoder.Open, st *connector.Stream) {
	var err error
	switch k := open.GetKind().(type) {
	case *encoder.Open_Config:
		err = s.syncer.Handle(st, k.Config)
	case *encoder.Open_Share:
		err = st.Send(s.handleShareReport(k.Share))
	case *encoder.Open_Suspects:
		err = st.Send(s.handleSuspects(k.Suspects))
	case *encoder.Open_Status:
		err = st.Send(s.getStatus(k.Status))
	default:
		log.Warn("stream of unknown kind", "step", "open_stream", "peer", peer.GetInstance())
	}
	if err != nil {
		log.Debug("stream ended", "peer", peer.GetInstance(), "error", err)
	}
}

// sessionIdleTimeout bounds how long an unused session to a peer is kept.
const sessionIdleTimeout = 30 * time.Second

// syncPeers exchanges the configuration with one random peer, and the demand of
// client accounts with the instances that sum it. Without a listed peer it uses
// the seed peers.
func (s *Server) syncPeers(ctx context.Context) {
	s.pool.CloseIdle(sessionIdleTimeout)
	s.shareDemand(ctx)
	peers := s.tracker.GetPeers()
	if len(peers) == 0 {
		s.bootstrapFromSeeds(ctx)
		if s.configured.Load() {
			// There is no other entry instance to ask.
			s.suspectsKnown.Store(true)
		}
		return
	}
	in := peers[rand.IntN(len(peers))]
	s.querySuspects(ctx, in.Address)
	if err := s.syncer.Reconcile(ctx, in.Address); err != nil {
		log.Debug("failed to exchange configuration", "peer", in.Name, "error", err)
		return
	}
	if !s.configured.Load() {
		s.bootstrapFrom(ctx, in.Address)
	}
}

// bootstrapFromSeeds reads the instance list and the configuration from the first
// seed peer that has them. It is used while no peer is listed.
func (s *Server) bootstrapFromSeeds(ctx context.Context) {
	for _, addr := range s.cfg.Entry.SeedPeers {
		if addr != s.cfg.Listen.Peers && s.bootstrapFrom(ctx, addr) {
			return
		}
	}
}

// bootstrapFrom reads the configuration and, if none is listed yet, the instances
// from a peer. It reports false if the peer is unreachable or not ready.
func (s *Server) bootstrapFrom(ctx context.Context, addr netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	status := &encoder.EntryStatus{}
	if err := s.pool.Call(ctx, addr, &encoder.Open{Kind: &encoder.Open_Status{Status: &encoder.StatusQuery{}}}, status); err != nil {
		return false
	}
	if !status.GetReady() || s.syncer.Reconcile(ctx, addr) != nil {
		return false
	}
	if len(s.tracker.GetInstances()) == 0 {
		s.tracker.SetInstances(s.backgroundCtx, decodeInstances(status.GetInstances()))
		s.updatePeers()
	}
	s.querySuspects(ctx, addr)
	s.suspectsKnown.Store(true)
	s.setConfigured(status.GetInstance())
	return true
}

func decodeInstances(list []*encoder.InstanceInfo) []storer.Instance {
	var out []storer.Instance
	for _, in := range list {
		addr, err := netip.ParseAddrPort(in.GetAddress())
		if err != nil {
			continue
		}
		out = append(out, storer.Instance{Name: in.GetName(), Role: in.GetRole(), Zone: in.GetZone(), Address: addr, Leaving: in.GetLeaving()})
	}
	return out
}

// getStatus returns this instance's state as q requests it.
func (s *Server) getStatus(q *encoder.StatusQuery) *encoder.EntryStatus {
	snap := s.activeConfig.Get()
	status := &encoder.EntryStatus{
		Instance: s.cfg.Instance, Zone: s.cfg.Zone, Incarnation: s.incarnation, Ready: s.IsReady(),
		ConfigDigest: snap.Digest, Numbers: snap.Numbers(),
	}
	for _, in := range s.tracker.GetInstances() {
		status.Instances = append(status.Instances, &encoder.InstanceInfo{
			Name: in.Name, Role: in.Role, Zone: in.Zone, Address: in.Address.String(), Leaving: in.Leaving,
		})
	}
	for _, target := range s.tracker.GetTargets() {
		if st, _ := target.GetStatus(); st != nil {
			status.Agents = append(status.Agents, st)
		}
	}
	if q.GetWithReport() {
		status.Report, _ = json.Marshal(s.burnCounter.GetSeries())
	}
	if q.GetWithEvents() {
		status.Events, _ = json.Marshal(s.recorder.GetEvents())
	}
	if id := q.GetExplainRequest(); id != "" {
		if view, ok := s.recorder.GetTrace(id); ok {
			status.Report, _ = json.Marshal(view)
		}
	}
	return status
}

// peerStatus is the status of one entry instance, or the error of its query.
type peerStatus struct {
	Instance storer.Instance
	Status   *encoder.EntryStatus
	Err      error
}

// queryAll queries every listed entry instance concurrently and adds the status
// of this one.
func (s *Server) queryAll(ctx context.Context, q *encoder.StatusQuery) []peerStatus {
	peers := s.tracker.GetPeers()
	statuses := make([]peerStatus, len(peers)+1)
	var wg sync.WaitGroup
	for i, in := range peers {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
			defer cancel()
			status := &encoder.EntryStatus{}
			err := s.pool.Call(ctx, in.Address, &encoder.Open{Kind: &encoder.Open_Status{Status: q}}, status)
			statuses[i] = peerStatus{Instance: in, Status: status, Err: err}
		})
	}
	wg.Wait()
	statuses[len(peers)] = peerStatus{Instance: s.ownInstance(), Status: s.getStatus(q)}
	return statuses
}
