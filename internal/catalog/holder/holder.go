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
	// highest is the highest version ever put in force, kept apart from current so
	// that the assertion does not rest on what it checks.
	highest uint64
	// confirmed is when a source last said that no newer version exists, in
	// nanoseconds of the steady clock since start.
	confirmed atomic.Int64
	start     time.Time
	onChange  []func(*Catalog)
}

// New returns an empty Holder.
func New() *Holder { return &Holder{start: time.Now()} }

// OnChange adds a function that is called, in order, with each new catalog.
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

// Offer puts a catalog in force if it is newer than the present one.
func (h *Holder) Offer(c *Catalog, source string) bool {
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

// Confirm notes that a source has just said what the newest version is.
func (h *Holder) Confirm(now time.Time) { h.confirmed.Store(int64(now.Sub(h.start)) + 1) }

// GetAge returns the time since a source last said what the newest version is.
// It is very long before the first word.
func (h *Holder) GetAge(now time.Time) time.Duration {
	at := h.confirmed.Load()
	if at == 0 {
		return time.Duration(1<<63 - 1)
	}
	return now.Sub(h.start) - time.Duration(at-1)
}
