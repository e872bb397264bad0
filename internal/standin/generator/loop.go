package generator

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
)

// maxLateness bounds how far steps may lag behind their schedule. Beyond it, as on a
// machine short of processor time, the schedule restarts at the current time.
const maxLateness = 100 * time.Millisecond

// loop runs the batch step by step until the engine closes. Each step is scheduled
// relative to the due time of the previous one, because the error of a timer may exceed
// a scaled step and would accumulate otherwise.
func (e *Engine) loop() {
	due := time.Now()
	for e.waitWhileFrozen() {
		now := time.Now()
		if now.Sub(due) > maxLateness {
			due = now
		}
		length, ok := e.beginStep(now)
		if !ok {
			select {
			case <-e.work:
			case <-e.context.Done():
				return
			}
			due = time.Now()
			continue
		}
		due = due.Add(length)
		if !pauser.Pause(e.context, time.Until(due)) {
			return
		}
		e.endStep(time.Now())
	}
}

// beginStep admits waiting sequences and returns the duration of the step, or false if
// the batch is empty.
func (e *Engine) beginStep(now time.Time) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	prefill := 0
	for _, s := range e.batch.admit() {
		prefill += e.start(now, s)
	}
	running := len(e.batch.running)
	if running == 0 {
		return 0, false
	}
	e.steps++
	e.seqSteps += int64(running)
	e.record.Steps++
	e.record.SequenceSteps += int64(running)
	e.recordLoad(now)
	length := e.settings.stepTime(running, prefill)
	if e.faults.Slowdown > 0 {
		length = time.Duration(float64(length) * e.faults.Slowdown)
	}
	return length, true
}

// start starts a sequence that enters the batch and returns the number of prompt tokens
// to compute. The caller holds mu.
func (e *Engine) start(now time.Time, s *sequence) int {
	if s.began {
		return 0
	}
	s.began = true
	e.record.Runs[s.run-1].Started = now
	if s.generated > 0 {
		return 0 // The KV cache was imported.
	}
	e.hashes = orderer.BlockHashes(e.hashes[:0], s.Model, s.Prompt, e.settings.BlockTokens)
	cached, stored, evicted := e.cache.use(s.Model, e.hashes)
	if len(stored) > 0 {
		e.events.add(now, orderer.CacheEvent{Kind: orderer.Stored, Model: s.Model, Hashes: stored})
	}
	for _, b := range evicted {
		e.events.add(now, orderer.CacheEvent{Kind: orderer.Evicted, Model: b.model, Hashes: []uint64{b.hash}})
	}
	s.cached = cached * e.settings.BlockTokens
	return s.PromptTokens - s.cached
}

// endStep adds one token to each running sequence.
func (e *Engine) endStep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range append([]*sequence(nil), e.batch.running...) {
		s.generated++
		e.record.Runs[s.run-1].Tokens++
		if s.generated == s.MaxTokens {
			e.end(s, Completed, nil)
			continue
		}
		if e.role == orderer.Prefill {
			s.held = true
			e.batch.remove(s)
		}
		s.notify()
	}
	e.recordLoad(now)
}

// end ends a sequence and retains its stream for Settings.StreamKept. The caller holds
// mu.
func (e *Engine) end(s *sequence, o Outcome, failure *orderer.ErrorDetail) {
	e.batch.remove(s)
	s.outcome = o
	s.failure = failure
	run := &e.record.Runs[s.run-1]
	run.Finished = time.Now()
	run.Outcome = o
	if s.grace != nil {
		s.grace.Stop()
	}
	s.notify()
	time.AfterFunc(e.settings.StreamKept, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.sequences[s.Request] == s {
			delete(e.sequences, s.Request)
		}
	})
}
