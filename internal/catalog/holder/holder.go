package holder

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/check/asserter"
)

// Holder keeps the newest catalog. It is safe for concurrent use.
type Holder struct {
	mu sync.Mutex
	// current is nil before the first catalog; its version never falls.
	current atomic.Pointer[Catalog]
	// highest is the highest version ever put in force, kept apart from current so that
	// the assertion does not depend on the state that it checks.
	highest uint64
	// confirmed is when a source last reported the newest version, in nanoseconds of the
	// monotonic clock since start plus 1; 0 means never.
	confirmed atomic.Int64
	start     time.Time
	onChange  []func(*Catalog)
}

// New returns an empty Holder.
func New() *Holder { return &Holder{start: time.Now()} }

// OnChange adds a function that is called with each new catalog, in order of version, and
// at once with the current one if there is one.
func (h *Holder) OnChange(f func(*Catalog)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onChange = append(h.onChange, f)
	if c := h.current.Load(); c != nil {
		f(c)
	}
}

// Get returns the catalog in force, nil before the first.
func (h *Holder) Get() *Catalog { return h.current.Load() }

// GetVersion returns the version in force, 0 before the first.
func (h *Holder) GetVersion() uint64 {
	if c := h.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// ApplyIfNewer puts a catalog in force if it is newer than the current one, and reports whether
// it did. It ignores nil.
func (h *Holder) ApplyIfNewer(c *Catalog, source string) bool {
	if c == nil || c.Version <= h.GetVersion() {
		return false
	}
	c.Index()
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.GetVersion()
	if c.Version <= old {
		return false
	}
	if asserter.Holds(c.Version > h.highest, asserter.RuleMonotone, "catalog %d after %d", c.Version, h.highest) != nil {
		return false
	}
	h.highest = c.Version
	h.current.Store(c)
	log.Info("catalog in force", "event", "catalog", "version", c.Version, "before", old, "source", source,
		"routes", len(c.Routes), "services", len(c.Services), "accounts", len(c.Accounts))
	for _, f := range h.onChange {
		f(c)
	}
	return true
}

// Confirm records that the version in force was reported as the newest one at now.
func (h *Holder) Confirm(now time.Time) { h.confirmed.Store(int64(now.Sub(h.start)) + 1) }

// GetAge returns the time since a source last reported the newest version, and the
// maximum duration before the first report.
func (h *Holder) GetAge(now time.Time) time.Duration {
	confirmed := h.confirmed.Load()
	if confirmed == 0 {
		return time.Duration(1<<63 - 1)
	}
	return now.Sub(h.start) - time.Duration(confirmed-1)
}
