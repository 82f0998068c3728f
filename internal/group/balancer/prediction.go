package balancer

import (
	"math"
	"time"

	"github.com/charmbracelet/log"
)

// maxSkewError is the difference between the predicted and the seen skew up to which a change
// did what it was made for. The demand changes in between if it is larger, or was misjudged.
const maxSkewError = minSkewGain

// prediction is the skew that a change is expected to bring.
type prediction struct {
	version uint64
	skew    float64
	// madeAt is when the change was made, zero once the skew was compared.
	madeAt time.Time
}

// compare compares the prediction with the skew seen under a version, by a demand that was
// observed at a time.
func (p *prediction) compare(skew float64, version uint64, observedAt time.Time) {
	if p.madeAt.IsZero() || p.version != version || !observedAt.After(p.madeAt) {
		return
	}
	if math.Abs(skew-p.skew) > maxSkewError {
		skewErrors.Inc()
		log.Info("skew after a change is not the predicted one", "event", "skew_mispredicted", "version", version, "predicted", p.skew, "seen", skew,
			"after", observedAt.Sub(p.madeAt))
	}
	p.madeAt = time.Time{}
}
