package server

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/process/sleeper"
	"siskinfall/internal/report/burner"
	"siskinfall/internal/store/leaser"
	"siskinfall/internal/store/storer"
)

// Intervals of the background tasks.
const (
	// historyInterval is how often the service-level history is saved.
	historyInterval = time.Minute
	// sweepInterval is the interval between two pages of a sweep, which bounds the
	// sweep to one write per second.
	sweepInterval    = time.Second
	sweepLeaseTTL    = 15 * time.Second
	maxSweepInterval = 30 * time.Second
)

const (
	historyPrefix = "history/"
	historyIndex  = "history/index"
)

// historyFile is the saved request counts of one incarnation of an instance.
type historyFile struct {
	Instance string          `json:"instance"`
	Saved    time.Time       `json:"saved"`
	Series   []burner.Series `json:"series"`
}

func (s *Server) historyKey() string { return historyPrefix + s.cfg.Instance + "/" + s.bootID() }

// saveHistory writes this instance's counts to the object store, so that they
// outlive the process, and adds the object to the index in the table.
func (s *Server) saveHistory(ctx context.Context) {
	series := s.burnCounter.GetSeries()
	if len(series) == 0 {
		return
	}
	data, err := json.Marshal(historyFile{Instance: s.cfg.Instance, Saved: time.Now().UTC(), Series: series})
	if err != nil {
		return
	}
	if err := s.platform.PutObject(ctx, s.historyKey(), data); err != nil {
		log.Debug("failed to save history", "error", err)
		return
	}
	if err := s.indexHistory(ctx); err != nil {
		log.Debug("failed to index history", "error", err)
	}
}

// indexHistory adds this incarnation's file to the index in the table, once.
func (s *Server) indexHistory(ctx context.Context) error {
	key := historyIndex + "/" + s.cfg.Instance + "/" + s.bootID()
	_, err := s.platform.GetRow(ctx, key)
	if !storer.IsErrRowNotExist(err) {
		return err
	}
	return s.platform.Commit(ctx, storer.Txn{
		Conditions: []storer.Condition{{Key: key}},
		Writes:     []storer.Write{{Key: key, Value: []byte(s.historyKey())}},
	})
}

// loadHistories returns the saved counts of processes that no longer run: all
// files except those whose keys are in live.
func (s *Server) loadHistories(ctx context.Context, live []string) ([]burner.Series, error) {
	var series []burner.Series
	after := historyIndex + "/"
	for {
		rows, err := s.platform.ListRows(ctx, historyIndex+"/", after, historyPageSize)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			after = row.Key
			if slices.Contains(live, string(row.Value)) {
				continue
			}
			data, err := s.platform.GetObject(ctx, string(row.Value))
			if err != nil {
				return nil, err
			}
			var f historyFile
			if json.Unmarshal(data, &f) == nil {
				series = append(series, f.Series...)
			}
		}
		if len(rows) < historyPageSize {
			return series, nil
		}
	}
}

// historyPageSize is the number of index rows in one read.
const historyPageSize = 256

// runSweep deletes expired executions while this instance holds the lease.
func (s *Server) runSweep(ctx context.Context) {
	for ctx.Err() == nil {
		lease, err := leaser.Acquire(ctx, s.platform, "sweep", s.cfg.Instance+"/"+s.bootID(), sweepLeaseTTL)
		if err == nil {
			s.sweep(ctx, lease)
		}
		sleeper.Sleep(ctx, maxSweepInterval/2+rand.N(maxSweepInterval/2))
	}
}

// sweep iterates over the rows once, page by page, and deletes the expired
// executions.
func (s *Server) sweep(ctx context.Context, lease *leaser.Lease) {
	after, deleted := "", 0
	for ctx.Err() == nil {
		if lease.Renew(ctx) != nil {
			return
		}
		next, n, err := s.executions.Sweep(ctx, after, time.Now())
		if err != nil {
			log.Debug("sweep aborted", "error", err)
			return
		}
		deleted += n
		if next == "" {
			break
		}
		after = next
		sleeper.Sleep(ctx, sweepInterval)
	}
	if deleted > 0 {
		s.recorder.AddEvent("swept", "%d expired executions", deleted)
	}
}
