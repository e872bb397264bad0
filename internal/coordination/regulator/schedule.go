package regulator

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// MaxReservedWait is the longest time in advance for which a request is scheduled. What a
// leader has scheduled is not known to its successor, and is sent in addition.
const MaxReservedWait = time.Second

// Reserve asks the leader to schedule one request to a backend server without a companion,
// or informs it that the backend server's limit has ended.
type Reserve struct {
	// Server and Incarnation identify the backend server.
	Server, Incarnation string
	// Rate is the limit to be kept, in requests per second.
	Rate float64
	// Heard means that the backend server has named the limit to the sender itself, last
	// AgeMillis milliseconds ago.
	Heard     bool
	AgeMillis int64
	// Ended means that an answer named no limit, received AgeMillis milliseconds ago, to a
	// request sent SentAgeMillis milliseconds ago. Nothing is scheduled then.
	Ended         bool
	SentAgeMillis int64
	// SlackMillis is the time in milliseconds for which the request can wait and still be
	// answered on time, and MaxWaitMillis the time for which it can wait at all.
	SlackMillis, MaxWaitMillis int64
	// Forwarded means that a control host passes on the request of an entry, and
	// TimeoutMillis is the time in milliseconds for which the sender waits for the answer.
	Forwarded     bool
	TimeoutMillis int64
}

// Reserved answers Reserve.
type Reserved struct {
	// Granted means that the request is to be sent after WaitMillis milliseconds. Otherwise
	// this is the time until the next request could be sent.
	Granted    bool
	WaitMillis int64
}

// ServerLimit is the limit of one incarnation of a backend server.
type ServerLimit struct {
	Server, Incarnation string
	// Rate is in requests per second.
	Rate float64
}

// Schedule schedules the requests to backend servers that no companion counts. Each leader
// starts with an empty one.
type Schedule struct {
	servers map[serverKey]*scheduled
	sweptAt time.Time
}

type serverKey struct{ name, incarnation string }

// scheduled is the schedule of one backend server.
type scheduled struct {
	Regulator
	// usedAt is when the last request arrived, and refusedAt when the last one was refused.
	usedAt, refusedAt time.Time
}

// NewSchedule returns an empty schedule.
func NewSchedule() *Schedule { return &Schedule{servers: make(map[serverKey]*scheduled)} }

// contentionTime is the time after a refusal for which there are assumed to be more requests
// than the limit allows.
const contentionTime = time.Second

// longestWait returns the longest wait that is granted to a request.
func (r *scheduled) longestWait(now time.Time, q *Reserve) time.Duration {
	slack, most := time.Duration(q.SlackMillis)*time.Millisecond, min(MaxReservedWait, time.Duration(q.MaxWaitMillis)*time.Millisecond)
	if now.Sub(r.refusedAt) < contentionTime {
		// The turn goes to a request that it makes punctual.
		return min(most, max(0, slack))
	}
	return r.limit.LongestWait(slack, most)
}

// Reserve schedules a request if its turn comes in time.
func (s *Schedule) Reserve(now time.Time, q Reserve) Reserved {
	s.sweep(now)
	key := serverKey{name: q.Server, incarnation: q.Incarnation}
	r := s.servers[key]
	if r == nil {
		r = &scheduled{}
		s.servers[key] = r
	}
	r.usedAt = now
	at := now.Add(-time.Duration(q.AgeMillis) * time.Millisecond)
	switch {
	case q.Ended:
		r.Record(now.Add(-time.Duration(q.SentAgeMillis)*time.Millisecond), at, Notice{Kind: NoticeUnlimited})
		return Reserved{}
	case q.Heard:
		r.Record(at, at, Notice{Kind: NoticeLimited, Rate: q.Rate})
	case !r.limit.Named && r.limit.endedAt.IsZero():
		// A predecessor knew of the limit.
		r.Record(now, now, Notice{Kind: NoticeLimited, Rate: q.Rate})
	}
	wait := r.Wait(now, 0)
	granted := wait <= r.longestWait(now, &q)
	if granted {
		r.count(now)
	} else {
		r.refusedAt = now
	}
	return Reserved{Granted: granted, WaitMillis: int64((wait + time.Millisecond - 1) / time.Millisecond)}
}

// Len returns the number of backend servers with a recent request.
func (s *Schedule) Len() int { return len(s.servers) }

const (
	// limitRetention is the time since the last request for which a limit is listed.
	limitRetention = 5 * time.Second
	// idleAfter is the time without a request after which a backend server is dropped.
	idleAfter = 30 * time.Second
)

// Limits returns the limits of the backend servers in recent use, by name.
func (s *Schedule) Limits(now time.Time) []ServerLimit {
	var all []ServerLimit
	for key, r := range s.servers {
		if r.limit.Named && now.Sub(r.usedAt) < limitRetention {
			all = append(all, ServerLimit{Server: key.name, Incarnation: key.incarnation, Rate: r.limit.Rate})
		}
	}
	slices.SortFunc(all, func(x, y ServerLimit) int {
		return cmp.Or(cmp.Compare(x.Server, y.Server), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	return all
}

func (s *Schedule) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < idleAfter {
		return
	}
	s.sweptAt = now
	maps.DeleteFunc(s.servers, func(_ serverKey, r *scheduled) bool { return now.Sub(r.usedAt) >= idleAfter })
}
