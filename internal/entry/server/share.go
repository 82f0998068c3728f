package server

import (
	"context"

	"github.com/charmbracelet/log"

	"siskinfall/internal/admission/aggregator"
	"siskinfall/internal/store/storer"
	"siskinfall/internal/wire/encoder"
)

// shareDemand tells the demand of the period that ends now to those who sum it,
// and takes in the sums. What this instance sums itself it tells to its
// counterparts in the other availability zones.
func (s *Server) shareDemand(ctx context.Context) {
	plan := s.plan.Load()
	report := s.limiter.EndPeriod(s.cfg.Entry.SyncInterval)
	for _, part := range s.splitReport(plan, report) {
		if part.to.Name == s.cfg.Instance {
			s.limiter.SetTotals(s.aggregator.Report(part.report).GetUses())
			continue
		}
		go s.tellDemand(ctx, part)
	}
	for _, part := range s.splitSums(plan) {
		go s.tellDemand(ctx, part)
	}
}

// sharePart is a report for one instance.
type sharePart struct {
	to     storer.Instance
	report *encoder.ShareReport
}

// splitReport splits a report by who sums its accounts in the own zone.
func (s *Server) splitReport(plan *aggregator.Plan, r *encoder.ShareReport) map[string]*sharePart {
	parts := make(map[string]*sharePart)
	for _, use := range r.GetUses() {
		to, ok := plan.GetInstance(s.cfg.Zone, aggregator.GetShard(use.GetClientAccount()))
		if !ok {
			continue
		}
		addUse(parts, to, &encoder.ShareReport{Instance: r.GetInstance(), Zone: r.GetZone()}, use)
	}
	return parts
}

// splitSums splits the own zone's sums by the counterparts in other zones.
func (s *Server) splitSums(plan *aggregator.Plan) map[string]*sharePart {
	parts := make(map[string]*sharePart)
	for shard, uses := range s.aggregator.GetZoneSums() {
		for _, zone := range plan.GetZones() {
			to, _ := plan.GetInstance(zone, shard)
			if zone == s.cfg.Zone {
				continue
			}
			for _, use := range uses {
				addUse(parts, to, &encoder.ShareReport{Zone: s.cfg.Zone}, use)
			}
		}
	}
	return parts
}

func addUse(parts map[string]*sharePart, to storer.Instance, empty *encoder.ShareReport, use *encoder.AccountUse) {
	if parts[to.Name] == nil {
		parts[to.Name] = &sharePart{to: to, report: empty}
	}
	parts[to.Name].report.Uses = append(parts[to.Name].report.Uses, use)
}

// tellDemand sends a part and takes in the sums of the answer. An instance that
// hears nothing keeps to the sums it had.
func (s *Server) tellDemand(ctx context.Context, part *sharePart) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	reply := &encoder.ShareReport{}
	open := &encoder.Open{Kind: &encoder.Open_Share{Share: part.report}}
	if err := s.pool.Call(ctx, part.to.Address, open, reply); err != nil {
		log.Debug("demand not told", "peer", part.to.Name, "error", err)
		return
	}
	s.limiter.SetTotals(reply.GetUses())
}

// takeShare sums what a peer tells.
func (s *Server) takeShare(r *encoder.ShareReport) *encoder.ShareReport {
	if r.GetInstance() == "" {
		s.aggregator.MergeZone(r)
		return &encoder.ShareReport{Zone: s.cfg.Zone}
	}
	return s.aggregator.Report(r)
}
