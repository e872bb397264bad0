package relayer

import "time"

// attendTime is for how long all companions are attended after one of them has fallen
// silent: a heartbeat of the full pace, its answer, and what the watcher waits.
const attendTime = time.Second

// attend has the companion of an engine at which a call waits beat at the full pace, so
// that it is known soon whether its host stands still.
func (r *Relayer) attend(name string) {
	r.watchedMu.Lock()
	defer r.watchedMu.Unlock()
	if c, is := r.watched[name]; is {
		c.conn.Attend()
	}
}

// attendThose sets the paces: the full one for companions at whose engines calls wait
// for their first event, or whose next heartbeat is overdue, and for all of them where
// one has fallen silent lately: what took its host, a cut or a middle box that has lost
// its table, has as a rule taken others too, and each would else cost a call half a
// second. The caller holds watchedMu.
func (r *Relayer) attendThose(now time.Time, waiting map[string]struct{}) {
	doubt := now.Before(r.doubtUntil)
	for name, c := range r.watched {
		silence, _ := c.conn.Silence()
		_, waits := waiting[name]
		switch {
		case waits, doubt, silence > 0 && !c.conn.Attended():
			c.conn.Attend()
		case c.conn.Answered():
			c.conn.Rest()
		}
	}
}

// doubtAll has all companions attended where one is silent that was not at the last
// poll. The caller holds watchedMu.
func (r *Relayer) doubtAll(now time.Time, silent map[string]string) {
	for name := range silent {
		if _, known := r.silentLast[name]; !known {
			r.doubtUntil = now.Add(attendTime)
		}
	}
	r.silentLast = silent
}

// waiting returns the engines at which a call waits for the first part of its answer.
func (r *Relayer) waiting() map[string]struct{} {
	names := make(map[string]struct{})
	r.attemptsMu.Lock()
	defer r.attemptsMu.Unlock()
	for name, attempts := range r.attempts {
		for a := range attempts {
			if !a.began.Load() {
				names[name] = struct{}{}
				break
			}
		}
	}
	return names
}
