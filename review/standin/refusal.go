//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["refusal"] = playRefusal }

const (
	// crowd is the number of orders at the same time that fill the servers' slots.
	crowd = 3*plainSlots + 12
	// minAnswers is the number of answers of a server of which one is spoiled at most.
	minAnswers = 34
	// maxLaterOrders bounds the orders that each of three callers sends one after the other.
	maxLaterOrders = 120
	orderPause     = 20 * time.Millisecond
)

// playRefusal fills the servers until they refuse some orders. Later, the
// first of them that has answered enough writes the refusal once more on a kept connection, where the answer to the next order is due.
func playRefusal(f *fleet) (string, error) {
	time.Sleep(inTouchWindow)
	servers := f.plain[:plainCount-1]
	var isWritten atomic.Bool
	var outcomes sync.Map
	order := func(gateway int, id string) {
		outcomes.Store(id, f.do(gateway, call{id: id, method: http.MethodPost, target: orderPrefix + "17", timeout: 2500 * time.Millisecond}))
	}
	var wg sync.WaitGroup
	for i := range crowd {
		wg.Go(func() { order(i%gatewayCount, fmt.Sprintf("crowd-%d", i+1)) })
	}
	wg.Wait()
	refused := 0
	for _, s := range servers {
		s.mu.Lock()
		refused += len(s.refused)
		s.writesRefusal = func() bool {
			return f.trouble && len(s.ran) >= minAnswers && isWritten.CompareAndSwap(false, true)
		}
		s.mu.Unlock()
	}
	if refused == 0 {
		return "", errors.New("no server has refused an order")
	}
	for i := range gatewayCount {
		wg.Go(func() {
			for n := 0; n < maxLaterOrders && !isWritten.Load(); n++ {
				order(i, fmt.Sprintf("order-%d-%d", i+1, n+1))
				time.Sleep(orderPause)
			}
		})
	}
	wg.Wait()
	if f.trouble && !isWritten.Load() {
		return "", errors.New("no server that has refused an order has answered enough of them")
	}
	served := 0
	outcomes.Range(func(_, v any) bool {
		if o := v.(outcome); o.err == nil && o.status == http.StatusOK {
			served++
		}
		return true
	})
	if served < minAnswers {
		return "", fmt.Errorf("%w: %d orders served", errNotPlayed, served)
	}
	broken := ""
	for _, s := range f.plain {
		s.mu.Lock()
		for _, r := range s.ran {
			v, _ := outcomes.Load(r.id)
			if o, ok := v.(outcome); ok && o.err == nil && o.status == http.StatusServiceUnavailable {
				broken += fmt.Sprintf("%s was answered 503 and has run at %s; ", r.id, s.id)
			}
		}
		s.mu.Unlock()
	}
	return broken, nil
}
