package gossiper

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"io"
)

// maxStateBytes bounds the JSON of a state that a peer sends.
const maxStateBytes = 64 << 20

var errStateTooLarge = errors.New("state of peer is too large")

// encodeState returns a state as JSON, compressed if asked for. Its entries are much alike, so
// that compression saves most of the bytes.
func encodeState(state any, compress bool) ([]byte, error) {
	data, err := json.Marshal(state)
	if err != nil || !compress {
		return data, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decodeState decodes a state of a peer.
func decodeState(data []byte, compressed bool, state any) error {
	if !compressed {
		return json.Unmarshal(data, state)
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxStateBytes+1))
	if err != nil {
		return err
	}
	if len(text) > maxStateBytes {
		return errStateTooLarge
	}
	return json.Unmarshal(text, state)
}
