// Package engine implements a stand-in model engine for tests and experiments.
// It serves the OpenAI-compatible API with vLLM-style KV-transfer parameters and
// simulates timing with the performance model of package perf, but runs no
// model. It counts the work that really ran, the work that was wasted and the
// resources still held, so that the router can be checked independently of its
// own counters.
//
// One goroutine, the loop in batch.go, runs all steps of an engine. Each step
// adds a token to every running generation and computes a chunk of prefill; its
// duration comes from the performance model. HTTP handlers, timers and KV pulls
// do the rest, under the same mutex as the loop.
//
// docs/protocols/engine.md describes the protocol.
package engine
