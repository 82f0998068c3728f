package registrar

import (
	"context"
	"encoding/json"
	"maps"
	"slices"

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/store/storer"
	"siskinfall/internal/wire/encoder"
)

// snapshotEvery is the number of tickets after which a snapshot is written.
const snapshotEvery = 32

// snapshotObject is the configuration up to a sequence, in the object store.
type snapshotObject struct {
	Sequence uint64            `json:"sequence"`
	Entities []*encoder.Entity `json:"entities"`
}

// Reader follows the accepted tickets. It is used by one goroutine.
type Reader struct {
	registry *Registry
	book     *Book
	// seen is the sequence up to which every ticket is in the book.
	seen uint64
	// loaded says that the first read has succeeded.
	loaded bool
}

// NewReader returns a Reader that applies tickets to book.
func NewReader(registry *Registry, book *Book) *Reader {
	return &Reader{registry: registry, book: book}
}

// Poll reads one row, and the tickets accepted since the last call if there
// are any. The first call starts from the snapshot in the object store.
func (r *Reader) Poll(ctx context.Context) error {
	if !r.loaded {
		if err := r.loadSnapshot(ctx); err != nil {
			return err
		}
	}
	_, seq, err := r.registry.readHead(ctx)
	if err != nil {
		return err
	}
	r.loaded = true
	if seq <= r.seen {
		return nil
	}
	recs, err := r.registry.listRecords(ctx, changePath, changeKey(r.seen))
	if err != nil {
		return err
	}
	for _, rec := range recs {
		r.book.Apply(rec.Entities)
		r.seen = max(r.seen, rec.Sequence)
	}
	return r.saveSnapshot(ctx, recs)
}

func (r *Reader) loadSnapshot(ctx context.Context) error {
	data, err := r.registry.objects.GetObject(ctx, snapshotKey)
	if storer.IsErrObjectNotExist(err) {
		return nil
	}
	if err != nil {
		return err
	}
	var s snapshotObject
	if err := json.Unmarshal(data, &s); err != nil {
		return wrapper.At("decode_snapshot", "platform", err)
	}
	r.book.Apply(s.Entities)
	r.seen = s.Sequence
	return nil
}

// saveSnapshot writes a snapshot when a multiple of snapshotEvery was passed.
// Several writers do no harm: an older snapshot only means more rows to read.
func (r *Reader) saveSnapshot(ctx context.Context, recs []record) error {
	due := slices.ContainsFunc(recs, func(rec record) bool { return rec.Sequence%snapshotEvery == 0 })
	if !due {
		return nil
	}
	snap := r.book.Get()
	data, err := json.Marshal(snapshotObject{Sequence: r.seen, Entities: slices.Collect(maps.Values(snap.Entities))})
	if err != nil {
		return wrapper.At("encode_snapshot", "", err)
	}
	return r.registry.objects.PutObject(ctx, snapshotKey, data)
}
