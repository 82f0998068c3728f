// Package spreader carries configuration from process to process: a push of
// whole states when one changes, and an exchange of digests that finds what was
// missed. States commute, so the order and the way they take do not matter.
package spreader

import (
	"context"
	"net/netip"
	"time"

	"siskinfall/internal/config/registrar"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// callTimeout bounds one exchange.
const callTimeout = 2 * time.Second

// Spreader exchanges the states of one book with peers.
type Spreader struct {
	book     *registrar.Book
	pool     *connector.Pool
	instance string
}

// New returns a Spreader for book.
func New(book *registrar.Book, pool *connector.Pool, instance string) *Spreader {
	return &Spreader{book: book, pool: pool, instance: instance}
}

// Push sends states to a peer and takes in what it has newer.
func (s *Spreader) Push(ctx context.Context, addr netip.AddrPort, entities []*encoder.Entity) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sync := &encoder.ConfigSync{Instance: s.instance, Digest: s.book.Get().Digest, Entities: entities}
	reply := &encoder.ConfigSync{}
	if err := s.pool.Call(ctx, addr, newOpen(sync), reply); err != nil {
		return err
	}
	s.book.Apply(reply.GetEntities())
	return nil
}

// Exchange compares digests with a peer and evens out differences both ways.
func (s *Spreader) Exchange(ctx context.Context, addr netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sync := &encoder.ConfigSync{Instance: s.instance, Digest: s.book.Get().Digest}
	reply := &encoder.ConfigSync{}
	if err := s.pool.Call(ctx, addr, newOpen(sync), reply); err != nil {
		return err
	}
	snap := s.book.Get()
	if reply.GetDigest() == snap.Digest {
		return nil
	}
	second := &encoder.ConfigSync{
		Instance: s.instance, Digest: snap.Digest, Compare: true, Numbers: snap.Numbers(), Entities: snap.NewerThan(reply.GetNumbers()),
	}
	reply = &encoder.ConfigSync{}
	if err := s.pool.Call(ctx, addr, newOpen(second), reply); err != nil {
		return err
	}
	s.book.Apply(reply.GetEntities())
	return nil
}

// Handle answers a peer's ConfigSync.
func (s *Spreader) Handle(st *connector.Stream, sync *encoder.ConfigSync) error {
	s.book.Apply(sync.GetEntities())
	snap := s.book.Get()
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
