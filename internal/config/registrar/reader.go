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

// snapshotInterval is the number of tickets between two snapshots.
const snapshotInterval = 32

// snapshotObject is the object that stores the configuration up to a sequence.
type snapshotObject struct {
	Sequence uint64            `json:"sequence"`
	Entities []*encoder.Entity `json:"entities"`
}

// Reader applies accepted tickets to an ActiveConfig. It is not safe for concurrent use.
type Reader struct {
	registry *Registry
	config   *ActiveConfig
	// lastSequence is the sequence up to which every ticket has been applied.
	lastSequence uint64
	// loaded is set once the first Poll has read the head row.
	loaded bool
}

// NewReader returns a Reader that applies tickets to config.
func NewReader(registry *Registry, config *ActiveConfig) *Reader {
	return &Reader{registry: registry, config: config}
}

// Poll reads the head row, and reads and applies the tickets accepted since the
// last call if there are any. The first call starts from the snapshot in the
// object store.
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
	if seq <= r.lastSequence {
		return nil
	}
	recs, err := r.registry.listRecords(ctx, changePrefix, changeKey(r.lastSequence))
	if err != nil {
		return err
	}
	for _, rec := range recs {
		r.config.Apply(rec.Entities)
		r.lastSequence = max(r.lastSequence, rec.Sequence)
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
	r.config.Apply(s.Entities)
	r.lastSequence = s.Sequence
	return nil
}

// saveSnapshot writes a snapshot if the sequence of one of recs is a multiple of
// snapshotInterval. Processes may overwrite each other's snapshot: an older one
// only means more rows to read.
func (r *Reader) saveSnapshot(ctx context.Context, recs []record) error {
	due := slices.ContainsFunc(recs, func(rec record) bool { return rec.Sequence%snapshotInterval == 0 })
	if !due {
		return nil
	}
	snap := r.config.Get()
	data, err := json.Marshal(snapshotObject{Sequence: r.lastSequence, Entities: slices.Collect(maps.Values(snap.Entities))})
	if err != nil {
		return wrapper.At("encode_snapshot", "", err)
	}
	return r.registry.objects.PutObject(ctx, snapshotKey, data)
}
