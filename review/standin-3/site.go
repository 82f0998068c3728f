//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the programs. Each has a loopback address of its own.
const (
	frontPort = 8227
	readyPort = 8220
	peersPort = 7340
)

// The bounds of the deployment, as in the sheets of the smaller sites.
const (
	contact   = 3 * time.Second
	stallTime = 1500 * time.Millisecond
	formTime  = 600 * time.Millisecond
)

// site is a small deployment.
type site struct {
	dir, binary string
	trouble     bool
	// megabytes is the memory of a gateway's machine.
	megabytes int
	// oneProcessor is whether gateways see one processor, as on the platform.
	oneProcessor bool
	store        *store
	workTime     time.Duration
	// deadly reports whether a request crashes the runner that runs it.
	deadly func(*http.Request, string) bool
	// arrived is told of each request that reaches a runner, nil for none.
	arrived  func(*http.Request)
	listMu   sync.Mutex
	gateways []*process
	sidecars []*process
	runners  []*runner
	mu       sync.Mutex
	opened   map[*group]chan struct{}
	out      io.Writer
	outMu    sync.Mutex
	// failed is the error of a stand-in. outMu guards it.
	failed string
	// runMu guards the starts of processes, and stopped.
	runMu   sync.Mutex
	stopped bool
	start   time.Time
	hosts   int
}

// process is one of the project's own programs.
type process struct {
	role, host, settings string
	cmd                  *exec.Cmd
	log                  *os.File
	ended                chan struct{}
}

func (s *site) record(what, who, text string) {
	s.outMu.Lock()
	defer s.outMu.Unlock()
	_, _ = fmt.Fprintf(s.out, "%8.3f %-9s %-22s %s\n", time.Since(s.start).Seconds(), what, who, text)
}

// newHost returns a loopback address that no other run uses.
func (s *site) newHost() string {
	s.hosts++
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid>>8%100, pid&0xff, s.hosts)
}

func (s *site) isDeadly(r *http.Request, body string) bool {
	return s.trouble && s.deadly != nil && s.deadly(r, body)
}

func (s *site) breakGroup(g *group) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.open = false
}

// formGroup opens a group in a new epoch once all ranks are there.
func (s *site) formGroup(g *group) {
	time.Sleep(formTime)
	for _, r := range g.ranks {
		r.mu.Lock()
		up := r.up
		r.mu.Unlock()
		if !up {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !g.open {
		g.open, g.epoch, g.step = true, g.epoch+1, 0
	}
}

func (s *site) isOpen(g *group) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return g.open
}

// awaitOpen waits for a group that stands still, for the time of a stall.
func (s *site) awaitOpen(g *group) bool {
	if s.isOpen(g) {
		return true
	}
	time.Sleep(stallTime)
	return false
}

const settingsText = `instance: %[1]q
availability_zone: "zone-a"
listen:
  callers: %[2]s:%[3]d
  admin: %[2]s:%[4]d
  peers: %[2]s:%[5]d
  metrics: %[2]s:19400
platform:
  address: %[6]s
gateway:
  memory_megabytes: %[7]d
  max_descriptors: 4100
  grace: 8s
  repeat_ratio: 0.2
  repeat_slack: 94
  repeat_window: 10s
  seed_peers: []
  sidecar_port: %[5]d
`

const sidecarText = `instance: %[1]q
availability_zone: "zone-a"
listen:
  peers: %[2]s:%[3]d
  metrics: %[2]s:19401
platform:
  address: %[4]s
sidecar:
  memory_megabytes: 152
  backend: %[5]s
  service: %[6]q
  seed_peers: []
`

func (s *site) addGateway() error {
	p := &process{role: "gateway", host: s.newHost()}
	return s.add(p, &s.gateways, fmt.Sprintf(settingsText, fmt.Sprint("frontend-", len(s.gateways)+1), p.host, frontPort, readyPort, peersPort, s.store.addr, s.megabytes))
}

func (s *site) addSidecar(r *runner) error {
	host, _, _ := net.SplitHostPort(r.addr)
	p := &process{role: "sidecar", host: host}
	return s.add(p, &s.sidecars, fmt.Sprintf(sidecarText, fmt.Sprint("side-", len(s.sidecars)+1), host, peersPort, s.store.addr, r.addr, r.service))
}

func (s *site) add(p *process, list *[]*process, settings string) error {
	p.settings = filepath.Join(s.dir, fmt.Sprintf("%s-%d.yaml", p.role, len(*list)+1))
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		return err
	}
	var err error
	if p.log, err = os.Create(strings.TrimSuffix(p.settings, ".yaml") + ".log"); err != nil {
		return err
	}
	if err := s.run(p); err != nil {
		_ = p.log.Close()
		return err
	}
	s.listMu.Lock()
	defer s.listMu.Unlock()
	*list = append(*list, p)
	return nil
}

func (s *site) run(p *process) error {
	s.runMu.Lock()
	defer s.runMu.Unlock()
	if s.stopped {
		return errors.New("stopped")
	}
	cmd := exec.Command(s.binary, p.role, "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if s.oneProcessor && p.role == "gateway" {
		cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// kill sends SIGKILL and waits for the end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

func (p *process) isReady() bool {
	c := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/readyz", p.host, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (s *site) awaitReady() bool {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, g := range s.gateways {
			if g.isReady() {
				ready++
			}
		}
		if ready == len(s.gateways) {
			return true
		}
	}
	return false
}

// fail keeps an error of a stand-in, after which the case says nothing.
func (s *site) fail(text string) {
	s.outMu.Lock()
	defer s.outMu.Unlock()
	s.failed = text
}

func (s *site) failure() string {
	s.outMu.Lock()
	defer s.outMu.Unlock()
	return s.failed
}

// stop ends all processes. None is started after it.
func (s *site) stop() {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	s.runMu.Lock()
	defer s.runMu.Unlock()
	s.stopped = true
	for _, p := range append(append([]*process{}, s.gateways...), s.sidecars...) {
		p.kill()
		_ = p.log.Close()
	}
}

// request is one attempt of a client.
type request struct {
	id, method, path, key, body, parts string
	deadline                           time.Duration
}

// result is what the client got: the status of a whole answer, or 0.
type result struct {
	status int
	stamp  string
	text   string
	// begun is whether a first event, or a whole answer, arrived.
	begun bool
}

// send sends a request on a new connection.
func (s *site) send(g *process, q request) result {
	s.record("sent", q.id, fmt.Sprintf("%s %s to %s parts %s", q.method, q.path, g.host, q.parts))
	res := s.exchange(g, q)
	s.record("answered", q.id, fmt.Sprintf("%d stamp %q begun %v %.80q", res.status, res.stamp, res.begun, res.text))
	return res
}

func (s *site) exchange(g *process, q request) result {
	c := &http.Client{Timeout: q.deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	req, err := http.NewRequest(q.method, fmt.Sprintf("http://%s:%d%s", g.host, frontPort, q.path), bytes.NewReader([]byte(q.body)))
	if err != nil {
		return result{text: err.Error()}
	}
	req.Host = "ficu95.example"
	req.Header.Set("X-Request-Id", q.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	req.Header.Set("Authorization", "Token "+q.key)
	if q.parts != "" {
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Token-Counts", "700,80")
		req.Header.Set("X-Prompt-Prefix", q.parts)
	}
	resp, err := c.Do(req)
	if err != nil {
		return result{text: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	res := result{stamp: resp.Header.Get("X-Response-Stamp"), text: string(text), begun: resp.StatusCode == 200 && len(text) > 0}
	if err == nil {
		res.status = resp.StatusCode
	}
	return res
}

const (
	plainService  = "wuno96b"
	engineService = "huvo11a"
)

// config is a configuration as the operator writes it.
const config = `{"version":7,"routes":[
{"name":"r-1","host":"ficu95.example","prefix":"/talk/","kind":"streaming","timeout_ms":8000,"target_latency_ms":400,"priority":1,"service":"huvo11a","max_attempts":2,"public":false,"sticky":true,"resumable":true,"target_gap_ms":120},
{"name":"r-2","host":"ficu95.example","prefix":"/order/","kind":"non_idempotent","timeout_ms":2500,"target_latency_ms":150,"priority":1,"service":"wuno96b","max_attempts":1,"public":false,"sticky":false,"resumable":false},
{"name":"r-3","host":"ficu95.example","prefix":"/status/","kind":"idempotent","timeout_ms":2500,"target_latency_ms":150,"priority":1,"service":"wuno96b","max_attempts":2,"public":false,"sticky":false,"resumable":false},
{"name":"r-4","host":"ficu95.example","prefix":"/form/","kind":"idempotent","timeout_ms":8000,"target_latency_ms":400,"priority":1,"service":"wuno96b","max_attempts":2,"public":true,"sticky":false,"resumable":false}],
"services":[{"name":"huvo11a","health_path":"/healthz","max_connections":258,"protocol":"h1","tls":false,"engine":{"slots":12,"kv_capacity_tokens":372000,"kv_token_bytes":96256,"link_mbps":180000.0,"stride":5,"models":[{"name":"m"}],"step_ms":5.85,"per_seq_ms":0.355,"context_per_k":0.036,"read_per_s":61200.0,"pairs_per_m":0.325,"chunk":512,"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":8,"delays":[],"usual":{"prompt":835,"answer":139},"sets":1,"experts":4,"placements":2,"spare":1,"expert_mb":780.0,"expert_share":0.85,"form_ms":600.0}},
{"name":"wuno96b","health_path":"/healthz","max_connections":258,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["key-of-hule930"],"priority":1},{"name":"other","api_keys":["key-of-other"],"priority":1}]}`

// build starts the store, the runners, the sidecars and the gateways.
func (s *site) build(gateways, groups, ranks, plain int) error {
	var err error
	if s.store, err = startStore(s.newHost()); err != nil {
		return err
	}
	s.store.put("op", "config", config)
	for i := range plain {
		r := &runner{site: s, service: plainService, zone: "zone-a", addr: s.newHost() + ":8120", rank: i}
		s.runners = append(s.runners, r)
		if err := r.start(); err != nil {
			return err
		}
	}
	for n := range groups {
		g := &group{name: fmt.Sprint("g", n), epoch: 1, open: true}
		for range ranks {
			r := &runner{site: s, service: engineService, zone: "zone-a", addr: s.newHost() + ":8228", rank: len(s.sidecars), group: g}
			g.ranks = append(g.ranks, r)
			s.runners = append(s.runners, r)
			if err := r.start(); err != nil {
				return err
			}
			if err := s.addSidecar(r); err != nil {
				return err
			}
		}
	}
	for range gateways {
		if err := s.addGateway(); err != nil {
			return err
		}
	}
	return nil
}
