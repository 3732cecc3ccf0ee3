package dispatch

import (
	"testing"
	"time"
)

// BenchmarkAskInAQueue measures a placement request while a queue of the given
// length waits, at five requests per millisecond of virtual time.
func BenchmarkAskInAQueue(b *testing.B) {
	const apart = 200 * time.Microsecond
	for name, queue := range map[string]int{"10": 10, "100": 100, "1000": 1000} {
		b.Run(name, func(b *testing.B) {
			bed := settledTestBed(1, 2, 20, 200)
			d := bed.dispatcherNode()
			for range queue {
				d.place(time.Hour)
			}
			for b.Loop() {
				bed.run(apart)
				id := d.place(time.Hour)
				b.StopTimer()
				d.policy.Release(id)
				b.StartTimer()
			}
		})
	}
}
