package distributor_test

import (
	"fmt"
	"runtime"
	"testing"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/state/indexer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// wholeTarget is a Target that receives the complete state at once instead of page by page.
type wholeTarget struct {
	replica *indexer.Index
	// loaded is called while memory holds both the decoded resources and the index built
	// from them.
	loaded func()
}

func (w wholeTarget) Revision() uint64 { return w.replica.Revision() }

func (w wholeTarget) Apply(changes []storer.Change, upTo uint64) error {
	return w.replica.Apply(changes, upTo)
}

func (w wholeTarget) Reset(rs []storer.Resource, revision uint64) error {
	l := w.replica.BeginLoad()
	if err := l.Add(rs); err != nil {
		return err
	}
	w.loaded()
	runtime.KeepAlive(rs)
	return l.Finish(revision)
}

// adapterPage returns the packed page of adapters in the range [from, to), with two
// versions each.
func adapterPage(b *testing.B, from, to, last int) distributor.Packed {
	b.Helper()
	d := distributor.Delta{Reset: true, UpTo: uint64(last), Last: to == last}
	for i := from; i < to; i++ {
		m := storer.Metadata{Workspace: fmt.Sprintf("workspace-%04d", i/60), Name: fmt.Sprintf("adapter-%05d", i), Revision: uint64(i)}
		d.Resources = append(d.Resources, storer.Resource{Kind: storer.KindAdapter, Metadata: m, Spec: storer.AdapterSpec{BaseModel: "clearance-8b", Current: "v1"}})
		name := m.Name
		for _, v := range []string{"v1", "v2"} {
			m.Name = name + "@" + v
			spec := storer.VersionSpec{Source: "weights/" + m.Workspace + "/" + name + "/" + v}
			d.Resources = append(d.Resources, storer.Resource{Kind: storer.KindVersion, Metadata: m, Spec: spec})
		}
	}
	p, err := distributor.Pack(d)
	if err != nil {
		b.Fatal(err)
	}
	return p
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkResetPeak reports the live heap, in MB, that a restarting node needs shortly
// before it switches to the complete state. In the case "pages", each page is applied as it
// arrives; in the case "whole", all pages are collected first.
func BenchmarkResetPeak(b *testing.B) {
	for _, n := range []int{3000, 15000, 61000} {
		b.Run(fmt.Sprintf("pages/adapters=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				x := indexer.NewIndex(indexer.Settings{})
				reset(b, x, n, func() { b.ReportMetric(float64(heapInUse()-before)/1e6, "MB-peak") })
			}
		})
		b.Run(fmt.Sprintf("whole/adapters=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				loaded := func() { b.ReportMetric(float64(heapInUse()-before)/1e6, "MB-peak") }
				reset(b, wholeTarget{replica: indexer.NewIndex(indexer.Settings{}), loaded: loaded}, n, func() {})
			}
		})
	}
}

// reset resets target to n adapters and calls beforeLast before the last page.
func reset(b *testing.B, target distributor.Target, n int, beforeLast func()) {
	b.Helper()
	var a distributor.Assembler
	const page = distributor.DefaultBatchLimit / 3
	for from := 0; from < n; from += page {
		to := min(from+page, n)
		d, err := adapterPage(b, from, to, n).Unpack()
		if err != nil {
			b.Fatal(err)
		}
		if to == n {
			beforeLast()
		}
		if _, err := a.ApplyDelta(target, d); err != nil {
			b.Fatal(err)
		}
	}
	if target.Revision() != uint64(n) {
		b.Fatalf("revision %d", target.Revision())
	}
}
