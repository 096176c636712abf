// Package dispatcher carries one call to one target and back.
//
// A model call is a stream of pieces with token offsets. Model passes each token
// on exactly once and in order: a piece that repeats what was passed on is
// dropped, a gap or an early end makes it resume the stream at the offset
// reached, with backoff, within the retry budget. An answer either ends whole or
// with a refusal, never silently short.
//
// A call of a plain service is one exchange. Only a failure of which no byte was
// sent, or an idempotent route, is tried again. What is known about the call's
// execution is stated in the refusal: not run, ran, or unknown.
package dispatcher
