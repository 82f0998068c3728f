package archiver

import (
	"fmt"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"

	"siskinfall/internal/gateway/quarantiner"
	"siskinfall/internal/wire/encoder"
)

// unreadableTTL is how long a row is left that can't be read, as of a later build.
const unreadableTTL = 10 * time.Minute

// newKey returns the key of the row of a request or a part.
func newKey(digest uint64) string { return fmt.Sprintf("%016x", digest) }

// encode returns the value of the row with the losses, whose ages count from the store's clock.
func (a *Archiver) encode(r quarantiner.Record, now time.Time) ([]byte, error) {
	return proto.Marshal(&encoder.ArchivedLosses{
		ArchivedAtMillis: now.Sub(a.clockStart).Milliseconds(),
		Losses:           quarantiner.EncodeRecords([]quarantiner.Record{r}, now)[0],
	})
}

// decode returns the losses in a row.
func (a *Archiver) decode(row Row, now time.Time) (archived, []quarantiner.Record) {
	m := &encoder.ArchivedLosses{}
	err := proto.Unmarshal(row.Value, m)
	if key := newKey(m.GetLosses().GetDigest()); err == nil && key != row.Key {
		err = fmt.Errorf("the value belongs to %s", key)
	}
	if err != nil {
		log.Warn("row of the archive can't be read", "event", "archive", "key", row.Key, "error", err)
		return archived{revision: row.Revision, expiresAt: now.Add(unreadableTTL)}, nil
	}
	at := a.clockStart.Add(time.Duration(m.GetArchivedAtMillis()) * time.Millisecond)
	if at.After(now) {
		at = now
	}
	records := quarantiner.DecodeRecords([]*encoder.LostServers{m.GetLosses()}, at)
	return archived{revision: row.Revision, fingerprint: records[0].Fingerprint(), expiresAt: records[0].GetExpiry()}, records
}
