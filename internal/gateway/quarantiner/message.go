package quarantiner

import (
	"time"

	"siskinfall/internal/wire/encoder"
)

// maxAgeMillis bounds the age of a loss that a peer may report.
const maxAgeMillis = uint64(24 * time.Hour / time.Millisecond)

// EncodeRecords encodes losses with their ages.
func EncodeRecords(records []Record, now time.Time) []*encoder.LostServers {
	out := make([]*encoder.LostServers, 0, len(records))
	for _, r := range records {
		m := &encoder.LostServers{Digest: r.Digest, PartPosition: uint32(r.PartPosition)}
		for _, l := range r.Losses {
			m.Servers = append(m.Servers, &encoder.LostServer{
				Observer: l.Observer, Number: l.Number, Server: l.Server.ID, ServerStartedMillis: l.Server.Started.UnixMilli(),
				AgeMillis: uint64(max(now.Sub(l.At), 0).Milliseconds()), Explained: l.Explained, InGroup: l.InGroup, Convicted: l.Convicted,
			})
		}
		out = append(out, m)
	}
	return out
}

// DecodeRecords decodes losses, with the times that follow from their ages.
func DecodeRecords(list []*encoder.LostServers, now time.Time) []Record {
	records := make([]Record, 0, len(list))
	for _, m := range list {
		r := Record{Digest: m.GetDigest(), PartPosition: int(m.GetPartPosition())}
		for _, l := range m.GetServers() {
			r.Losses = append(r.Losses, Loss{
				LossID: LossID{Observer: l.GetObserver(), Number: l.GetNumber()},
				Server: NewServer(l.GetServer(), time.UnixMilli(l.GetServerStartedMillis())),
				At:     now.Add(-time.Duration(min(l.GetAgeMillis(), maxAgeMillis)) * time.Millisecond), Explained: l.GetExplained(), InGroup: l.GetInGroup(), Convicted: l.GetConvicted(),
			})
		}
		records = append(records, r)
	}
	return records
}
