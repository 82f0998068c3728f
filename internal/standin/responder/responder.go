// Package responder is a stand-in for a backend server: a model engine that
// streams deterministic tokens, and a plain service that counts what it runs.
package responder

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinfall/internal/agent/driver"
	"siskinfall/internal/process/sleeper"
)

// Faults selects the injected faults of a Responder, and its speed.
type Faults struct {
	// Poison is a text that crashes the responder if a request body contains it;
	// empty for none.
	Poison string `json:"poison"`
	// Latency is added before each answer.
	Latency time.Duration `json:"latency_nanoseconds"`
	// TokenDelay is the time between two tokens.
	TokenDelay time.Duration `json:"token_delay_nanoseconds"`
	// BreakAfter is the number of tokens after which the connection of each stream
	// is closed without a clean end; 0 for never.
	BreakAfter int `json:"break_after"`
	// EndAfter is the number of tokens after which each stream ends cleanly, but
	// without its end marker; 0 for never.
	EndAfter int `json:"end_after"`
	// Stall, until it is cleared, holds back every answer that has not begun.
	Stall bool `json:"stall"`
}

// Run is one request that the plain service has run.
type Run struct {
	Attempt string `json:"attempt"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// Key is the Idempotency-Key header.
	Key  string `json:"key"`
	Body string `json:"body"`
}

// Responder is a stand-in backend server; it is safe for concurrent use.
type Responder struct {
	mu     sync.Mutex
	faults Faults
	runs   []Run
	// attempts counts the requests that arrived, by attempt id.
	attempts map[string]int
	crashes  int
	// boot changes with each simulated restart.
	boot    string
	onCrash func()
	running atomic.Int64
	GroupState
}

// Option configures a Responder.
type Option func(*Responder)

// WithCrash sets the function that a crash calls; it must break all connections.
func WithCrash(f func()) Option {
	return func(s *Responder) { s.onCrash = f }
}

// WithFaults sets the injected faults.
func WithFaults(f Faults) Option {
	return func(s *Responder) { s.faults = f }
}

// Load is the current load.
type Load struct {
	// Running is the number of requests in progress.
	Running int `json:"running"`
}

// New returns a Responder.
func New(opts ...Option) *Responder {
	s := &Responder{boot: newBoot(), attempts: make(map[string]int)}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

func newBoot() string { return fmt.Sprintf("%d", time.Now().UnixNano()) }

// SetFaults replaces the injected faults.
func (s *Responder) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// GetRuns returns what the plain service has run.
func (s *Responder) GetRuns() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// GetAttempts returns how often each attempt arrived, by attempt id.
func (s *Responder) GetAttempts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.attempts)
}

func (s *Responder) countAttempt(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[r.Header.Get("X-Attempt-Id")]++
}

// GetCrashes returns how often the responder has crashed.
func (s *Responder) GetCrashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// GetRunning returns the number of requests in progress.
func (s *Responder) GetRunning() int { return int(s.running.Load()) }

func (s *Responder) getFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Handler returns the HTTP interface.
func (s *Responder) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, Load{Running: s.GetRunning()}) })
	mux.HandleFunc("GET /attempts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.GetAttempts()) })
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.GetRuns()) })
	mux.HandleFunc("PUT /faults", s.putFaults)
	mux.HandleFunc("POST /v1/chat/completions", s.complete)
	mux.HandleFunc("POST /v1/resume", s.resume)
	mux.HandleFunc("GET "+driver.PathMemory, s.getMemory)
	mux.HandleFunc("POST "+driver.PathStage, s.stage)
	mux.HandleFunc("/", s.servePlain)
	return mux
}

func (s *Responder) health(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	h := driver.Health{Boot: s.boot}
	s.mu.Unlock()
	writeJSON(w, h)
}

func (s *Responder) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// applyFaults applies the faults that come before an answer: it crashes, delays or
// stalls.
func (s *Responder) applyFaults(r *http.Request, body []byte) {
	f := s.getFaults()
	if f.Poison != "" && strings.Contains(string(body), f.Poison) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	if f.Latency > 0 {
		sleeper.Sleep(r.Context(), f.Latency)
	}
	for s.getFaults().Stall && r.Context().Err() == nil {
		sleeper.Sleep(r.Context(), 10*time.Millisecond)
	}
}

func (s *Responder) crash() {
	s.mu.Lock()
	s.crashes++
	s.boot = newBoot()
	s.mu.Unlock()
	if s.onCrash != nil {
		s.onCrash()
	}
}

// completion is the part of a chat request that the stand-in reads.
type completion struct {
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

func (s *Responder) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.answer(w, r, body, 0)
}

func (s *Responder) resume(w http.ResponseWriter, r *http.Request) {
	var b driver.ResumeBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.answer(w, r, b.Request, strings.Count(string(b.Prefix), "\n\n"))
}

// answer answers a chat request. A stream starts at the token with index from.
func (s *Responder) answer(w http.ResponseWriter, r *http.Request, body []byte, from int) {
	s.running.Add(1)
	defer s.running.Add(-1)
	s.countAttempt(r)
	s.applyFaults(r, body)
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.MaxTokens <= 0 {
		c.MaxTokens = 16
	}
	seed := xxhash.Sum64(c.Messages)
	if !c.Stream {
		s.answerWhole(w, r, seed, c.MaxTokens)
		return
	}
	s.answerStream(w, r, seed, from, c.MaxTokens)
}

func (s *Responder) answerWhole(w http.ResponseWriter, r *http.Request, seed uint64, n int) {
	var text strings.Builder
	for i := range n {
		sleeper.Sleep(r.Context(), s.getFaults().TokenDelay)
		text.WriteString(Token(seed, i))
	}
	writeJSON(w, map[string]any{"choices": []any{map[string]any{"message": map[string]string{"content": text.String()}}}})
}

func (s *Responder) answerStream(w http.ResponseWriter, r *http.Request, seed uint64, from, n int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from; i < n; i++ {
		f := s.getFaults()
		if f.BreakAfter > 0 && i-from >= f.BreakAfter {
			panic(http.ErrAbortHandler)
		}
		if f.EndAfter > 0 && i-from >= f.EndAfter || r.Context().Err() != nil {
			return
		}
		if f.TokenDelay > 0 {
			sleeper.Sleep(r.Context(), f.TokenDelay)
		}
		_, _ = io.WriteString(w, Event(seed, i))
		w.(http.Flusher).Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// Token returns the token with index i of the answer to the messages whose hash is seed.
func Token(seed uint64, i int) string {
	return fmt.Sprintf("t%x ", (seed+uint64(i)*2654435761)%65521)
}

// Event returns the server-sent event that carries the token with index i.
func Event(seed uint64, i int) string {
	return fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", Token(seed, i))
}

// ExpectedStream returns the whole stream of n tokens for the messages of a
// request, with its end marker.
func ExpectedStream(messages string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Event(xxhash.Sum64String(messages), i))
	}
	b.WriteString("data: [DONE]\n\n")
	return b.String()
}

// ExpectedWhole returns the text of the whole answer of n tokens for the messages
// of a request.
func ExpectedWhole(messages string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(xxhash.Sum64String(messages), i))
	}
	return b.String()
}

// servePlain is the plain service: it records the request and echoes its body.
func (s *Responder) servePlain(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run := Run{
		Attempt: r.Header.Get("X-Attempt-Id"), Method: r.Method, Path: r.URL.Path,
		Key: r.Header.Get("Idempotency-Key"), Body: string(body),
	}
	s.countAttempt(r)
	s.mu.Lock()
	s.runs = append(s.runs, run)
	n := len(s.runs)
	s.mu.Unlock()
	s.applyFaults(r, body)
	writeJSON(w, map[string]any{"confirmation": fmt.Sprintf("%s-%d", s.boot[len(s.boot)-6:], n), "echo": string(body)})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Server serves a Responder on an address, and serves it again after a crash.
type Server struct {
	*Responder
	addr netip.AddrPort
	// Downtime is how long the address refuses connections after a crash.
	Downtime time.Duration

	mu     sync.Mutex
	server *http.Server
	closed bool
}

// NewServer listens on addr (port 0 picks one) and serves.
func NewServer(addr netip.AddrPort, opts ...Option) (*Server, error) {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	s := &Server{addr: ln.Addr().(*net.TCPAddr).AddrPort(), Downtime: 100 * time.Millisecond}
	s.Responder = New(append(opts, WithCrash(s.restart))...)
	s.serve(ln)
	return s, nil
}

// Addr returns the address.
func (s *Server) Addr() netip.AddrPort { return s.addr }

func (s *Server) serve(ln net.Listener) {
	srv := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: time.Minute}
	s.mu.Lock()
	s.server = srv
	s.mu.Unlock()
	go func() { _ = srv.Serve(ln) }()
}

// restart breaks all connections and listens again after Downtime.
func (s *Server) restart() {
	s.mu.Lock()
	srv := s.server
	s.mu.Unlock()
	_ = srv.Close()
	time.AfterFunc(s.Downtime, func() {
		s.mu.Lock()
		closed := s.closed
		s.mu.Unlock()
		ln, err := net.Listen("tcp", s.addr.String())
		if closed || err != nil {
			return
		}
		s.serve(ln)
	})
}

// Close stops the server.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	err := s.server.Close()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
