package server

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"time"
)

// ConfigView is the configuration in force at this instance.
type ConfigView struct {
	Instance string       `json:"instance"`
	Digest   string       `json:"digest"`
	Entities []EntityView `json:"entities"`
}

// EntityView is one entity of the configuration in force.
type EntityView struct {
	Entity  string          `json:"entity"`
	Number  uint64          `json:"number"`
	Deleted bool            `json:"deleted,omitempty"`
	Body    json.RawMessage `json:"body,omitempty"`
}

func (s *Server) getConfig(w http.ResponseWriter, _ *http.Request) {
	snap := s.activeConfig.Get()
	view := ConfigView{Instance: s.cfg.Instance, Digest: strconv.FormatUint(snap.Digest, 16), Entities: []EntityView{}}
	for ref, e := range snap.Entities {
		view.Entities = append(view.Entities, EntityView{Entity: ref.String(), Number: e.GetNumber(), Deleted: e.GetDeleted(), Body: e.GetBody()})
	}
	sort.Slice(view.Entities, func(i, j int) bool { return view.Entities[i].Entity < view.Entities[j].Entity })
	writeJSON(w, view)
}

// StatusView is the state of the fleet as observed by this instance.
type StatusView struct {
	Entries []EntryView `json:"entries"`
	Agents  []AgentView `json:"agents"`
}

// EntryView is the status of one entry instance.
type EntryView struct {
	Instance string `json:"instance"`
	Zone     string `json:"availability_zone"`
	// Reached is false for an instance that did not answer.
	Reached bool   `json:"reached"`
	Ready   bool   `json:"ready"`
	Digest  string `json:"config_digest"`
	// Lagging says that the instance's configuration differs from that of the
	// instance which answers.
	Lagging bool `json:"lagging"`
}

// AgentView is the latest report of one agent.
type AgentView struct {
	Instance string `json:"instance"`
	Zone     string `json:"availability_zone"`
	Service  string `json:"service"`
	Group    string `json:"model_group,omitempty"`
	Running  uint32 `json:"running"`
	Queued   uint32 `json:"queued"`
	// Available says that this instance routes work to the agent.
	Available bool          `json:"available"`
	Leaving   bool          `json:"leaving"`
	Crashes   uint64        `json:"crashes"`
	Age       time.Duration `json:"report_age_nanoseconds"`
}
