package server

import (
	"context"

	"github.com/charmbracelet/log"

	"siskinfall/internal/admission/aggregator"
	"siskinfall/internal/store/storer"
	"siskinfall/internal/wire/encoder"
)

// shareDemand reports the demand of the period that ends now to the instances
// that sum it, and applies the sums they return. It sends the sums that this
// instance computes to its counterparts in the other availability zones.
func (s *Server) shareDemand(ctx context.Context) {
	plan := s.plan.Load()
	report := s.limiter.EndPeriod(s.cfg.Entry.SyncInterval)
	for _, out := range s.splitReport(plan, report) {
		if out.to.Name == s.cfg.Instance {
			s.limiter.SetTotals(s.aggregator.Report(out.report).GetUses())
			continue
		}
		go s.sendDemand(ctx, out)
	}
	for _, out := range s.splitSums(plan) {
		go s.sendDemand(ctx, out)
	}
}

// outgoingReport is a demand report and the instance to which it is sent.
type outgoingReport struct {
	to     storer.Instance
	report *encoder.ShareReport
}

// splitReport splits a report by the instance that sums each account in this
// availability zone. Keys are instance names.
func (s *Server) splitReport(plan *aggregator.Plan, r *encoder.ShareReport) map[string]*outgoingReport {
	reports := make(map[string]*outgoingReport)
	for _, use := range r.GetUses() {
		to, ok := plan.GetInstance(s.cfg.Zone, aggregator.GetShard(use.GetClientAccount()))
		if !ok {
			continue
		}
		addUse(reports, to, &encoder.ShareReport{Instance: r.GetInstance(), Zone: r.GetZone()}, use)
	}
	return reports
}

// splitSums splits the sums of this availability zone by the counterparts in the
// other zones. Keys are instance names.
func (s *Server) splitSums(plan *aggregator.Plan) map[string]*outgoingReport {
	reports := make(map[string]*outgoingReport)
	for shard, uses := range s.aggregator.GetZoneSums() {
		for _, zone := range plan.GetZones() {
			to, _ := plan.GetInstance(zone, shard)
			if zone == s.cfg.Zone {
				continue
			}
			for _, use := range uses {
				addUse(reports, to, &encoder.ShareReport{Zone: s.cfg.Zone}, use)
			}
		}
	}
	return reports
}

func addUse(reports map[string]*outgoingReport, to storer.Instance, newReport *encoder.ShareReport, use *encoder.AccountUse) {
	if reports[to.Name] == nil {
		reports[to.Name] = &outgoingReport{to: to, report: newReport}
	}
	reports[to.Name].report.Uses = append(reports[to.Name].report.Uses, use)
}

// sendDemand sends a report and applies the sums in the reply. Without a reply the
// previous sums stay in use.
func (s *Server) sendDemand(ctx context.Context, out *outgoingReport) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	reply := &encoder.ShareReport{}
	open := &encoder.Open{Kind: &encoder.Open_Share{Share: out.report}}
	if err := s.pool.Call(ctx, out.to.Address, open, reply); err != nil {
		log.Debug("failed to send demand to peer", "peer", out.to.Name, "error", err)
		return
	}
	s.limiter.SetTotals(reply.GetUses())
}

// handleShareReport adds a peer's report to the sums. A report without an
// instance name carries the sums of another availability zone.
func (s *Server) handleShareReport(r *encoder.ShareReport) *encoder.ShareReport {
	if r.GetInstance() == "" {
		s.aggregator.MergeZone(r)
		return &encoder.ShareReport{Zone: s.cfg.Zone}
	}
	return s.aggregator.Report(r)
}
