package tracker

import (
	"errors"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"siskinfall/internal/store/storer"
)

var errWrongInstance = errors.New("another instance answers at this address")

// rankByHash orders instances by a hash with own, so that each entry instance
// has an order of its own and few change places when one comes or goes.
func rankByHash(own string, list []storer.Instance) []storer.Instance {
	ranked := slices.Clone(list)
	sort.Slice(ranked, func(i, j int) bool {
		return xxhash.Sum64String(own+"/"+ranked[i].Name) < xxhash.Sum64String(own+"/"+ranked[j].Name)
	})
	return ranked
}
