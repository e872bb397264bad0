package allotter_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/coordination/allotter"
)

// peer is a connection that records what is done to it.
type peer struct{ evicted, aborted bool }

func (p *peer) Evict() { p.evicted = true }
func (p *peer) Abort() { p.aborted = true }

// clock is a clock that is set.
type clock struct{ now time.Time }

func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

func newAllotter(s allotter.Settings) (*allotter.Allotter, *clock) {
	c := &clock{now: time.Unix(0, 0)}
	s.Now = func() time.Time { return c.now }
	return allotter.NewAllotter(s), c
}

// open opens the account of a new connection.
func open(t *testing.T, a *allotter.Allotter) (*allotter.Account, *peer) {
	t.Helper()
	p := &peer{}
	c := a.Open(p)
	if c == nil {
		t.Fatal("no room for a connection")
	}
	return c, p
}

// TestEvictsSilentFirst guards against a caller that sends on losing its room to one that has stopped just
// short of its end, and against callers that trickle and never lose theirs.
func TestEvictsSilentFirst(t *testing.T) {
	const body = 40 << 10
	a, now := newAllotter(allotter.Settings{Total: 3 * body})
	sending, sendingPeer := open(t, a)
	now.advance(time.Second)
	silent, silentPeer := open(t, a)
	for _, c := range []*allotter.Account{sending, silent} {
		if !c.Add(allotter.KindRequest, body) {
			t.Fatal("no room for the first bodies")
		}
	}
	now.advance(2 * time.Second)
	sending.Progressed()
	third, _ := open(t, a)
	if !third.Add(allotter.KindRequest, body) || !silentPeer.evicted || sendingPeer.evicted {
		t.Errorf("evicted: silent %v, sending %v", silentPeer.evicted, sendingPeer.evicted)
	}
	if silent.Add(allotter.KindRequest, 1) || !silent.Evicted() {
		t.Error("an evicted account takes more")
	}
	fourth, _ := open(t, a)
	if fourth.Add(allotter.KindRequest, body) {
		t.Error("a body is taken while evicted connections have not ended")
	}
	if !sendingPeer.evicted {
		t.Error("the connection that has sent for longest keeps its room")
	}
	fourth.Next()
	silent.Close()
	sending.Next()
	if !fourth.Add(allotter.KindRequest, body) {
		t.Error("a body is refused although evicted connections have ended")
	}
}

// TestKeepsCompleteRequests guards against a request that is evicted while a backend server may run it, and
// against small requests that are refused since large ones hold all the room.
func TestKeepsCompleteRequests(t *testing.T) {
	const body = 100 << 10
	a, _ := newAllotter(allotter.Settings{Total: 2 * body})
	complete, p := open(t, a)
	if !complete.Add(allotter.KindRequest, 2*body) {
		t.Fatal("a single request is refused")
	}
	complete.Complete()
	large, _ := open(t, a)
	if large.Add(allotter.KindRequest, body) || p.evicted {
		t.Error("a complete request is evicted for another one")
	}
	large.Close()
	complete.Next()
	if a.Held(allotter.KindRequest) != 0 {
		t.Error("a request that has ended is held")
	}
	if !complete.Add(allotter.KindRequest, body*3/2) {
		t.Fatal("no room after the request has ended")
	}
	complete.Complete()
	small, _ := open(t, a)
	if !small.Add(allotter.KindRequest, allotter.SmallRequest) {
		t.Error("a small request is refused beside a large one")
	}
}

// TestLimitsConnections guards against a process without descriptors, since connections that send nothing,
// or that don't end, hold all of them.
func TestLimitsConnections(t *testing.T) {
	const most = 10
	a, now := newAllotter(allotter.Settings{MaxConnections: most})
	var peers []*peer
	for range 3 * most {
		_, p := open(t, a)
		peers = append(peers, p)
		now.advance(time.Millisecond)
	}
	evicted, aborted := 0, 0
	for i, p := range peers {
		if p.evicted {
			evicted++
		}
		if p.aborted {
			aborted++
		}
		if p.evicted != (i < 2*most) || p.aborted != (i < 3*most/2) {
			t.Errorf("connection %d: %+v", i, *p)
		}
	}
	if evicted != 2*most || aborted != 3*most/2 || a.Evictions() != 2*most {
		t.Errorf("%d evicted, %d aborted", evicted, aborted)
	}
	busy, _ := newAllotter(allotter.Settings{MaxConnections: 1})
	c, _ := open(t, busy)
	c.Complete()
	if busy.Open(&peer{}) != nil {
		t.Error("a connection is accepted over the limit beside one with a complete request")
	}
}

// TestReadAll guards against buffers by the length that a caller announces, and against a body that is taken
// in part.
func TestReadAll(t *testing.T) {
	a, _ := newAllotter(allotter.Settings{Total: 1 << 20})
	c, _ := open(t, a)
	const announced = 1 << 30
	if _, err := c.ReadAll(strings.NewReader("x"), announced, announced); err != nil || a.Held(allotter.KindRequest) > 1<<16 {
		t.Errorf("%v, %d bytes are held for one byte", err, a.Held(allotter.KindRequest))
	}
	c.Next()
	other := a.Count()
	other.Add(allotter.KindRequest, 1<<20)
	if _, err := c.ReadAll(strings.NewReader(strings.Repeat("x", 1<<16)), -1, announced); !errors.Is(err, allotter.ErrNoRoom) {
		t.Errorf("%v where there is no room", err)
	}
	other.Close()
	rapid.Check(t, func(rt *rapid.T) {
		c.Next()
		body := rapid.SliceOfN(rapid.Byte(), 0, 20000).Draw(rt, "body")
		length := int64(-1)
		if rapid.Bool().Draw(rt, "announced") {
			length = int64(len(body))
		}
		got, err := c.ReadAll(io.MultiReader(bytes.NewReader(body)), length, 20000)
		if err != nil || !bytes.Equal(got, body) {
			rt.Fatalf("%d of %d bytes, %v", len(got), len(body), err)
		}
		if a.Held(allotter.KindRequest) < int64(cap(got)) {
			rt.Fatal("the buffer holds more than is counted")
		}
	})
}

// TestPropertyAccounts guards against counts that drift: whatever is opened, evicted and closed, the counts
// are those of what is open, and within the limits except for what can't be evicted.
func TestPropertyAccounts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const most = 5
		a, now := newAllotter(allotter.Settings{Total: 100 << 10, Connections: 200 << 10, MaxConnections: most})
		var accounts []*allotter.Account
		pick := func(rt *rapid.T) *allotter.Account {
			if len(accounts) == 0 {
				rt.Skip()
			}
			return rapid.SampledFrom(accounts).Draw(rt, "account")
		}
		rt.Repeat(map[string]func(*rapid.T){
			"open": func(*rapid.T) {
				if c := a.Open(&peer{}); c != nil {
					accounts = append(accounts, c)
				}
			},
			"body":     func(rt *rapid.T) { pick(rt).Add(allotter.KindRequest, rapid.Int64Range(1, 30<<10).Draw(rt, "bytes")) },
			"head":     func(rt *rapid.T) { pick(rt).AddHead(rapid.IntRange(1, 1000).Draw(rt, "bytes")) },
			"complete": func(rt *rapid.T) { pick(rt).Complete() },
			"next":     func(rt *rapid.T) { pick(rt).Next() },
			"advance": func(rt *rapid.T) {
				now.advance(time.Duration(rapid.IntRange(1, 2000).Draw(rt, "ms")) * time.Millisecond)
			},
			"close": func(rt *rapid.T) {
				pick(rt).Close()
			},
			"": func(rt *rapid.T) {
				for _, k := range []allotter.Kind{allotter.KindRequest, allotter.KindConnection} {
					if a.Held(k) < 0 {
						rt.Fatalf("%v: %d bytes", k, a.Held(k))
					}
				}
			},
		})
		for _, c := range accounts {
			c.Close()
		}
		for _, k := range []allotter.Kind{allotter.KindRequest, allotter.KindConnection} {
			if a.Held(k) != 0 {
				rt.Fatalf("%v: %d bytes are held by nobody", k, a.Held(k))
			}
		}
	})
}
