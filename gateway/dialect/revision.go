package dialect

// A store revision orders what was read from the store, also across a restore of the store from a
// copy, after which the store counts its changes from an earlier number again. Its high bits hold
// the era, the number of restores, its low bits the store's own counter. Deployments without eras
// have era 0.

// counterBits is the number of bits of a revision that hold the store's counter.
const counterBits = 40

// Revision returns the revision of an era at which the store's counter has the given value.
func Revision(era, counter int64) int64 { return era<<counterBits | counter }

// EraOf returns the era of a revision.
func EraOf(revision int64) int64 { return revision >> counterBits }

// CounterOf returns the value of the store's counter at a revision.
func CounterOf(revision int64) int64 { return revision & (1<<counterBits - 1) }
