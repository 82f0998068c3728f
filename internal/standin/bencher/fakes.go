package bencher

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"siskinfall/internal/process/sleeper"
	"siskinfall/internal/routing/tracker"
	"siskinfall/internal/standin/starter"
	"siskinfall/internal/store/storer"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// startFake starts a fake instance, which accepts sessions and answers them
// without doing any work, and returns its entry in the instance list.
func startFake(ctx context.Context, name, role, zone string) (storer.Instance, error) {
	ln, err := net.Listen("tcp", starter.AnyPort.String())
	if err != nil {
		return storer.Instance{}, err
	}
	handle := serveFakeEntry
	if role == tracker.RoleAgent {
		handle = serveFakeAgent
	}
	hello := &encoder.Hello{Version: encoder.Version, Instance: name, Zone: zone, Role: role}
	a := connector.NewAcceptor(hello, func(ctx context.Context, _ *encoder.Hello, open *encoder.Open, st *connector.Stream) {
		handle(ctx, name, zone, open, st)
	})
	go func() { _ = a.Serve(ctx, ln) }()
	return storer.Instance{Name: name, Role: role, Zone: zone, Address: ln.Addr().(*net.TCPAddr).AddrPort()}, nil
}

// serveFakeAgent answers a session as an agent does: it reports its status at the
// interval asked for, and its configuration digest.
func serveFakeAgent(ctx context.Context, name, zone string, open *encoder.Open, st *connector.Stream) {
	switch k := open.GetKind().(type) {
	case *encoder.Open_Watch:
		interval := time.Duration(k.Watch.GetIntervalMicros()) * time.Microsecond
		for seq := uint64(1); ctx.Err() == nil; seq++ {
			status := &encoder.AgentStatus{
				Instance: name, Incarnation: uint64(time.Now().UnixNano()), Zone: zone, Service: "assistant-llm", Group: "assistant-group",
				Ready: true, Running: 17, Queued: 2, Concurrency: 32, ServiceTimeMicros: 412345, Sequence: seq,
			}
			if st.Send(status) != nil {
				return
			}
			sleeper.Sleep(ctx, interval)
		}
	case *encoder.Open_Config:
		_ = st.Send(&encoder.ConfigSync{Instance: name, Digest: k.Config.GetDigest()})
	}
}

// serveFakeEntry answers the messages that entry instances send each other.
func serveFakeEntry(_ context.Context, name, zone string, open *encoder.Open, st *connector.Stream) {
	switch k := open.GetKind().(type) {
	case *encoder.Open_Config:
		_ = st.Send(&encoder.ConfigSync{Instance: name, Digest: k.Config.GetDigest()})
	case *encoder.Open_Share:
		_ = st.Send(&encoder.ShareReport{Zone: zone, Uses: k.Share.GetUses()})
	case *encoder.Open_Suspects:
		_ = st.Send(&encoder.StatusQuery{})
	case *encoder.Open_Status:
		_ = st.Send(&encoder.EntryStatus{Instance: name, Zone: zone, Ready: true})
	}
}

// watchAsEntries opens n sessions that watch an agent, as n entry instances would.
func watchAsEntries(ctx context.Context, addr netip.AddrPort, n int) error {
	for i := range n {
		name := fmt.Sprint("entry-", i)
		pool := connector.NewPool(&encoder.Hello{Version: encoder.Version, Instance: name, Role: tracker.RoleEntry})
		context.AfterFunc(ctx, pool.Close)
		open := &encoder.Open{Kind: &encoder.Open_Watch{Watch: &encoder.WatchRequest{IntervalMicros: tracker.DefaultHeartbeat.Microseconds()}}}
		st, err := pool.Open(ctx, addr, open)
		if err != nil {
			return err
		}
		go func() {
			for st.Receive(&encoder.AgentStatus{}) == nil {
				continue
			}
		}()
	}
	return nil
}
