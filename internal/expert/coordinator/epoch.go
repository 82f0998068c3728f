package coordinator

import (
	"context"
	"encoding/json"

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/store/storer"
)

// epochRow is the row of a group's epoch.
type epochRow struct {
	Epoch  uint64 `json:"epoch"`
	Holder string `json:"holder"`
}

// epochTries bounds the writes for one epoch.
const epochTries = 5

// AcquireEpoch takes an epoch above every earlier one by a conditional write. An
// answer that is lost costs an epoch, no more.
func AcquireEpoch(ctx context.Context, table storer.Table, group, holder string) (uint64, error) {
	key := "group/" + group + "/epoch"
	var last error
	for range epochTries {
		row, err := table.GetRow(ctx, key)
		if err != nil && !storer.IsErrRowNotExist(err) {
			return 0, wrapper.At("read_epoch", "platform", err)
		}
		var cur epochRow
		if row.Version > 0 {
			if err := json.Unmarshal(row.Value, &cur); err != nil {
				return 0, wrapper.At("decode_epoch", "platform", err)
			}
		}
		next := epochRow{Epoch: cur.Epoch + 1, Holder: holder}
		body, err := json.Marshal(next)
		if err != nil {
			return 0, wrapper.At("encode_epoch", "", err)
		}
		last = table.Commit(ctx, storer.Txn{
			Conditions: []storer.Condition{{Key: key, Version: row.Version}},
			Writes:     []storer.Write{{Key: key, Value: body}},
		})
		if last == nil {
			return next.Epoch, nil
		}
	}
	return 0, wrapper.At("write_epoch", "platform", last)
}
