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

// Handle serves one stream of a peer.
func (s *Server) Handle(_ context.Context, peer *encoder.Hello, open *encoder.Open, st *connector.Stream) {
	var err error
	switch k := open.GetKind().(type) {
	case *encoder.Open_Config:
		err = s.spreader.Handle(st, k.Config)
	case *encoder.Open_Share:
		err = st.Send(s.takeShare(k.Share))
	case *encoder.Open_Suspects:
		s.addSuspects(k.Suspects.GetSuspects())
		err = st.Send(&encoder.StatusQuery{})
	case *encoder.Open_Status:
		err = st.Send(s.getStatus(k.Status))
	default:
		log.Warn("stream of unknown kind", "step", "open_stream", "peer", peer.GetInstance())
	}
	if err != nil {
		log.Debug("stream ended", "peer", peer.GetInstance(), "error", err)
	}
}

// idleSession is how long a session to a peer is kept without use.
const idleSession = 30 * time.Second

// sync exchanges state with peers: the configuration with one that is picked
// at random, the demand of accounts with those that sum it.
func (s *Server) sync(ctx context.Context) {
	s.pool.CloseIdle(idleSession)
	s.shareDemand(ctx)
	peers := s.tracker.GetPeers()
	if len(peers) == 0 {
		s.askSeeds(ctx)
		return
	}
	in := peers[rand.IntN(len(peers))]
	if err := s.spreader.Exchange(ctx, in.Address); err != nil {
		log.Debug("configuration not compared", "peer", in.Name, "error", err)
		return
	}
	if !s.configured.Load() {
		s.learnFrom(ctx, in.Address)
	}
}

// askSeeds learns instances and configuration from the seed peers while the
// platform's list is missing.
func (s *Server) askSeeds(ctx context.Context) {
	for _, addr := range s.cfg.Entry.SeedPeers {
		if addr != s.cfg.Listen.Peers && s.learnFrom(ctx, addr) {
			return
		}
	}
}

// learnFrom takes configuration and instance list from a configured peer.
func (s *Server) learnFrom(ctx context.Context, addr netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	status := &encoder.EntryStatus{}
	if err := s.pool.Call(ctx, addr, &encoder.Open{Kind: &encoder.Open_Status{Status: &encoder.StatusQuery{}}}, status); err != nil {
		return false
	}
	if !status.GetReady() || s.spreader.Exchange(ctx, addr) != nil {
		return false
	}
	if len(s.tracker.GetInstances()) == 0 {
		s.tracker.SetInstances(s.background, decodeInstances(status.GetInstances()))
		s.updatePeers()
	}
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

// getStatus answers a peer that asks for this instance's state.
func (s *Server) getStatus(q *encoder.StatusQuery) *encoder.EntryStatus {
	snap := s.book.Get()
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
		status.Report, _ = json.Marshal(s.burn.GetSeries())
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

// peerStatus is the answer of one entry instance, or the error instead.
type peerStatus struct {
	Instance storer.Instance
	Status   *encoder.EntryStatus
	Err      error
}

// askAll asks every listed entry instance, this one included, at once.
func (s *Server) askAll(ctx context.Context, q *encoder.StatusQuery) []peerStatus {
	peers := s.tracker.GetPeers()
	answers := make([]peerStatus, len(peers)+1)
	var wg sync.WaitGroup
	for i, in := range peers {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, tellTimeout)
			defer cancel()
			status := &encoder.EntryStatus{}
			err := s.pool.Call(ctx, in.Address, &encoder.Open{Kind: &encoder.Open_Status{Status: q}}, status)
			answers[i] = peerStatus{Instance: in, Status: status, Err: err}
		})
	}
	wg.Wait()
	answers[len(peers)] = peerStatus{Instance: s.self(), Status: s.getStatus(q)}
	return answers
}
