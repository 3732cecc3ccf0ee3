// Package kernel makes all decisions about the requests of one entry instance:
// on which upstream a request runs, how long it waits in the queue, whether it
// is refused, retried, resumed or cancelled, and its final outcome.
//
// The kernel does no I/O and reads no clock. A driver hands it typed events
// together with the time at which they happened, and carries out the typed
// actions that come back:
//
//	for _, action := range k.Step(now, event) {
//		driver.Do(action)
//	}
//
// The kernel is deterministic: the same events at the same times, with the same
// seed, give the same actions and the same decision records, independent of
// scheduling and load on the machine. A Kernel must be used from one goroutine
// at a time.
//
// An upstream is a back end: a prefill engine, which computes the KV cache of a
// prompt, a decode engine, which imports that cache and generates the output, or
// a plain service. KV memory is counted in pieces, each of which holds the KV
// cache of a number of tokens that the bundle declares for the model.
//
// Filters, scorers, queue orders, slot policies and admission checks are
// plug-ins; see the interfaces in plugins.go.
package kernel
