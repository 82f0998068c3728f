// Package spreader synchronizes the configuration between processes: it pushes
// changed entities to peers, and compares digests with them to find entities that
// were missed. Entities commute, so neither their order nor their route matters.
package spreader

import (
	"context"
	"net/netip"
	"time"

	"siskinfall/internal/config/registrar"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// syncTimeout bounds a Push and a Reconcile.
const syncTimeout = 2 * time.Second

// Syncer synchronizes the entities of one ActiveConfig with peers.
type Syncer struct {
	config   *registrar.ActiveConfig
	pool     *connector.Pool
	instance string
}

// New returns a Syncer for config that calls peers through pool as instance.
func New(config *registrar.ActiveConfig, pool *connector.Pool, instance string) *Syncer {
	return &Syncer{config: config, pool: pool, instance: instance}
}

// Push sends entities to a peer and applies those in its reply. Handle replies to
// a Push without entities; Reconcile fetches what the peer has newer.
func (s *Syncer) Push(ctx context.Context, addr netip.AddrPort, entities []*encoder.Entity) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	sync := &encoder.ConfigSync{Instance: s.instance, Digest: s.config.Get().Digest, Entities: entities}
	reply := &encoder.ConfigSync{}
	if err := s.pool.Call(ctx, addr, newOpen(sync), reply); err != nil {
		return err
	}
	s.config.Apply(reply.GetEntities())
	return nil
}

// Reconcile compares digests with a peer. If they differ, each side sends the
// entities that are newer on it.
func (s *Syncer) Reconcile(ctx context.Context, addr netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	sync := &encoder.ConfigSync{Instance: s.instance, Digest: s.config.Get().Digest}
	reply := &encoder.ConfigSync{}
	if err := s.pool.Call(ctx, addr, newOpen(sync), reply); err != nil {
		return err
	}
	snap := s.config.Get()
	if reply.GetDigest() == snap.Digest {
		return nil
	}
	compare := &encoder.ConfigSync{
		Instance: s.instance, Digest: snap.Digest, Compare: true, Numbers: snap.Numbers(), Entities: snap.NewerThan(reply.GetNumbers()),
	}
	reply = &encoder.ConfigSync{}
	if err := s.pool.Call(ctx, addr, newOpen(compare), reply); err != nil {
		return err
	}
	s.config.Apply(reply.GetEntities())
	return nil
}

// Handle applies the entities of a peer's ConfigSync and replies. If the digests
// differ, the reply holds the entities that are newer here if the peer asks to
// compare, and all numbers if the peer sent only its digest.
func (s *Syncer) Handle(st *connector.Stream, sync *encoder.ConfigSync) error {
	s.config.Apply(sync.GetEntities())
	snap := s.config.Get()
	reply := &encoder.ConfigSync{Instance: s.instance, Digest: snap.Digest}
	switch {
	case snap.Digest == sync.GetDigest():
	case sync.GetCompare():
		reply.Entities = snap.NewerThan(sync.GetNumbers())
	case len(sync.GetEntities()) == 0:
		reply.Numbers = snap.Numbers()
	}
	return st.Send(reply)
}

func newOpen(sync *encoder.ConfigSync) *encoder.Open {
	return &encoder.Open{Kind: &encoder.Open_Config{Config: sync}}
}
