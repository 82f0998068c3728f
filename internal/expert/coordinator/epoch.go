package coordinator

import (
	"context"
	"encoding/json"

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/store/storer"
)

// epochRow is the stored row with a group's latest epoch and the instance that
// holds it.
type epochRow struct {
	Epoch  uint64 `json:"epoch"`
	Holder string `json:"holder"`
}

// maxEpochAttempts is the maximum number of conditional writes for one epoch.
const maxEpochAttempts = 5

// AcquireEpoch acquires an epoch above every earlier one by a conditional write.
// If the answer to a successful write is lost, its epoch is skipped, which is
// harmless.
func AcquireEpoch(ctx context.Context, table storer.Table, group, holder string) (uint64, error) {
	key := "group/" + group + "/epoch"
	var lastErr error
	for range maxEpochAttempts {
		row, err := table.GetRow(ctx, key)
		if err != nil && !storer.IsErrRowNotExist(err) {
			return 0, wrapper.At("read_epoch", "platform", err)
		}
		var current epochRow
		if row.Version > 0 {
			if err := json.Unmarshal(row.Value, &current); err != nil {
				return 0, wrapper.At("decode_epoch", "platform", err)
			}
		}
		next := epochRow{Epoch: current.Epoch + 1, Holder: holder}
		body, err := json.Marshal(next)
		if err != nil {
			return 0, wrapper.At("encode_epoch", "", err)
		}
		lastErr = table.Commit(ctx, storer.Txn{
			Conditions: []storer.Condition{{Key: key, Version: row.Version}},
			Writes:     []storer.Write{{Key: key, Value: body}},
		})
		if lastErr == nil {
			return next.Epoch, nil
		}
	}
	return 0, wrapper.At("write_epoch", "platform", lastErr)
}
