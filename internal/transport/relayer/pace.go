package relayer

import "time"

// fullPaceDuration is how long all companions send heartbeats at the full pace after
// one of them fell silent: the time for a heartbeat at that pace, its reply, and the
// watcher's silence limit.
const fullPaceDuration = time.Second

// useFullPace makes an engine's companion send heartbeats at the full pace while a call
// waits there, so that a stalled host is detected soon.
func (r *Relayer) useFullPace(name string) {
	r.watchedMu.Lock()
	defer r.watchedMu.Unlock()
	if c, is := r.watched[name]; is {
		c.conn.UseFullPace()
	}
}

// setPaces sets the heartbeat pace of each companion. Those whose engine has calls
// waiting for their first event, or whose next heartbeat is overdue, use the full pace.
// After one companion fell silent all of them do until fullPaceUntil: a network
// partition, or a middlebox that lost its table, usually affects several hosts, and
// each would otherwise delay a call by half a second. The caller holds watchedMu.
func (r *Relayer) setPaces(now time.Time, waiting map[string]struct{}) {
	fullPaceForAll := now.Before(r.fullPaceUntil)
	for name, c := range r.watched {
		silence, _ := c.conn.Silence()
		_, waits := waiting[name]
		switch {
		case waits, fullPaceForAll, silence > 0 && !c.conn.UsesFullPace():
			c.conn.UseFullPace()
		case c.conn.ReceivedAtFullPace():
			c.conn.AllowQuietPace()
		}
	}
}

// noteNewlySilent makes all companions use the full pace for a while if one is silent
// that was not at the last poll. The caller holds watchedMu.
func (r *Relayer) noteNewlySilent(now time.Time, silent map[string]string) {
	for name := range silent {
		if _, known := r.previouslySilent[name]; !known {
			r.fullPaceUntil = now.Add(fullPaceDuration)
		}
	}
	r.previouslySilent = silent
}

// enginesWaiting returns the engines at which a call waits for the first part of its
// answer.
func (r *Relayer) enginesWaiting() map[string]struct{} {
	names := make(map[string]struct{})
	r.attemptsMu.Lock()
	defer r.attemptsMu.Unlock()
	for name, attempts := range r.attempts {
		for a := range attempts {
			if !a.started.Load() {
				names[name] = struct{}{}
				break
			}
		}
	}
	return names
}
