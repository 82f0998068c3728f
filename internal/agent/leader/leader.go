// Package leader runs the coordinator of a model group at the agent of the
// group's first member, which the group cannot step without anyway.
package leader

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/config/registrar"
	"siskinfall/internal/expert/coordinator"
	"siskinfall/internal/expert/follower"
	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/process/sleeper"
	"siskinfall/internal/store/leaser"
	"siskinfall/internal/store/storer"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// Times of a leader.
const (
	// checkInterval is how often the configuration is looked at.
	checkInterval = 500 * time.Millisecond
	// listInterval is how often the instance list is read.
	listInterval = 5 * time.Second
	// retreat is how long a superseded leader keeps quiet, at least.
	retreat = 10 * time.Second
)

// Leader is the group side of one agent.
type Leader struct {
	*follower.Follower
	instance, group string
	book            *registrar.Book
	platform        storer.Platform
	pool            *connector.Pool

	mu sync.Mutex
	// addrs is the latest instance list.
	addrs  map[string]netip.AddrPort
	listed time.Time
	// current is nil while this agent does not lead.
	current *coordinator.Coordinator
}

// New returns a Leader for an agent whose follower is f.
func New(instance, group string, f *follower.Follower, book *registrar.Book, p storer.Platform, pool *connector.Pool) *Leader {
	return &Leader{Follower: f, instance: instance, group: group, book: book, platform: p, pool: pool}
}

// Run leads the group whenever the configuration names this agent first.
func (l *Leader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		group := l.book.Get().Groups[l.group]
		if group == nil || len(group.Members) == 0 || group.Members[0] != l.instance {
			sleeper.Sleep(ctx, checkInterval)
			continue
		}
		err := l.lead(ctx, group)
		if errors.Is(err, coordinator.ErrSuperseded) {
			sleeper.Sleep(ctx, retreat+rand.N(retreat))
			continue
		}
		if err != nil {
			log.Warn("group not led", "step", "lead_group", "group", l.group, "error", err)
		}
		sleeper.Sleep(ctx, checkInterval)
	}
}

// lead runs one coordinator until the group's configuration changes.
func (l *Leader) lead(ctx context.Context, group *registrar.Group) error {
	epoch, err := coordinator.AcquireEpoch(ctx, l.platform, group.Name, l.instance)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.cancelOnChange(ctx, cancel, group)
	c := coordinator.New(group, epoch, l, coordinator.WithLane(l.newLane(group)))
	l.setCurrent(c)
	defer l.setCurrent(nil)
	log.Info("leading group", "group", group.Name, "epoch", epoch)
	return c.Run(ctx)
}

// newLane returns what asks for a group's lane: a lease that the groups of the
// lane share. With the platform down no group moves, which is not urgent.
func (l *Leader) newLane(group *registrar.Group) coordinator.AcquireLane {
	return func(ctx context.Context, limit time.Duration) (func(), error) {
		if group.Lane == "" {
			return func() {}, nil
		}
		lease, err := leaser.Acquire(ctx, l.platform, "copy_lane/"+group.Lane, group.Name, limit)
		if err != nil {
			return nil, err
		}
		return func() {
			if err := lease.Release(context.WithoutCancel(ctx)); err != nil {
				log.Debug("lane not released", "step", "leave_lane", "group", group.Name, "error", err)
			}
		}, nil
	}
}

func (l *Leader) cancelOnChange(ctx context.Context, cancel context.CancelFunc, group *registrar.Group) {
	for ctx.Err() == nil && l.book.Get().Groups[l.group] == group {
		sleeper.Sleep(ctx, checkInterval)
	}
	cancel()
}

func (l *Leader) setCurrent(c *coordinator.Coordinator) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = c
}

// Explain returns the latest changes as JSON, nil where this agent does not lead.
func (l *Leader) Explain() []byte {
	l.mu.Lock()
	c := l.current
	l.mu.Unlock()
	if c == nil {
		return nil
	}
	data, err := json.Marshal(c.GetHistory())
	if err != nil {
		return nil
	}
	return data
}

// Call implements coordinator.Transport.
func (l *Leader) Call(ctx context.Context, member string, o *encoder.GroupOrder) (*encoder.GroupReply, error) {
	if member == l.instance {
		return l.Handle(o), nil
	}
	addr, err := l.getAddr(ctx, member)
	if err != nil {
		return nil, err
	}
	r := &encoder.GroupReply{}
	return r, l.pool.Call(ctx, addr, &encoder.Open{Kind: &encoder.Open_Group{Group: o}}, r)
}

var errNotListed = errors.New("member is not in the instance list")

// getAddr finds a member's address; the latest list serves while the platform
// is down.
func (l *Leader) getAddr(ctx context.Context, member string) (netip.AddrPort, error) {
	l.mu.Lock()
	addr, ok := l.addrs[member]
	fresh := time.Since(l.listed) < listInterval
	l.mu.Unlock()
	if ok && fresh {
		return addr, nil
	}
	list, err := l.platform.ListInstances(ctx)
	if err == nil {
		l.setAddrs(list)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if addr, ok := l.addrs[member]; ok {
		return addr, nil
	}
	return netip.AddrPort{}, wrapper.At("find_member", member, errors.Join(errNotListed, err))
}

func (l *Leader) setAddrs(list []storer.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addrs = make(map[string]netip.AddrPort, len(list))
	for _, in := range list {
		l.addrs[in.Name] = in.Address
	}
	l.listed = time.Now()
}
