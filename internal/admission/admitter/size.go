package admitter

// Load pattern: long prompts and answers among short ones.

// sizeClass is the rank of a request's size among those of its kind.
type sizeClass int

const (
	usualSize sizeClass = iota
	// upperSize is the fifth below the largest tenth, largestSize that tenth.
	upperSize
	largestSize
)

const (
	upperQuantile   = 0.7
	largestQuantile = 0.9
	// quantileStep is the step of a quantile's estimate as a fraction of the mean size.
	quantileStep = 0.05
	// meanWeight is the EWMA weight of the newest size.
	meanWeight = 0.02
)

// sizes estimates quantiles of the sizes of a kind of requests.
type sizes struct{ mean, upper, largest float64 }

func (s *sizes) add(size int) {
	x := float64(size)
	if s.mean == 0 {
		s.mean, s.upper, s.largest = x, x, 2*x
	}
	s.mean += meanWeight * (x - s.mean)
	s.upper += s.step(x, s.upper, upperQuantile)
	s.largest += s.step(x, s.largest, largestQuantile)
}

// step returns the change of a quantile's estimate q after a sample x.
func (s *sizes) step(x, q, quantile float64) float64 {
	if x > q {
		return quantileStep * s.mean * quantile
	}
	return -quantileStep * s.mean * (1 - quantile)
}

func (s *sizes) classify(size int) sizeClass {
	switch x := float64(size); {
	case s.mean > 0 && x > s.largest:
		return largestSize
	case s.mean > 0 && x > s.upper:
		return upperSize
	}
	return usualSize
}
