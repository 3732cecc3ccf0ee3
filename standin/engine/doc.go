// Package engine is a stand-in model engine: it speaks the OpenAI-compatible
// format with vLLM-style KV-transfer parameters and takes the time that the
// performance model in package perf says, but computes nothing. It counts what
// really ran, was wasted and is still held, and so judges the router.
//
// One goroutine, the loop in batch.go, runs all steps of an engine: each step
// adds a token to every running generation and computes a chunk of one waiting
// prefill, and lasts as long as the model says. The rest happens in the
// handlers of HTTP requests, under one mutex.
//
// docs/protocols/engine.md describes the protocol.
package engine
