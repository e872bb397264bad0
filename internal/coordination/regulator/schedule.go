package regulator

import (
	"maps"
	"time"
)

// MaxReservedWait is the longest time in advance for which a request is scheduled. What a
// leader has scheduled is not known to its successor, and is sent in addition.
const MaxReservedWait = time.Second

// Reserve asks the leader to schedule one request to a backend server without a companion.
type Reserve struct {
	// Server and Incarnation identify the backend server.
	Server, Incarnation string
	// Rate is the limit to be kept, in requests per second.
	Rate float64
	// MaxWaitMillis is the time in milliseconds for which the request can wait.
	MaxWaitMillis int64
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

// Schedule schedules the requests to backend servers that no companion counts. Each leader
// starts with an empty one.
type Schedule struct {
	servers map[serverKey]*Regulator
	sweptAt time.Time
}

type serverKey struct{ name, incarnation string }

// NewSchedule returns an empty schedule.
func NewSchedule() *Schedule { return &Schedule{servers: make(map[serverKey]*Regulator)} }

// Reserve schedules a request if its turn comes within its longest wait and
// MaxReservedWait.
func (s *Schedule) Reserve(now time.Time, q Reserve) Reserved {
	s.sweep(now)
	key := serverKey{name: q.Server, incarnation: q.Incarnation}
	r := s.servers[key]
	if r == nil {
		r = &Regulator{}
		s.servers[key] = r
	}
	known := r.limit.Named
	if r.limit = (Limit{Named: true, Rate: q.Rate, namedAt: now}); !known {
		r.start(now)
	}
	wait := r.Wait(now, 0)
	granted := wait <= min(MaxReservedWait, time.Duration(q.MaxWaitMillis)*time.Millisecond)
	if granted {
		r.count(now)
	}
	return Reserved{Granted: granted, WaitMillis: int64((wait + time.Millisecond - 1) / time.Millisecond)}
}

// Len returns the number of backend servers with a recent request.
func (s *Schedule) Len() int { return len(s.servers) }

// idleAfter is the time without a request after which a backend server is dropped.
const idleAfter = 30 * time.Second

func (s *Schedule) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < idleAfter {
		return
	}
	s.sweptAt = now
	maps.DeleteFunc(s.servers, func(_ serverKey, r *Regulator) bool { return r.limit.Age(now) >= idleAfter })
}
