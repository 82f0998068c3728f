// Package leader runs the coordinator of a model group at the agent of the
// group's first member. The group makes no steps without that member anyway, so
// this adds no dependency.
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

// Intervals and timeouts of a Leader.
const (
	// configCheckInterval is how often the configuration is checked.
	configCheckInterval = 500 * time.Millisecond
	// instanceListTTL is the age at which the instance list is read again.
	instanceListTTL = 5 * time.Second
	// supersededBackoff is the minimum time before a superseded leader leads again.
	supersededBackoff = 10 * time.Second
)

// Leader is one agent's part in its model group: always a Follower, and also the
// coordinator while the agent leads the group.
type Leader struct {
	*follower.Follower
	instance, group string
	activeConfig    *registrar.ActiveConfig
	platform        storer.Platform
	pool            *connector.Pool

	mu sync.Mutex
	// addrs holds the addresses of the latest instance list by instance name.
	addrs map[string]netip.AddrPort
	// listedAt is when addrs was read.
	listedAt time.Time
	// current is nil while this agent does not lead.
	current *coordinator.Coordinator
}

// New returns a Leader for an agent whose follower is f.
func New(instance, group string, f *follower.Follower, activeConfig *registrar.ActiveConfig, p storer.Platform, pool *connector.Pool) *Leader {
	return &Leader{Follower: f, instance: instance, group: group, activeConfig: activeConfig, platform: p, pool: pool}
}

// Run leads the group whenever this agent is the first member in the group's
// configuration, until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		group := l.activeConfig.Get().Groups[l.group]
		if group == nil || len(group.Members) == 0 || group.Members[0] != l.instance {
			sleeper.Sleep(ctx, configCheckInterval)
			continue
		}
		err := l.lead(ctx, group)
		if errors.Is(err, coordinator.ErrSuperseded) {
			sleeper.Sleep(ctx, supersededBackoff+rand.N(supersededBackoff))
			continue
		}
		if err != nil {
			log.Warn("failed to lead group", "step", "lead_group", "group", l.group, "error", err)
		}
		sleeper.Sleep(ctx, configCheckInterval)
	}
}

// lead runs one coordinator until the group's configuration changes or a newer
// coordinator takes over.
func (l *Leader) lead(ctx context.Context, group *registrar.Group) error {
	epoch, err := coordinator.AcquireEpoch(ctx, l.platform, group.Name, l.instance)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.cancelOnChange(ctx, cancel, group)
	c := coordinator.New(group, epoch, l, coordinator.WithLane(l.newAcquireLane(group)))
	l.setCurrent(c)
	defer l.setCurrent(nil)
	log.Info("leading group", "group", group.Name, "epoch", epoch)
	return c.Run(ctx)
}

// newAcquireLane returns the function that acquires a group's copy lane: a lease
// that the groups of the lane share. While the platform is down, no group of a
// lane copies weights, which is acceptable because rebalancing is not urgent.
func (l *Leader) newAcquireLane(group *registrar.Group) coordinator.AcquireLane {
	return func(ctx context.Context, limit time.Duration) (func(), error) {
		if group.CopyLane == "" {
			return func() {}, nil
		}
		lease, err := leaser.Acquire(ctx, l.platform, "copy_lane/"+group.CopyLane, group.Name, limit)
		if err != nil {
			return nil, err
		}
		return func() {
			if err := lease.Release(context.WithoutCancel(ctx)); err != nil {
				log.Debug("failed to release copy lane", "step", "leave_lane", "group", group.Name, "error", err)
			}
		}, nil
	}
}

func (l *Leader) cancelOnChange(ctx context.Context, cancel context.CancelFunc, group *registrar.Group) {
	for ctx.Err() == nil && l.activeConfig.Get().Groups[l.group] == group {
		sleeper.Sleep(ctx, configCheckInterval)
	}
	cancel()
}

func (l *Leader) setCurrent(c *coordinator.Coordinator) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = c
}

// Explain returns the history of map changes as JSON, nil if this agent does not
// lead.
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

// getAddr returns a member's address. While the platform is down it uses the latest
// list, whatever its age.
func (l *Leader) getAddr(ctx context.Context, member string) (netip.AddrPort, error) {
	l.mu.Lock()
	addr, ok := l.addrs[member]
	fresh := time.Since(l.listedAt) < instanceListTTL
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
	l.listedAt = time.Now()
}
