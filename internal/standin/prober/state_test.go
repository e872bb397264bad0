package prober

import (
	"bytes"
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/coordination/router"
	"marigoldpoint.example/marigoldpoint/internal/state/indexer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/transport/streamer"
)

// BenchmarkReplica measures the heap of a node's replica.
func BenchmarkReplica(b *testing.B) {
	for _, m := range []mix{plain, versioned, ruled, typical} {
		b.Run(m.String(), func(b *testing.B) {
			measureSlopes(b, "Adapters", sizes, func(b *testing.B, n int) costs {
				b.Helper()
				before := heapBytes()
				x := indexer.NewIndex(indexer.Settings{})
				if err := x.Reset(configuration(n, m), uint64(10*n)); err != nil {
					b.Fatal(err)
				}
				defer runtime.KeepAlive(x)
				return costs{{"heap-B", heapBytes() - before}}
			})
		})
	}
}

// newFilledStore returns a store to which a configuration was applied command by command,
// and the index of the last command.
func newFilledStore(b *testing.B, n int, m mix) (*storer.Store, uint64) {
	b.Helper()
	s := storer.NewStore(storer.Settings{})
	index := uint64(0)
	for _, r := range configuration(n, m) {
		index = apply(b, s, index, storer.Envelope{Time: storer.InstantOf(start), Command: storer.PutResource{Resource: r}})
	}
	return s, index
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func apply(b *testing.B, s *storer.Store, index uint64, e storer.Envelope) uint64 {
	b.Helper()
	data, err := storer.Encode(e)
	if err != nil {
		b.Fatal(err)
	}
	index++
	if r, ok := s.Apply(index, data).(storer.Result); !ok || r.Verdict != storer.VerdictAccepted {
		b.Fatalf("command %d: %+v", index, r)
	}
	return index
}

// BenchmarkStore measures the heap of a control host's store, the size of its snapshot, and
// the processor time to write the snapshot and to restore from it.
func BenchmarkStore(b *testing.B) {
	for _, m := range []mix{plain, versioned, ruled, typical} {
		b.Run(m.String(), func(b *testing.B) {
			measureSlopes(b, "Adapters", sizes, func(b *testing.B, n int) costs {
				b.Helper()
				before := heapBytes()
				s, index := newFilledStore(b, n, m)
				held := heapBytes() - before
				var snapshot bytes.Buffer
				began := processorTime()
				if err := s.Snapshot(&snapshot); err != nil {
					b.Fatal(err)
				}
				written := processorTime()
				size := snapshot.Len()
				if err := storer.NewStore(storer.Settings{}).Restore(&snapshot, index); err != nil {
					b.Fatal(err)
				}
				runtime.KeepAlive(s)
				return costs{
					{"heap-B", held},
					{"snapshot-B", float64(size)},
					{"write-cpu-µs", microseconds(written - began)},
					{"restore-cpu-µs", microseconds(processorTime() - written)},
				}
			})
		})
	}
}

// BenchmarkClaims measures the heap of a store by the number of settled claims that it
// holds, and the processor time to apply them.
func BenchmarkClaims(b *testing.B) {
	measureSlopes(b, "Claims", []int{10000, 50000, 200000}, func(b *testing.B, n int) costs {
		b.Helper()
		before := heapBytes()
		s := storer.NewStore(storer.Settings{})
		index := uint64(0)
		began := processorTime()
		for i := range n {
			key := fmt.Sprintf("0f8fad5b-d9cb-469f-a165-%012d", i)
			c := storer.ClaimCall{Workspace: workspace(i % 1000), Key: key, Digest: make([]byte, 32), Holder: "atl-a-entry-1/" + key}
			index = apply(b, s, index, storer.Envelope{Time: storer.InstantOf(start), Command: c})
			index = apply(b, s, index, storer.Envelope{Time: storer.InstantOf(start), Command: storer.SettleClaim{
				Workspace: c.Workspace, Key: key, Holder: c.Holder, State: storer.ClaimStateDone, Backend: "atl-a-clearance-1", Request: key,
			}})
		}
		took := processorTime() - began
		defer runtime.KeepAlive(s)
		return costs{{"heap-B", heapBytes() - before}, {"apply-cpu-µs", microseconds(took)}}
	})
}

// BenchmarkSnapshotToNode measures the transfer of the complete state to a node without
// state: the bytes on the wire and the processor time of both ends.
func BenchmarkSnapshotToNode(b *testing.B) {
	measureSlopes(b, "Adapters", sizes, func(b *testing.B, n int) costs {
		b.Helper()
		rs := configuration(n, typical)
		total, encode, decode := 0, time.Duration(0), time.Duration(0)
		var assembler distributor.Assembler
		x := indexer.NewIndex(indexer.Settings{})
		for page := range slices.Chunk(rs, distributor.DefaultBatchLimit) {
			began := processorTime()
			packed, err := distributor.Pack(distributor.Delta{Reset: true, UpTo: uint64(len(rs)), Resources: page})
			if err != nil {
				b.Fatal(err)
			}
			data, err := json.Marshal(packed)
			if err != nil {
				b.Fatal(err)
			}
			encode += processorTime() - began
			total += len(data)
			began = processorTime()
			if err := json.Unmarshal(data, &packed); err != nil {
				b.Fatal(err)
			}
			d, err := packed.Unpack()
			if err != nil {
				b.Fatal(err)
			}
			if _, err := assembler.ApplyDelta(x, d); err != nil {
				b.Fatal(err)
			}
			decode += processorTime() - began
		}
		began := processorTime()
		if _, err := assembler.ApplyDelta(x, distributor.Delta{Reset: true, UpTo: uint64(len(rs)), Last: true}); err != nil {
			b.Fatal(err)
		}
		decode += processorTime() - began
		return costs{{"wire-B", float64(total)}, {"host-cpu-µs", microseconds(encode)}, {"node-cpu-µs", microseconds(decode)}}
	})
}

// servers are the numbers of backend servers: those of existing deployments, and the planned
// size.
var servers = []int{630, 3000, 12000}

func member(i int) indexer.Member {
	return indexer.Member{Name: fmt.Sprintf("atl-a-clearance-%05d", i), Spec: storer.MemberSpec{
		Kind: storer.MemberKindEngine, BaseModel: "clearance-8b", Slots: slots, MaxBatch: batch, Epoch: 1,
		Region: "atlanta", FailureDomain: "atl-a", Address: fmt.Sprintf("10.20.%d.%d:7500", i/250, i%250), Incarnation: "first",
	}}
}

// residency returns the resident versions of server i. Each is a separate string, as in a
// decoded message.
func residency(i int) []string {
	versions := make([]string, slots)
	for v := range versions {
		n := (i*slots + v) * 7919 % 61000
		versions[v] = fmt.Sprintf("%s/adapter-%05d@v2", workspace(n%1016), n)
	}
	slices.Sort(versions)
	return versions
}

// BenchmarkBackends measures the heap of an entry for backend servers with 16 resident
// versions each, in the members of the replica, the board that is updated by digests, and
// the router; the bytes of the complete digest; and the processor time of one membership
// change and of one routing choice.
func BenchmarkBackends(b *testing.B) {
	measureSlopes(b, "Servers", servers, func(b *testing.B, n int) costs {
		b.Helper()
		before := heapBytes()
		x := indexer.NewIndex(indexer.Settings{})
		var changes []storer.Change
		for i := range n {
			m := member(i)
			changes = append(changes, storer.Change{Revision: uint64(i + 1), Resource: storer.Resource{
				Kind: storer.KindMember, Metadata: storer.Metadata{Name: m.Name, Revision: uint64(i + 1)}, Spec: m.Spec,
			}})
		}
		if err := x.Apply(changes, uint64(n)); err != nil {
			b.Fatal(err)
		}
		replica := heapBytes() - before
		board := registrar.NewBoard()
		for i := range n {
			board.Apply(registrar.ServerState{Name: member(i).Name, Epoch: 1, Sequence: 1, Load: registrar.Load{MaxBatch: batch}, Resident: residency(i)}.Whole())
		}
		boardHeap := heapBytes() - before - replica
		board.Collect()
		whole, err := json.Marshal(board.Whole())
		if err != nil {
			b.Fatal(err)
		}
		beforeRouter := heapBytes()
		r := router.NewRouter(router.Settings{Seed: 1})
		if err := r.SetMembers(x.Members().Members); err != nil {
			b.Fatal(err)
		}
		for i := range n {
			m := member(i)
			s, _ := board.State(m.Name)
			r.Digest(start, m.Name, 1, s.Resident)
		}
		routerHeap := heapBytes() - beforeRouter
		began := processorTime()
		const repeats = 20
		for i := range repeats {
			revision := uint64(n + i + 1)
			m := member(i)
			m.Spec.Epoch++
			c := storer.Change{Revision: revision, Resource: storer.Resource{Kind: storer.KindMember, Metadata: storer.Metadata{Name: m.Name, Revision: revision}, Spec: m.Spec}}
			if err := x.Apply([]storer.Change{c}, revision); err != nil {
				b.Fatal(err)
			}
			if err := r.SetMembers(x.Members().Members); err != nil {
				b.Fatal(err)
			}
		}
		memberChange := (processorTime() - began) / repeats
		choice := choose(b, r, n)
		runtime.KeepAlive(x)
		runtime.KeepAlive(board)
		return costs{
			{"replica-B", replica},
			{"board-B", boardHeap},
			{"router-B", routerHeap},
			{"whole-digest-B", float64(len(whole))},
			{"member-change-cpu-µs", microseconds(memberChange)},
			{"choice-cpu-µs", choice},
		}
	})
}

// choose returns the processor time in µs of one routing choice for versions that are
// resident at a server.
func choose(b *testing.B, r *router.Router, n int) float64 {
	b.Helper()
	const calls = 20000
	var versions []string
	for i := range min(n, 3000) {
		versions = append(versions, residency(i)...)
	}
	var d router.Decision
	c := router.Call{Pool: router.Pool{Kind: storer.MemberKindEngine, Name: "clearance-8b"}, PromptTokens: 100}
	began, now := processorTime(), start
	for i := range calls {
		now = now.Add(time.Millisecond)
		c.Version = versions[i*7919%len(versions)]
		if err := r.Choose(now, &c, &d); err != nil {
			b.Fatal(err)
		}
		r.Finish(now, &d, router.CallResult{Served: true, Ran: time.Second})
	}
	return microseconds(processorTime()-began) / calls
}

// BenchmarkAnswers measures the heap of a companion's buffer by the number of answers in
// flight, with no and with 4 KiB of unacknowledged data each.
func BenchmarkAnswers(b *testing.B) {
	for _, held := range []int{0, 4 << 10} {
		b.Run(fmt.Sprintf("Held=%dB", held), func(b *testing.B) {
			measureSlopes(b, "Answers", []int{100, 1000, 4000}, func(b *testing.B, n int) costs {
				b.Helper()
				before := heapBytes()
				buffer := streamer.NewBuffer(streamer.Settings{})
				for i := range n {
					a, err := buffer.Begin(streamer.ID{Request: fmt.Sprintf("request-%06d", i), Attempt: 1}, true)
					if err != nil {
						b.Fatal(err)
					}
					if err := a.Write(b.Context(), time.Second, nil, make([]byte, held)); err != nil {
						b.Fatal(err)
					}
				}
				defer runtime.KeepAlive(buffer)
				return costs{{"heap-B", heapBytes() - before}}
			})
		})
	}
}
