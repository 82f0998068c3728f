package sampler

// Load pattern: a large group, whose leader can't read the counts of all ranks
// several times a second over its link.

const (
	// mostSources is the number of ranks whose counts are read in one round. Ranks
	// get the same kinds of requests, so that a part of them tells the demand.
	mostSources = 24
	// nextLeaders are the ranks that are always read, as they take over from a
	// leader that has gone silent.
	nextLeaders = 3
)

// IsWhole reports whether the counts of all ranks of a group are read.
func IsWhole(size int) bool { return size <= mostSources }

// IsSource reports whether a rank's counts are read, in a group of a size.
func IsSource(rank, size int) bool {
	step := (size + mostSources - 1) / mostSources
	return rank < nextLeaders || rank%max(step, 1) == 0
}
