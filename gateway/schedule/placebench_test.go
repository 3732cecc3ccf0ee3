package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
)

// benchmarkFleet returns a scheduler with the given number of decode engines in three zones, each
// with a running stream of this instance and two of peers. With slow set, peers have told that every
// third engine is slow and the others are fast.
func benchmarkFleet(b *testing.B, engines int, slow bool) (*Scheduler, []dialect.Upstream, *routing.Engine) {
	b.Helper()
	s := NewScheduler("a", 1)
	e := &routing.Engine{Slots: 32, KVTokens: 29865, TokensPerEvent: 14}
	var list []dialect.Upstream
	peers, told := map[ident.UpstreamID]*InFlight{}, map[ident.UpstreamID]TokenTime{}
	for i := range engines {
		u := dialect.Upstream{ID: ident.UpstreamID(fmt.Sprintf("e%04d", i)), Service: "m", Zone: ident.Zone(rune('a' + i%3)), Stage: dialect.StageDecode}
		list = append(list, u)
		t, ok := s.PlaceDecode(at(0), list[i:], e, Size{Prompt: 3200, Estimate: 980}, nil)
		if !ok {
			b.Fatal("no engine has room")
		}
		s.RecordProgress(at(0), t, 14)
		peers[u.ID] = &InFlight{Requests: 2, Memory: Forecast{7000, 7100, 7200, 7300, 3500}}
		tokenTime := fastTokenTime
		if i/3%3 == 0 {
			tokenTime = slowTokenTime
		}
		told[u.ID] = TokenTime{Bucket: tokenTimeBucket(tokenTime.Seconds())}
	}
	s.performanceOf("m").tokenTime = fastTokenTime.Seconds()
	s.SetFleetSize(90, 300*time.Millisecond)
	s.SetOfferedRate("m", 75)
	s.SetPeers(at(0), peers)
	if slow {
		s.SetPeerTokenTimes(at(0), told)
	}
	return s, list, e
}

// BenchmarkPlaceDecode measures the placement of a stream with a deadline, on engines that are alike
// and on engines of different pace.
func BenchmarkPlaceDecode(b *testing.B) {
	for _, engines := range []int{100, 5000} {
		for _, slow := range []bool{false, true} {
			b.Run(fmt.Sprintf("engines=%d/slow=%v", engines, slow), func(b *testing.B) {
				s, list, e := benchmarkFleet(b, engines, slow)
				size := Size{Prompt: 3200, Estimate: 980, TimeLeft: 13 * time.Second, MaxOutput: 2380}
				for b.Loop() {
					t, ok := s.PlaceDecode(at(100), list, e, size, nil)
					if !ok {
						b.Fatal("no engine has room")
					}
					s.Done(t)
				}
			})
		}
	}
}
