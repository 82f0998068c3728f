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

// Intervals of background work.
const (
	// historyInterval is how often the service-level history is saved.
	historyInterval = time.Minute
	// sweepInterval is the pause between two pages of the sweep: at most one
	// write a second.
	sweepInterval = time.Second
	sweepLease    = 15 * time.Second
	maxSweepPause = 30 * time.Second
)

const (
	historyPath  = "history/"
	historyIndex = "history/index"
)

// historyFile is what one incarnation of an instance has counted.
type historyFile struct {
	Instance string          `json:"instance"`
	Saved    time.Time       `json:"saved"`
	Series   []burner.Series `json:"series"`
}

func (s *Server) historyKey() string { return historyPath + s.cfg.Instance + "/" + s.bootID() }

// saveHistory writes the own counts to the object store, so that they outlive
// this instance, and lists them in the table once.
func (s *Server) saveHistory(ctx context.Context) {
	series := s.burn.GetSeries()
	if len(series) == 0 {
		return
	}
	data, err := json.Marshal(historyFile{Instance: s.cfg.Instance, Saved: time.Now().UTC(), Series: series})
	if err != nil {
		return
	}
	if err := s.platform.PutObject(ctx, s.historyKey(), data); err != nil {
		log.Debug("history not saved", "error", err)
		return
	}
	if err := s.listHistory(ctx); err != nil {
		log.Debug("history not listed", "error", err)
	}
}

// listHistory adds the own file to the index in the table.
func (s *Server) listHistory(ctx context.Context) error {
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

// loadHistories returns the saved counts of processes that are gone: all files
// but those of the given live ones.
func (s *Server) loadHistories(ctx context.Context, live []string) ([]burner.Series, error) {
	var series []burner.Series
	after := historyIndex + "/"
	for {
		rows, err := s.platform.ListRows(ctx, historyIndex+"/", after, historyPage)
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
		if len(rows) < historyPage {
			return series, nil
		}
	}
}

// historyPage is the number of index rows read at once.
const historyPage = 256

// runSweep deletes expired executions while this instance holds the lease.
func (s *Server) runSweep(ctx context.Context) {
	for ctx.Err() == nil {
		lease, err := leaser.Acquire(ctx, s.platform, "sweep", s.cfg.Instance+"/"+s.bootID(), sweepLease)
		if err == nil {
			s.sweep(ctx, lease)
		}
		sleeper.Sleep(ctx, maxSweepPause/2+rand.N(maxSweepPause/2))
	}
}

// sweep goes through the rows once, page by page.
func (s *Server) sweep(ctx context.Context, lease *leaser.Lease) {
	after, deleted := "", 0
	for ctx.Err() == nil {
		if lease.Renew(ctx) != nil {
			return
		}
		next, n, err := s.executions.Sweep(ctx, after, time.Now())
		if err != nil {
			log.Debug("sweep stopped", "error", err)
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
