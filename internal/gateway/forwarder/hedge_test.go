package forwarder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/admission/admitter"
	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/gateway/hedger"
	"siskinfall/internal/gateway/placer"
	"siskinfall/internal/gateway/quarantiner"
)

// TestSlowServerDelaysOneInTen guards against leaving requests at one slow server of ten.
func TestSlowServerDelaysOneInTen(t *testing.T) {
	const requests, gatewayCount = 3000, 14
	run := func(ratio float64) (times []time.Duration, extra int) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			servers := make([]*pipeServer, 10)
			for i := range servers {
				rng := rand.New(rand.NewPCG(uint64(i), 1))
				mean := quickAnswer
				if i == 0 {
					mean = 15 * quickAnswer
				}
				servers[i] = &pipeServer{delay: func(int) time.Duration { return mean/2 + time.Duration(rng.Int64N(int64(mean))) }}
			}
			gateways := make([]*hedgeFixture, gatewayCount)
			for i := range gateways {
				gateways[i] = newHedgeFixture(c, ratio, servers...)
			}
			times = load(gateways, requests, 40*time.Millisecond)
			runs, _ := gateways[0].counts()
			extra = runs - requests
		})
		return times, extra
	}
	c := qt.New(t)
	for _, ratio := range []float64{0, 0.05, 0.1, 0.3} {
		times, extra := run(ratio)
		p95, p99 := times[requests*95/100], times[requests*99/100]
		t.Logf("limit %.2f: p50 %v p95 %v p99 %v, %.1f %% extra runs", ratio, times[requests/2], p95, p99, 100*float64(extra)/requests)
		c.Assert(float64(extra) <= ratio*requests+gatewayCount*hedger.MaxCredit, qt.IsTrue, qt.Commentf("%d extra runs", extra))
		c.Assert(ratio < 0.1 || p95 <= testObjective, qt.IsTrue, qt.Commentf("p95 %v", p95))
		c.Assert(ratio < 0.3 || p99 <= testObjective, qt.IsTrue, qt.Commentf("p99 %v", p99))
		c.Assert(ratio > 0 || extra == 0, qt.IsTrue)
	}
}

// TestSecondAttemptsStopWhereAllServersAreSlow guards against repeating all requests when the
// service itself is slow.
func TestSecondAttemptsStopWhereAllServersAreSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		servers := make([]*pipeServer, 10)
		for i := range servers {
			start := time.Now()
			servers[i] = &pipeServer{delay: func(int) time.Duration {
				if time.Since(start) < 10*time.Second {
					return quickAnswer
				}
				return 15 * quickAnswer
			}}
		}
		f := newHedgeFixture(c, 0.1, servers...)
		load([]*hedgeFixture{f}, 250, 40*time.Millisecond)
		before, _ := f.counts()
		c.Assert(before, qt.Equals, 250)
		const slow = 250
		load([]*hedgeFixture{f}, slow, 40*time.Millisecond)
		after, _ := f.counts()
		// The first ones show that the service is slow.
		c.Assert(after-before-slow <= 3, qt.IsTrue, qt.Commentf("%d second attempts", after-before-slow))
	})
}

// TestBothServersAnswer guards against telling the caller the answers of both servers, and
// against taking the slower one for failed.
func TestBothServersAnswer(t *testing.T) {
	for name, second := range map[string]time.Duration{"second wins": quickAnswer, "first wins": 300 * time.Millisecond, "at once": 100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newHedgeFixture(c, 0.1, &pipeServer{delay: always(testObjective)}, &pipeServer{delay: always(second)})
				f.earn()
				release := f.placeOn(0)
				w, took := f.get(c.Context(), "a")
				release()
				runs, cut := f.counts()
				winner := w.Header().Get("Server-Id")
				c.Assert(w.Code, qt.Equals, http.StatusOK)
				c.Assert(w.Body.String(), qt.Equals, winner+" ran a")
				c.Assert(took, qt.Equals, min(testObjective, testObjective/2+second))
				c.Assert(runs, qt.Equals, 2)
				c.Assert(cut <= 1, qt.IsTrue)
				c.Assert(name == "at once" || cut == 1, qt.IsTrue)
				// Both places are given back, and both servers are used as before.
				for range 2 {
					p := f.placer.Place(placer.Work{Route: "r", Service: "desk", Zone: "a"}, time.Now()).(*placer.Placed)
					c.Assert(p.Estimate, qt.Equals, 0)
				}
			})
		})
	}
}

// TestFirstAnswerArrivesWhileSecondIsSent guards against waiting for the connection of a second
// attempt, and against a run for a caller that has its answer.
func TestFirstAnswerArrivesWhileSecondIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newHedgeFixture(c, 0.1, &pipeServer{delay: always(testObjective)}, &pipeServer{delay: always(quickAnswer), connect: always(time.Minute)})
		f.earn()
		release := f.placeOn(0)
		w, took := f.get(c.Context(), "a")
		release()
		runs, _ := f.counts()
		c.Assert(w.Body.String(), qt.Equals, "s0 ran a")
		c.Assert(took, qt.Equals, testObjective)
		c.Assert(runs, qt.Equals, 1)
	})
}

// TestCallerLeavesDuringSecondAttempt guards against servers that work on for a caller that
// has left.
func TestCallerLeavesDuringSecondAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newHedgeFixture(c, 0.1, &pipeServer{delay: always(time.Second)}, &pipeServer{delay: always(time.Second)})
		f.earn()
		ctx, cancel := context.WithTimeout(c.Context(), 3*testObjective/4)
		defer cancel()
		_, took := f.get(ctx, "a")
		runs, cut := f.counts()
		c.Assert(took, qt.Equals, 3*testObjective/4)
		c.Assert(runs, qt.Equals, 2)
		c.Assert(cut, qt.Equals, 2)
	})
}

// TestSecondAttemptIsDenied guards against second attempts where they are not allowed.
func TestSecondAttemptIsDenied(t *testing.T) {
	cases := map[string]struct {
		ratio  float64
		change func(f *hedgeFixture)
	}{
		"limit is zero":  {0, func(*hedgeFixture) {}},
		"not idempotent": {0.1, func(f *hedgeFixture) { f.route.Kind = holder.NonIdempotent }},
		"stream not resumable": {0.1, func(f *hedgeFixture) {
			f.route.Kind, f.route.Resumable = holder.Streaming, false
			f.servers[0].isStream, f.servers[1].isStream = true, true
		}},
		"one attempt": {0.1, func(f *hedgeFixture) { f.route.MaxAttempts = 1 }},
		"stopping":    {0.1, func(f *hedgeFixture) { f.BeginDrain(time.Now().Add(time.Hour), time.Now().Add(2*time.Hour)) }},
		"suspect": {0.1, func(f *hedgeFixture) {
			f.quarantine.AddLoss(quarantiner.Digest(http.MethodGet, "/", "", nil), quarantiner.NewServer("s9", time.Now()), time.Now(), time.Now())
		}},
		"nothing earned": {0.1, func(f *hedgeFixture) { f.hedger = nil; WithSecondAttempts(0.1)(f.Forwarder) }},
		"no retries left": {0.1, func(f *hedgeFixture) {
			for f.budget.TakeRetry("desk", time.Now()) {
			}
		}},
		"burst": {0.1, func(f *hedgeFixture) {
			for range 8 {
				f.placer.Place(placer.Work{Route: "r", Service: "desk", Zone: "a"}, time.Now())
			}
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newHedgeFixture(c, test.ratio, &pipeServer{delay: always(testObjective)}, &pipeServer{delay: always(testObjective)})
				if f.hedger != nil {
					f.earn()
				}
				test.change(f)
				w, took := f.get(c.Context(), "a")
				runs, _ := f.counts()
				c.Assert(w.Code, qt.Equals, http.StatusOK)
				c.Assert(took, qt.Equals, testObjective)
				c.Assert(runs, qt.Equals, 1)
			})
		})
	}
}

// TestFailedAttemptWaitsForOther guards against an answer that one of two servers has not run,
// failed or lost while the other one still answers.
func TestFailedAttemptWaitsForOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newHedgeFixture(c, 0.1, &pipeServer{delay: always(testObjective)}, &pipeServer{delay: always(quickAnswer)})
		f.servers[1].status = http.StatusInternalServerError
		f.earn()
		release := f.placeOn(0)
		w, took := f.get(c.Context(), "a")
		release()
		c.Assert(w.Code, qt.Equals, http.StatusOK)
		c.Assert(w.Body.String(), qt.Equals, "s0 ran a")
		c.Assert(took, qt.Equals, testObjective)
	})
}

// TestMalformedAnswerWinsRace guards against an answer that is no HTTP which is relayed since it
// came first, as the first or the second attempt, or as a stream.
func TestMalformedAnswerWinsRace(t *testing.T) {
	for name, isStream := range map[string]bool{"whole": false, "stream": true} {
		// The second attempt starts after half of the objective, the other answer comes later.
		for i, delay := range []time.Duration{testObjective * 3 / 4, quickAnswer} {
			t.Run(fmt.Sprintf("%s of attempt %d", name, i+1), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					servers := []*pipeServer{{delay: always(testObjective), isStream: isStream}, {delay: always(testObjective), isStream: isStream}}
					servers[i].malformed = "X-Extra : v\r\n"
					servers[i].delay = always(delay)
					f := newHedgeFixture(c, 0.1, servers...)
					if isStream {
						f.route.Kind = holder.Streaming
					}
					f.earn()
					release := f.placeOn(0)
					w, _ := f.get(c.Context(), "a")
					release()
					runs, _ := f.counts()
					c.Assert(runs, qt.Equals, 2)
					c.Assert(w.Code, qt.Equals, http.StatusOK)
					c.Assert(w.Header().Get("Server-Id"), qt.Equals, fmt.Sprint("s", 1-i))
				})
			})
		}
	}
}

// TestStreamOfOneServerIsRelayed guards against a stream made of events of two servers.
func TestStreamOfOneServerIsRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newHedgeFixture(c, 0.1, &pipeServer{delay: always(testObjective), isStream: true}, &pipeServer{delay: always(quickAnswer), isStream: true})
		f.route.Kind = holder.Streaming
		f.earn()
		release := f.placeOn(0)
		w, took := f.get(c.Context(), "a")
		release()
		_, cut := f.counts()
		c.Assert(w.Header().Get("Server-Id"), qt.Equals, "s1")
		c.Assert(w.Body.String(), qt.Equals, "id: 1\ndata: s1\n\nid: 2\ndata: end of s1\n\n")
		c.Assert(took, qt.Equals, testObjective/2+quickAnswer)
		c.Assert(cut, qt.Equals, 1)
	})
}

// TestBegunStreamGetsNoSecondAttempt guards against repeating a stream that has begun in time
// and is only long.
func TestBegunStreamGetsNoSecondAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		slow := &pipeServer{delay: always(quickAnswer), isStream: true, gap: time.Second}
		f := newHedgeFixture(c, 0.1, slow, &pipeServer{delay: always(quickAnswer), isStream: true})
		f.route.Kind = holder.Streaming
		f.earn()
		release := f.placeOn(0)
		w, took := f.get(c.Context(), "a")
		release()
		runs, _ := f.counts()
		c.Assert(w.Body.String(), qt.Equals, "id: 1\ndata: s0\n\nid: 2\ndata: end of s0\n\n")
		c.Assert(took, qt.Equals, quickAnswer+time.Second)
		c.Assert(runs, qt.Equals, 1)
	})
}

// TestSecondAttemptTakesPlaceInAdmission guards against second attempts that admission does not
// count, and against places that are kept.
func TestSecondAttemptTakesPlaceInAdmission(t *testing.T) {
	for name, test := range map[string]struct{ free, runs int }{"room for both": {2, 2}, "room for one": {1, 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newHedgeFixture(c, 0.1, &pipeServer{delay: always(testObjective)}, &pipeServer{delay: always(testObjective)})
				WithAdmission()(f.Forwarder)
				catalog := &holder.Catalog{Services: []holder.Service{{Name: "desk", Engine: &holder.Engine{
					Slots: 6, TokensPerEvent: 5, Pass: 5 * time.Millisecond, PerRequest: time.Millisecond, PrefillRate: 60000, UsualPrompt: 800, UsualAnswer: 140,
				}}}}
				f.placer.SetCatalog(catalog)
				for i := range f.servers {
					f.placer.SetEngineLoad(netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1)), time.Time{},
						placer.Load{Group: fmt.Sprint("g", i), Pass: 30 * time.Millisecond, Slowness: 1, At: time.Now()})
				}
				f.earn()
				room, gateways := f.placer.GetRoom("desk", time.Now())
				gate := f.gates.get("desk", time.Now())
				gate.SetRoom(room, gateways, time.Now())
				taken := gate.GetState().Limit - test.free
				for range taken {
					gate.Ask(admitter.Request{Kind: "r", Objective: testObjective, Deadline: time.Now().Add(time.Minute)}, time.Now())
				}
				c.Assert(gate.GetState().Running, qt.Equals, taken)
				done := make(chan struct{})
				go func() { f.get(c.Context(), "a"); close(done) }()
				time.Sleep(3 * testObjective / 4)
				c.Assert(gate.GetState().Running, qt.Equals, taken+test.runs)
				<-done
				c.Assert(gate.GetState().Running, qt.Equals, taken)
				runs, _ := f.counts()
				c.Assert(runs, qt.Equals, test.runs)
			})
		})
	}
}
