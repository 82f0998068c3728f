// Package loader reads the settings file of a process and checks it.
package loader

import (
	"net/netip"
	"time"
)

// Settings is the content of a settings file.
type Settings struct {
	// Instance is unique among all instances.
	Instance string `yaml:"instance" validate:"required,max=64" comment:"name of this instance, unique in the fleet"`
	// Zone names the availability zone this instance is in.
	Zone     string   `yaml:"availability_zone" validate:"required,max=64" comment:"availability zone of this instance"`
	Listen   Listen   `yaml:"listen" comment:"addresses, all as IP number and port"`
	Platform Platform `yaml:"platform" comment:"the platform's table service, object store and instance list"`
	Log      Log      `yaml:"log" comment:"structured logs on standard error"`
	Entry    Entry    `yaml:"entry" comment:"used by the entry command only"`
	Agent    Agent    `yaml:"agent" comment:"used by the agent command only"`
	Gateway  Gateway  `yaml:"gateway" comment:"used by the gateway command only"`
	Sidecar  Sidecar  `yaml:"sidecar" comment:"used by the sidecar command only"`
}

// Listen holds the addresses that the process binds.
type Listen struct {
	Callers netip.AddrPort `yaml:"callers" comment:"entry: requests of client accounts (HTTP)"`
	Admin   netip.AddrPort `yaml:"admin" comment:"operators, metrics, health (HTTP)"`
	Peers   netip.AddrPort `yaml:"peers" comment:"other processes of siskinfall (yamux)"`
	// Metrics is optional.
	Metrics netip.AddrPort `yaml:"metrics" comment:"gateway and sidecar: counters and histograms alone (HTTP); empty for none"`
}

// Platform configures the calls to the platform.
type Platform struct {
	Address netip.AddrPort `yaml:"address" comment:"address of the platform"`
	Timeout time.Duration  `yaml:"timeout" validate:"min=10ms,max=30s" comment:"longest wait for one call"`
}

// Log configures the log.
type Log struct {
	Level  string `yaml:"level" validate:"oneof=debug info warn error" comment:"debug, info, warn or error"`
	Format string `yaml:"format" validate:"oneof=text json" comment:"text or json"`
}

// Entry configures an entry instance.
type Entry struct {
	DrainTimeout time.Duration `yaml:"drain_timeout" validate:"min=1s,max=1h" comment:"longest wait for requests in flight at shutdown"`
	PollInterval time.Duration `yaml:"poll_interval" validate:"min=50ms,max=1m" comment:"how often configuration and instance list are read"`
	SyncInterval time.Duration `yaml:"sync_interval" validate:"min=50ms,max=1m" comment:"how often state is exchanged with a peer"`
	Heartbeat    time.Duration `yaml:"heartbeat" validate:"min=50ms,max=1s" comment:"interval of the agents' reports; 2.5 of them missing make an agent lost"`
	// SeedPeers need not be reachable; the first that replies is used.
	SeedPeers     []netip.AddrPort `yaml:"seed_peers" comment:"entry instances to ask while the platform is down"`
	ZoneHop       time.Duration    `yaml:"zone_hop" validate:"min=0,max=1s" comment:"one-way latency between availability zones"`
	Hops          []Hop            `yaml:"hops" validate:"dive" comment:"latencies to zones that differ from zone_hop, as those of another region"`
	Candidates    int              `yaml:"candidates" validate:"min=1,max=64" comment:"backend servers compared for one request"`
	RemoteAgents  int              `yaml:"remote_agents" validate:"min=0,max=1024" comment:"agents watched in each other availability zone; 0 watches all"`
	OperatorKeys  []OperatorKey    `yaml:"operator_keys" validate:"dive" comment:"keys of operators; without any, only loopback may operate"`
	MaxBody       int              `yaml:"max_body_bytes" validate:"min=1024,max=4194304" comment:"largest request body"`
	BodyPause     time.Duration    `yaml:"body_pause" validate:"min=50ms,max=10m" comment:"longest pause between two parts of a request body"`
	BodyTimeout   time.Duration    `yaml:"body_timeout" validate:"min=50ms,max=1h" comment:"longest time for a whole request body"`
	Memory        int              `yaml:"memory_megabytes" validate:"min=32,max=65536" comment:"memory of which callers may hold parts"`
	Descriptors   int              `yaml:"max_descriptors" validate:"min=64,max=1048576" comment:"files and connections that the process may have open"`
	ExplainRecent int              `yaml:"explain_recent" validate:"min=16,max=100000" comment:"requests kept for explain"`
}

// Hop is the latency to one availability zone.
type Hop struct {
	Zone   string        `yaml:"availability_zone" validate:"required" comment:"the other availability zone"`
	OneWay time.Duration `yaml:"one_way" validate:"min=0,max=10s" comment:"one-way latency"`
}

// OperatorKey is a key of an operator, kept as a hash.
type OperatorKey struct {
	Name string `yaml:"name" validate:"required" comment:"name of the operator"`
	// Hash is the SHA-256 of the key in hexadecimal.
	Hash string `yaml:"sha256" validate:"len=64,hexadecimal" comment:"SHA-256 of the key"`
	Role string `yaml:"role" validate:"oneof=reader operator" comment:"reader or operator"`
}

// Agent configures an agent.
type Agent struct {
	Service      string         `yaml:"service" comment:"service that the backend server offers"`
	Group        string         `yaml:"group" comment:"expert-parallel model group of the backend server; empty for plain services"`
	Backend      netip.AddrPort `yaml:"backend" comment:"address of the backend server"`
	DrainTimeout time.Duration  `yaml:"drain_timeout" validate:"min=1s,max=1h" comment:"longest wait for requests in flight at shutdown"`
	Concurrency  int            `yaml:"concurrency" validate:"min=1,max=4096" comment:"requests run at once"`
	// MinConcurrency never exceeds Concurrency.
	MinConcurrency int           `yaml:"min_concurrency" validate:"min=1,ltefield=Concurrency" comment:"least requests run at once while the backend server is slow"`
	QueueRequests  int           `yaml:"queue_requests" validate:"min=0,max=65536" comment:"requests queued at most"`
	QueueBytes     int           `yaml:"queue_bytes" validate:"min=0" comment:"request bytes queued at most"`
	HealthInterval time.Duration `yaml:"health_interval" validate:"min=50ms,max=1m" comment:"how often the backend server is checked"`
}

// Gateway configures a gateway, which hands requests to backend servers itself.
type Gateway struct {
	Memory int `yaml:"memory_megabytes" validate:"min=32,max=65536" comment:"memory that the process may use"`
	// Descriptors bounds the connections of callers and those to backend servers together.
	Descriptors int `yaml:"max_descriptors" validate:"min=64,max=1048576" comment:"files and connections that the process may have open"`
	// RotationDelay plus the time of the longest request must stay below Grace.
	RotationDelay time.Duration `yaml:"rotation_delay" validate:"min=0,max=1m" comment:"how long new connections still come after a shutdown has begun"`
	Grace         time.Duration `yaml:"grace" validate:"min=1s,max=1h" comment:"time between the request to stop and the kill"`
	RepeatRatio   float64       `yaml:"repeat_ratio" validate:"min=0,max=1" comment:"repeats for each request, over all gateways"`
	RepeatSlack   float64       `yaml:"repeat_slack" validate:"min=0" comment:"repeats beyond that in a window, over all gateways"`
	RepeatWindow  time.Duration `yaml:"repeat_window" validate:"min=1s,max=10m" comment:"window in which repeats are counted"`
	// SecondAttempts is at most half of RepeatRatio in effect, so that retries are left.
	SecondAttempts float64 `yaml:"second_attempts" validate:"min=0,max=1" comment:"second attempts beside slow ones for each request of a service; 0 for none"`
	ScarceSlots    float64 `yaml:"scarce_slots" validate:"min=0,max=100" comment:"slots for each gateway below which servers of a plain service are compared by their times; 0 for none"`
	// SeedPeers need not be reachable.
	SeedPeers []netip.AddrPort `yaml:"seed_peers" comment:"gateways and sidecars to ask first"`
	// AdvertisePeers has the port of listen.peers, which is the same on all gateways.
	AdvertisePeers netip.AddrPort `yaml:"advertise_peers" comment:"address under which others reach listen.peers, as behind a proxy; empty for listen.peers itself"`
	SidecarPort    uint16         `yaml:"sidecar_port" comment:"port of the sidecars, at their backend servers' addresses; 0 for none"`
	// Admission is off by default.
	Admission bool `yaml:"admission" comment:"whether requests for model engines are admitted by what these can do within their callers' objectives"`
}

// Sidecar configures a sidecar, which runs beside a model engine.
type Sidecar struct {
	Memory  int            `yaml:"memory_megabytes" validate:"min=32,max=65536" comment:"memory that the process may use"`
	Backend netip.AddrPort `yaml:"backend" comment:"address of the engine on this instance"`
	Service string         `yaml:"service" comment:"service of the engine"`
	// SeedPeers need not be reachable.
	SeedPeers []netip.AddrPort `yaml:"seed_peers" comment:"gateways to ask first"`
}

// NewSettings returns the defaults.
func NewSettings() *Settings {
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	return &Settings{
		Instance: "entry-1",
		Zone:     "zone-a",
		Listen: Listen{
			Callers: netip.AddrPortFrom(loopback, 8080),
			Admin:   netip.AddrPortFrom(loopback, 8081),
			Peers:   netip.AddrPortFrom(loopback, 8082),
		},
		Platform: Platform{Address: netip.AddrPortFrom(loopback, 9000), Timeout: 2 * time.Second},
		Log:      Log{Level: "info", Format: "text"},
		Entry: Entry{
			DrainTimeout:  time.Minute,
			PollInterval:  time.Second,
			SyncInterval:  time.Second,
			Heartbeat:     time.Second,
			SeedPeers:     []netip.AddrPort{},
			ZoneHop:       500 * time.Microsecond,
			Hops:          []Hop{},
			Candidates:    2,
			RemoteAgents:  0,
			OperatorKeys:  []OperatorKey{},
			MaxBody:       1 << 20,
			BodyPause:     10 * time.Second,
			BodyTimeout:   time.Minute,
			Memory:        1024,
			Descriptors:   16384,
			ExplainRecent: 2000,
		},
		Agent: Agent{
			Backend:        netip.AddrPortFrom(loopback, 9100),
			DrainTimeout:   time.Minute,
			Concurrency:    32,
			MinConcurrency: 4,
			QueueRequests:  256,
			QueueBytes:     16 << 20,
			HealthInterval: 500 * time.Millisecond,
		},
		Gateway: Gateway{
			Memory:        256,
			Descriptors:   4096,
			RotationDelay: 2200 * time.Millisecond,
			Grace:         30 * time.Second,
			RepeatRatio:   0.2,
			RepeatSlack:   50,
			RepeatWindow:  10 * time.Second,
			SeedPeers:     []netip.AddrPort{},
		},
		Sidecar: Sidecar{
			Memory:    128,
			Backend:   netip.AddrPortFrom(loopback, 9100),
			SeedPeers: []netip.AddrPort{},
		},
	}
}
