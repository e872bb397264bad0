package placer

import "time"

const (
	// maxUrgency is the lowest precedence; 0 is the highest.
	maxUrgency = 9
	// urgencyStep is the number of urgency levels per route rank, one for each slack
	// class below.
	urgencyStep = 3
	// tightSlack and ampleSlack divide the calls of one rank by slack: the time
	// remaining until the target after the prompt has been read. An engine reads
	// prompts sequentially, so a call typically waits for about one other prompt: 240
	// ms for 9,200 tokens.
	tightSlack = 300 * time.Millisecond
	ampleSlack = 600 * time.Millisecond
)

// Rank returns the rank that an urgency was computed from, as far as it is preserved: ranks
// from 3 on have a common one.
func Rank(urgency int) int { return urgency / urgencyStep }

// Urgency returns the urgency of a call, from 0 (served first) to 9. It depends on the
// rank of the call's route, with 0 the highest, and on its slack: the time remaining
// until the target after the call's own prompt has been read.
//
// Engines read prompts sequentially. In arrival order, a prompt of 20,000 tokens, which
// takes half of its target to read, waits behind small prompts that have time to spare,
// and the largest prompts miss their target far more often than the others. Calls that
// have already missed their target go last, since serving them first would make other
// calls late without benefit.
func Urgency(rank int, slack time.Duration) int {
	urgency := rank * urgencyStep
	switch {
	case slack < 0 || slack >= ampleSlack:
		urgency += 2
	case slack >= tightSlack:
		urgency++
	}
	return min(urgency, maxUrgency)
}
