package server

import (
	"context"
	"time"

	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// Bounds of the interval between two status reports.
const (
	minReportInterval = 50 * time.Millisecond
	maxReportInterval = 10 * time.Second
)

// serveWatch sends the status at each interval, and immediately on notifyWatchers.
func (s *Server) serveWatch(ctx context.Context, req *encoder.WatchRequest, st *connector.Stream) error {
	interval := time.Duration(req.GetIntervalMicros()) * time.Microsecond
	interval = min(max(interval, minReportInterval), maxReportInterval)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		_ = st.SetWriteDeadline(time.Now().Add(maxReportInterval))
		if err := st.Send(s.GetStatus()); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-changed:
		}
	}
}

// GetStatus returns the agent's status report. Each call takes a new sequence number.
func (s *Server) GetStatus() *encoder.AgentStatus {
	load := s.queue.GetLoad()
	crashes, suspects := s.monitor.GetCrashes()
	return &encoder.AgentStatus{
		Instance:          s.cfg.Instance,
		Incarnation:       s.incarnation,
		Zone:              s.cfg.Zone,
		Service:           s.cfg.Agent.Service,
		Group:             s.cfg.Agent.Group,
		Leaving:           s.IsDraining(),
		Ready:             s.healthy.Load(),
		Running:           uint32(load.Running),
		Queued:            uint32(load.Waiting),
		Concurrency:       uint32(load.Slots),
		ServiceTimeMicros: load.ServiceTime.Microseconds(),
		Sequence:          s.sequence.Add(1),
		CrashSuspects:     suspects,
		Crashes:           crashes,
		GroupStalled:      s.group != nil && s.group.IsStalled(),
	}
}
