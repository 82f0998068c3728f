//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Sizes of the fleet, like those of a small deployment.
const (
	gatewayCount = 3
	rankCount    = 12
	plainCount   = 4
)

// Names of the catalog.
const (
	modelService = "model"
	plainService = "desk"
	// archiveService is a second service of plain servers.
	archiveService = "archive"
	routeHost      = "h.example"
	accountName    = "acme"
	accountKey     = "k-acme-1"
)

// Bounds of the deployment, as on the users' sheet.
const (
	grace         = 8 * time.Second
	drainBound    = 2 * time.Second
	configBound   = 2 * time.Second
	inTouchWindow = 3 * time.Second
)

// fleet is a small deployment: the project's own gateways and sidecars, and stand-ins of
// the store, the engines of one model group, and plain servers.
type fleet struct {
	*record
	trouble bool
	dir     string
	binary  string
	store   *store
	group   *group
	plain   []*plainServer
	// entries holds the entries of the servers by ID; onBeat is called after each heartbeat.
	entries  map[string]entry
	onBeat   func()
	gateways []*process
	sidecars []*process
	// callers and admin are the ports of the gateways, peers that of all processes.
	callers, admin, peers uint16
	block                 netip.Addr
}

func newFleet(binary string, rec *record, trouble bool) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: rec, trouble: trouble, dir: dir, binary: binary}
	if err := f.choosePorts(); err != nil {
		return nil, err
	}
	if f.store, err = newStore(f.addr(0, 1, 0)); err != nil {
		return nil, err
	}
	if f.group, err = newGroup(f); err != nil {
		return nil, err
	}
	for i := range plainCount {
		s, err := newPlainServer(f, i)
		if err != nil {
			return nil, err
		}
		f.plain = append(f.plain, s)
	}
	f.publish()
	for i := range rankCount {
		p, err := f.newProcess("sidecar", i)
		if err != nil {
			return nil, err
		}
		f.sidecars = append(f.sidecars, p)
	}
	for i := range gatewayCount {
		p, err := f.newProcess("gateway", i)
		if err != nil {
			return nil, err
		}
		f.gateways = append(f.gateways, p)
	}
	for _, p := range append(append([]*process(nil), f.sidecars...), f.gateways...) {
		if err := p.start(); err != nil {
			f.close()
			return nil, err
		}
	}
	if err := f.waitReady(); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	for _, p := range append(append([]*process(nil), f.gateways...), f.sidecars...) {
		p.signal(syscall.SIGKILL)
		p.wait()
	}
	_ = os.RemoveAll(f.dir)
}

// Blocks of loopback addresses within the fleet's own range.
const (
	storeBlock = iota
	gatewayBlock
	rankBlock
	plainBlock
)

// addr returns the address of a machine; every machine has its own loopback address.
func (f *fleet) addr(block, i int, port uint16) netip.AddrPort {
	b := f.block.As4()
	b[2], b[3] = b[2]|byte(block), byte(i+1)
	return netip.AddrPortFrom(netip.AddrFrom4(b), port)
}

// choosePorts draws a range of loopback addresses by the process ID, and ports that are free
// on all of them.
func (f *fleet) choosePorts() error {
	pid := os.Getpid()
	f.block = netip.AddrFrom4([4]byte{127, byte(1 + pid>>6%126), byte(pid << 2), 0})
	ports := []*uint16{&f.callers, &f.admin, &f.peers}
	for _, port := range ports {
		ln, err := net.Listen("tcp", f.addr(gatewayBlock, 0, 0).String())
		if err != nil {
			return err
		}
		*port = netip.MustParseAddrPort(ln.Addr().String()).Port()
		defer func() { _ = ln.Close() }()
	}
	return nil
}

// publish writes the first catalog and the entries of all servers.
func (f *fleet) publish() {
	f.putCatalog(nil)
	f.entries = make(map[string]entry)
	for _, r := range f.group.ranks {
		f.entries[r.id] = f.newEntry(modelService, r.addr, rankSlots)
	}
	for _, s := range f.plain {
		f.entries[s.id] = f.newEntry(s.service, s.addr, plainSlots)
	}
	f.writeEntries()
	go f.beat()
}

// beatInterval is the heartbeat of the servers.
const beatInterval = 1200 * time.Millisecond

// beat has all servers write their entries, with a higher sequence each time.
func (f *fleet) beat() {
	for {
		time.Sleep(beatInterval)
		f.writeEntries()
		f.store.mu.Lock()
		onBeat := f.onBeat
		f.store.mu.Unlock()
		if onBeat != nil {
			onBeat()
		}
	}
}

func (f *fleet) writeEntries() {
	for id, e := range f.entries {
		e["sequence"] = e["sequence"].(int) + 1
		f.store.put("servers", id, e)
	}
}

// entry is a server's entry in the store.
type entry map[string]any

func (f *fleet) newEntry(service string, addr netip.AddrPort, slots int) entry {
	return entry{
		"service": service, "address": addr.String(), "zone": "z-a", "version": "v1", "slots": slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 0, "born": f.group.born,
	}
}

type route map[string]any

// Prefixes of the routes.
const (
	streamPrefix = "/talk/"
	orderPrefix  = "/order/"
	statusPrefix = "/status/"
)

// putCatalog writes the catalog with further routes, and returns its version.
func (f *fleet) putCatalog(further []route) uint64 {
	routes := append([]route{
		{"name": "talk", "host": routeHost, "prefix": streamPrefix, "kind": "streaming", "timeout_ms": 8000, "target_latency_ms": 400, "target_gap_ms": 120,
			"priority": 1, "service": modelService, "max_attempts": 2, "public": false, "sticky": true, "resumable": true},
		{"name": "order", "host": routeHost, "prefix": orderPrefix, "kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 300,
			"priority": 2, "service": plainService, "max_attempts": 1, "public": false},
		{"name": "status", "host": routeHost, "prefix": statusPrefix, "kind": "idempotent", "timeout_ms": 1500, "target_latency_ms": 300,
			"priority": 2, "service": plainService, "max_attempts": 2, "public": false},
	}, further...)
	version := f.store.nextCatalogVersion()
	f.store.put("op", "config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": modelService, "health_path": "/healthz", "max_connections": 268, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": rankSlots, "kv_capacity_tokens": 372000, "kv_token_bytes": 96256, "link_mbps": 180000.0, "stride": stride,
				"models": []map[string]any{{"name": "m"}}, "step_ms": 5.85, "per_seq_ms": 0.355, "context_per_k": 0.036, "read_per_s": 61200.0,
				"pairs_per_m": 0.325, "chunk": 512, "report_lag_ms": 200.0, "usual": map[string]any{"prompt": 835, "answer": 139},
				"sets": layerSets, "experts": expertCount, "placements": placesPerRank, "spare": maxNewExperts, "expert_mb": 780.0,
				"expert_share": 0.85, "form_ms": 600.0,
			}},
			{"name": plainService, "health_path": "/healthz", "max_connections": 51, "protocol": "h1", "tls": false},
			{"name": archiveService, "health_path": "/healthz", "max_connections": 51, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": accountName, "api_keys": []string{accountKey}, "priority": 1}},
	})
	return version
}

// process is one of the project's own programs.
type process struct {
	*fleet
	role     string
	i        int
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
}

func (f *fleet) newProcess(role string, i int) (*process, error) {
	p := &process{fleet: f, role: role, i: i, settings: filepath.Join(f.dir, fmt.Sprintf("%s-%d.yaml", role, i))}
	return p, os.WriteFile(p.settings, []byte(p.render()), 0o600)
}

// render returns the settings as the templates of the deploy folder render them.
func (p *process) render() string {
	if p.role == "sidecar" {
		r := p.group.ranks[p.i]
		return fmt.Sprintf("instance: %q\navailability_zone: \"z-a\"\nlisten:\n  peers: %s\nplatform:\n  address: %s\nsidecar:\n  memory_megabytes: 152\n  backend: %s\n  service: %q\n  seed_peers: []\n",
			p.name(), netip.AddrPortFrom(r.addr.Addr(), p.peers), p.store.addr, r.addr, modelService)
	}
	return fmt.Sprintf("instance: %q\navailability_zone: \"z-a\"\nlisten:\n  callers: %s\n  admin: %s\n  peers: %s\nplatform:\n  address: %s\ngateway:\n  memory_megabytes: 284\n  grace: %ds\n  repeat_ratio: 0.2\n  repeat_slack: 92\n  repeat_window: 10s\n  seed_peers: []\n  sidecar_port: %d\n",
		p.name(), p.addr(gatewayBlock, p.i, p.callers), p.addr(gatewayBlock, p.i, p.admin), p.addr(gatewayBlock, p.i, p.peers), p.store.addr, int(grace.Seconds()), p.peers)
}

func (p *process) name() string { return fmt.Sprintf("%s-%d", p.role, p.i) }

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.dir, p.name()+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(p.binary, p.role, "--settings", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}(p.cmd, p.ended)
	p.record.add("%s starts", p.name())
	return nil
}

// signal sends a signal to the current process.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		// The process may have ended already.
		_ = p.cmd.Process.Signal(sig)
	}
}

// wait waits for the end of the current process.
func (p *process) wait() {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

var errNotReady = errors.New("the fleet did not become ready")

// waitReady waits until all gateways are ready and the group is led.
func (f *fleet) waitReady() error {
	hc := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(20 * time.Second)
	for i := range f.gateways {
		for {
			if time.Now().After(deadline) {
				return errNotReady
			}
			resp, err := hc.Get("http://" + f.addr(gatewayBlock, i, f.admin).String() + "/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.add("all gateways are ready")
	return nil
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
