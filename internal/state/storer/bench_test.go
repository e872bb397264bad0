package storer

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"
)

func mustApply(b *testing.B, s *Store, index uint64, c Command) {
	b.Helper()
	data, err := Encode(Envelope{Time: 1, Command: c})
	if err != nil {
		b.Fatal(err)
	}
	if r := s.Apply(index, data).(Result); r.Verdict != VerdictAccepted {
		b.Fatal(r.Reason)
	}
}

// populatedStore returns a store with n adapters of two versions each in n/60
// workspaces, and the index of the last command.
func populatedStore(b *testing.B, n int) (*Store, uint64) {
	b.Helper()
	s := NewStore(Settings{})
	index := uint64(0)
	for i := range n {
		m := Metadata{Workspace: fmt.Sprintf("workspace-%04d", i%max(1, n/60)), Name: fmt.Sprintf("adapter-%05d", i)}
		index++
		mustApply(b, s, index, PutResource{Resource: Resource{Kind: KindAdapter, Metadata: m, Spec: AdapterSpec{BaseModel: "clearance-8b"}}})
		adapter := m.Name
		for _, v := range []string{"v1", "v2"} {
			m.Name = VersionName(adapter, v)
			index++
			mustApply(b, s, index, PutResource{Resource: Resource{Kind: KindVersion, Metadata: m, Spec: VersionSpec{Source: "weights/" + m.Workspace + "/" + m.Name}}})
		}
	}
	return s, index
}

var sizes = []int{3000, 15000, 61000}

// BenchmarkStoreHeap reports the heap size in MB of a store with its history.
func BenchmarkStoreHeap(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("adapters=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				s, _ := populatedStore(b, n)
				b.ReportMetric(float64(heapInUse()-before)/1e6, "MB")
				runtime.KeepAlive(s)
			}
		})
	}
	for _, n := range []int{10_000, 50_000, 200_000} {
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				s := NewStore(Settings{})
				for i := range n {
					key := fmt.Sprintf("key-%026d", i)
					mustApply(b, s, uint64(2*i+1), ClaimCall{Workspace: "savannah", Key: key, Digest: make([]byte, 32), Holder: "entry-1/request-00000000"})
					mustApply(b, s, uint64(2*i+2), SettleClaim{Workspace: "savannah", Key: key, Holder: "entry-1/request-00000000", State: ClaimStateDone, Backend: "engine-1", Request: "request-00000000"})
				}
				b.ReportMetric(float64(heapInUse()-before)/1e6, "MB")
				runtime.KeepAlive(s)
			}
		})
	}
}

// BenchmarkStoreRecordHeap reports the heap size in MB of the idempotency records of
// n changes, and of the names of n deleted versions.
func BenchmarkStoreRecordHeap(b *testing.B) {
	for _, n := range []int{10_000, 50_000, 200_000} {
		b.Run(fmt.Sprintf("answers=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				s := NewStore(Settings{Retention: Retention{HistoryChanges: 1}})
				for i := range n {
					e := Envelope{Time: 1, IdempotencyKey: fmt.Sprintf("key-%022d", i), Digest: make([]byte, 32), Command: put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance-8b"})}
					data, err := Encode(e)
					if err != nil {
						b.Fatal(err)
					}
					s.Apply(uint64(i+1), data)
				}
				b.ReportMetric(float64(heapInUse()-before)/1e6, "MB")
				runtime.KeepAlive(s)
			}
		})
		b.Run(fmt.Sprintf("deleted=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				s := NewStore(Settings{Retention: Retention{HistoryChanges: 1}})
				mustApply(b, s, 1, put(KindAdapter, "title", AdapterSpec{BaseModel: "clearance-8b"}))
				for i := range n {
					name := fmt.Sprintf("title@v%07d", i)
					mustApply(b, s, uint64(2*i+2), put(KindVersion, name, VersionSpec{Source: name}))
					mustApply(b, s, uint64(2*i+3), remove(KindVersion, name))
				}
				b.ReportMetric(float64(heapInUse()-before)/1e6, "MB")
				runtime.KeepAlive(s)
			}
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkStoreApply(b *testing.B) {
	for _, n := range sizes {
		s, index := populatedStore(b, n)
		rewrite := func(i int) Command {
			m := Metadata{Workspace: fmt.Sprintf("workspace-%04d", i%max(1, n/60)), Name: fmt.Sprintf("adapter-%05d", i)}
			return PutResource{Resource: Resource{Kind: KindAdapter, Metadata: m, Spec: AdapterSpec{BaseModel: "clearance-8b", Current: "v1"}}}
		}
		b.Run(fmt.Sprintf("put/adapters=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				index++
				mustApply(b, s, index, rewrite(int(index)%n))
			}
		})
	}
	b.Run("claim", func(b *testing.B) {
		b.ReportAllocs()
		s := NewStore(Settings{Retention: Retention{MaxRecords: 1 << 40}})
		index := uint64(0)
		for b.Loop() {
			index++
			mustApply(b, s, index, ClaimCall{Workspace: "savannah", Key: fmt.Sprint(index), Digest: make([]byte, 32), Holder: "entry-1"})
		}
	})
}

// BenchmarkStoreSnapshot measures the time for which a snapshot blocks the log, the
// times to write and to restore it, and its size.
func BenchmarkStoreSnapshot(b *testing.B) {
	for _, n := range sizes {
		s, index := populatedStore(b, n)
		var w bytes.Buffer
		b.Run(fmt.Sprintf("freeze/adapters=%d", n), func(b *testing.B) {
			for b.Loop() {
				s.Freeze()
			}
		})
		b.Run(fmt.Sprintf("write/adapters=%d", n), func(b *testing.B) {
			for b.Loop() {
				w.Reset()
				if err := s.Snapshot(&w); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(w.Len())/1e6, "MB")
		})
		b.Run(fmt.Sprintf("restore/adapters=%d", n), func(b *testing.B) {
			for b.Loop() {
				if err := NewStore(Settings{}).Restore(bytes.NewReader(w.Bytes()), index); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkStamp measures the time that the leader needs to stamp a change.
func BenchmarkStamp(b *testing.B) {
	data, err := Encode(Envelope{
		IdempotencyKey: strings.Repeat("k", 36), Digest: make([]byte, 32),
		Command: PutResource{Resource: Resource{
			Kind: KindAdapter, Metadata: Metadata{Workspace: "savannah", Name: "title"}, Spec: AdapterSpec{BaseModel: "clearance", Current: "v1"},
		}},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Run(fmt.Sprintf("bytes=%d", len(data)), func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := Stamp(data, 1); err != nil {
				b.Fatal(err)
			}
		}
	})
}
