package loader

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model drives a table with random events against a simulated engine, and checks the
// invariants of the table at each order.
type model struct {
	t     *rapid.T
	table *Table
	now   time.Time
	slots int
	next  int

	// engine holds the versions resident at the engine.
	engine map[string]bool
	// orders holds the orders in flight, permits the versions for which a permit is
	// requested.
	orders  []Action
	permits []string
	// withdrawn holds the versions whose permit requests are being withdrawn.
	withdrawn map[string]bool
	// waiting and pinned map the IDs of requests to their versions.
	waiting map[string]string
	pinned  map[string]string
	fence   uint64
	// stateRequested reports that the table requested the engine's state.
	stateRequested bool
}

func TestPropertySlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, now: start, slots: rapid.IntRange(1, 4).Draw(t, "slots"),
			engine: map[string]bool{}, withdrawn: map[string]bool{}, waiting: map[string]string{}, pinned: map[string]string{},
		}
		m.table = NewTable(Settings{
			Slots: m.slots, Prefetch: rapid.Bool().Draw(t, "prefetch"),
			MaxPermits: rapid.IntRange(1, 3).Draw(t, "permits"),
			// Short, so that resident versions are closed often.
			SlotWaitTimeout: 2 * time.Second,
			Policy:          Policy(rapid.IntRange(0, 1).Draw(t, "policy")),
		}, 1, rand.New(rand.NewPCG(1, 2)))
		steps := map[string]func(*rapid.T){
			"": m.check, "want": m.want, "pin": m.pin, "drop": m.release, "permit": m.permit,
			"answer": m.answer, "tick": m.tick, "observe": m.observe, "restart": m.restart,
		}
		// The other steps are repeated, so that restarts are rare in comparison.
		for _, again := range []string{"2", "3"} {
			steps["want"+again], steps["pin"+again], steps["drop"+again] = m.want, m.pin, m.release
			steps["permit"+again], steps["answer"+again] = m.permit, m.answer
			steps["tick"+again] = m.tick
		}
		t.Repeat(steps)
		m.settle()
	})
}

func (m *model) draw(label string, n int) int {
	if n == 0 {
		m.t.Skip("nothing to do")
	}
	return rapid.IntRange(0, n-1).Draw(m.t, label)
}

func (m *model) pick(label string, from map[string]string) string {
	keys := sortedKeys(from)
	return keys[m.draw(label, len(keys))]
}

func (m *model) want(*rapid.T) {
	m.next++
	request := fmt.Sprint("r", m.next)
	version := fmt.Sprintf("w%d/a%d@1", m.draw("workspace", 3), m.draw("adapter", 3))
	m.waiting[request] = version
	m.apply(m.table.Want(m.now, want(request, version)))
}

func (m *model) pin(*rapid.T) {
	request := m.pick("pin", m.waiting)
	if !m.table.Pin(request) {
		return
	}
	version := m.waiting[request]
	if !m.engine[version] {
		m.t.Fatalf("%s pins %s, which the engine does not hold", request, version)
	}
	delete(m.waiting, request)
	m.pinned[request] = version
}

func (m *model) release(*rapid.T) {
	from := m.pinned
	if rapid.Bool().Draw(m.t, "a waiter") {
		from = m.waiting
	}
	request := m.pick("drop", from)
	delete(from, request)
	m.apply(m.table.Release(m.now, request))
}

func (m *model) permit(*rapid.T) {
	i := m.draw("permit", len(m.permits))
	version := m.permits[i]
	m.permits = append(m.permits[:i], m.permits[i+1:]...)
	if m.withdrawn[version] {
		delete(m.withdrawn, version)
		// The permit may have been granted already.
		if m.draw("crossed", 2) == 0 {
			m.apply(m.table.Withdrawn(m.now, version))
			return
		}
	}
	if m.draw("denied", 8) == 0 {
		m.apply(m.table.PermitDenied(m.now, version, "denied"))
		return
	}
	m.apply(m.table.Permitted(m.now, version))
}

func (m *model) answer(*rapid.T) {
	i := m.draw("order", len(m.orders))
	order := m.orders[i]
	m.orders = append(m.orders[:i], m.orders[i+1:]...)
	outcome := Outcome(m.draw("outcome", 6))
	if outcome >= OutcomeFenced {
		outcome = OutcomeDone
	}
	took := outcome == OutcomeDone || outcome == OutcomeUnknown && rapid.Bool().Draw(m.t, "took effect")
	switch a := order.(type) {
	case LoadAction:
		if took {
			m.engine[a.Version] = true
		}
		m.apply(m.table.Loaded(m.now, a.Version, a.Fence, outcome, "failed"))
	case UnloadAction:
		if outcome == OutcomeFailed {
			took, outcome = true, OutcomeDone
		}
		if took {
			delete(m.engine, a.Version)
		}
		m.apply(m.table.Unloaded(m.now, a.Version, a.Fence, outcome))
	}
}

func (m *model) tick(*rapid.T) {
	pause := rapid.SampledFrom([]time.Duration{3 * time.Second, time.Second, 100 * time.Millisecond})
	m.now = m.now.Add(pause.Draw(m.t, "pause"))
	m.apply(m.table.Tick(m.now))
}

func (m *model) observe(*rapid.T) {
	m.stateRequested = false
	var slots []ObservedSlot
	for _, version := range sortedKeys(m.engine) {
		slots = append(slots, ObservedSlot{Version: version})
	}
	m.apply(m.table.Observe(m.now, m.table.Sequence(), slots))
}

// restart also drops the orders in flight, since their connections are closed.
func (m *model) restart(*rapid.T) {
	if m.draw("restart", 4) > 0 {
		m.t.Skip("rare")
	}
	m.engine = map[string]bool{}
	m.orders = nil
	m.apply(m.table.Restarted(m.now))
	if len(m.pinned) > 0 {
		m.t.Fatalf("pins survive the engine: %v", m.pinned)
	}
}

func (m *model) apply(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case PermitAction:
			m.permits = append(m.permits, a.Version)
		case WithdrawAction:
			if m.withdrawn[a.Version] || !slices.Contains(m.permits, a.Version) {
				m.t.Fatalf("%s withdrawn without a permit request", a.Version)
			}
			m.withdrawn[a.Version] = true
		case LoadAction:
			m.checkFence(a.Fence)
			m.checkSingleOrder(a.Version)
			m.orders = append(m.orders, a)
		case UnloadAction:
			m.checkFence(a.Fence)
			m.checkSingleOrder(a.Version)
			for request, version := range m.pinned {
				if version == a.Version {
					m.t.Fatalf("%s is unloaded under %s", version, request)
				}
			}
			m.orders = append(m.orders, a)
		case FailAction:
			delete(m.waiting, a.Request)
		case LostAction:
			delete(m.pinned, a.Request)
		case ReadStateAction:
			m.stateRequested = true
		}
	}
}

// checkSingleOrder checks that no other order for the version is in flight.
func (m *model) checkSingleOrder(version string) {
	for _, order := range m.orders {
		if l, ok := order.(LoadAction); ok && l.Version == version {
			m.t.Fatalf("two orders for %s at once", version)
		}
		if u, ok := order.(UnloadAction); ok && u.Version == version {
			m.t.Fatalf("two orders for %s at once", version)
		}
	}
}

func (m *model) checkFence(fence uint64) {
	if fence <= m.fence {
		m.t.Fatalf("fencing number %d after %d", fence, m.fence)
	}
	m.fence = fence
}

func (m *model) check(*rapid.T) {
	loading := 0
	for _, order := range m.orders {
		if _, ok := order.(LoadAction); ok {
			loading++
		}
	}
	if len(m.engine)+loading > m.slots && !m.stateRequested {
		m.t.Fatalf("%d resident and %d loading in %d slots", len(m.engine), loading, m.slots)
	}
	for request, version := range m.pinned {
		if !m.engine[version] {
			m.t.Fatalf("%s runs without %s", request, version)
		}
	}
}

// settle makes the engine and the store work without faults, with each request holding
// its pin for one second, and checks that all requests end.
func (m *model) settle() {
	bound := m.now.Add(time.Duration(len(m.waiting)+2) * (DefaultSlotWaitTimeout + 35*time.Second))
	for len(m.waiting) > 0 {
		if m.now.After(bound) {
			m.t.Fatalf("unserved: %v in %+v", m.waiting, m.table.Residencies(nil))
		}
		for _, request := range sortedKeys(m.pinned) {
			delete(m.pinned, request)
			m.apply(m.table.Release(m.now, request))
		}
		m.observe(nil)
		for len(m.permits)+len(m.orders) > 0 {
			permits, orders := m.permits, m.orders
			m.permits, m.orders = nil, nil
			clear(m.withdrawn)
			for _, version := range permits {
				m.apply(m.table.Permitted(m.now, version))
			}
			for _, order := range orders {
				m.carryOut(order)
			}
		}
		for _, request := range sortedKeys(m.waiting) {
			if m.table.Pin(request) {
				m.pinned[request] = m.waiting[request]
				delete(m.waiting, request)
			}
		}
		m.check(nil)
		m.now = m.now.Add(time.Second)
		m.apply(m.table.Tick(m.now))
	}
}

func (m *model) carryOut(order Action) {
	switch a := order.(type) {
	case LoadAction:
		m.engine[a.Version] = true
		m.apply(m.table.Loaded(m.now, a.Version, a.Fence, OutcomeDone, ""))
	case UnloadAction:
		delete(m.engine, a.Version)
		m.apply(m.table.Unloaded(m.now, a.Version, a.Fence, OutcomeDone))
	}
}
