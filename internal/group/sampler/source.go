package sampler

// Load pattern: a large group, whose leader can't read the counts of all ranks several times
// a second over its link.

const (
	// maxSources bounds the ranks whose counts are read in one round, not counting the next
	// leaders. Ranks get the same kinds of requests, so some of them show the demand of all.
	maxSources = 24
	// nextLeaders is the number of the lowest ranks, which are always read, as they take
	// over from a leader that has become unreachable.
	nextLeaders = 3
)

// ReadsAllRanks reports whether the counts of all ranks are read in a group of size ranks.
func ReadsAllRanks(size int) bool { return size <= maxSources }

// IsSampled reports whether the counts of a rank are read in a group of size ranks.
func IsSampled(rank, size int) bool {
	stride := (size + maxSources - 1) / maxSources
	return rank < nextLeaders || rank%max(stride, 1) == 0
}
