// Package kernel decides what happens to each request of one entry instance:
// where it is placed, how long it waits, whether it is refused, retried,
// resumed or cancelled, and what its final outcome is.
//
// The kernel does no I/O and reads no clock. A driver hands it typed events
// together with the time at which they happened, and carries out the typed
// actions that come back:
//
//	for _, action := range k.Step(now, event) {
//		driver.Do(action)
//	}
//
// The same events at the same times give the same actions and the same
// decision records, whatever the machine does meanwhile. A Kernel must be used
// from one goroutine at a time.
//
// Filters, scorers, queue orders, slot policies and admission checks are
// plug-ins; see the interfaces in plugins.go.
package kernel
