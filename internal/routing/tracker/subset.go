package tracker

import (
	"errors"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"siskinfall/internal/store/storer"
)

var errWrongInstance = errors.New("another instance answers at this address")

// rankByHash returns the instances in an order that depends on entryName, by
// rendezvous hashing, so that few change rank when an instance is added or removed.
func rankByHash(entryName string, list []storer.Instance) []storer.Instance {
	ranked := slices.Clone(list)
	sort.Slice(ranked, func(i, j int) bool {
		return xxhash.Sum64String(entryName+"/"+ranked[i].Name) < xxhash.Sum64String(entryName+"/"+ranked[j].Name)
	})
	return ranked
}
