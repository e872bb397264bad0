package attendant_test

import (
	"testing"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/separator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// receivedShares returns the shares of long prefills received since the last call, in percent.
func (l *stateListener) receivedShares() (shares []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	shares, l.shares = l.shares, nil
	return shares
}

// TestReportsLongPrefills guards against entries that do not learn of long prefills, or learn of short
// ones, and against reports in deployments that don't separate them.
func TestReportsLongPrefills(t *testing.T) {
	withEngine(t, func(f *fixture, _ *engine) {
		f.longPrompts = separator.ModeMixed
		f.restartCompanion()
		advance(time.Second)
		l := f.watchLocal()
		defer l.close()
		f.admitPrompt("early", "a1", 1, messenger.Part{ID: 1, Tokens: 16_000})
		advance(11 * time.Second)
		if shares := l.receivedShares(); len(shares) > 0 {
			t.Errorf("reported though prompts are mixed: %v", shares)
		}
	})
	withEngine(t, func(f *fixture, e *engine) {
		l := f.watchLocal()
		defer l.close()
		f.admit("running", "a1", 1)
		e.slow(1)
		advance(time.Minute)
		f.admitPrompt("short", "a1", 1, messenger.Part{ID: 2, Tokens: 3000})
		advance(time.Second)
		if shares := l.receivedShares(); len(shares) > 0 {
			t.Errorf("reported for a short prompt: %v", shares)
		}
		f.admitPrompt("long", "a1", 1, messenger.Part{ID: 3, Tokens: 16_000})
		advance(200 * time.Millisecond)
		// 16,000 tokens take 510 ms, a tenth of the time constant.
		if shares := l.receivedShares(); len(shares) != 1 || shares[0] < 8 || shares[0] > 11 {
			t.Errorf("reported %v percent, want one report of about 10", shares)
		}
	})
}
