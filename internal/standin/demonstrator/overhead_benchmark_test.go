package demonstrator_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/standin/demonstrator"
	"marigoldpoint.example/marigoldpoint/internal/standin/driver"
)

// startOverheadDeployment starts a deployment of one entry and one engine whose work takes
// almost no time, so that the measured time is that of the path. It returns the
// addresses of the entry and the engine, and a caller's key.
func startOverheadDeployment(b *testing.B) (through, direct, key string) {
	b.Helper()
	w := driver.Peachtree().WithAdapters(5)
	r := demonstrator.Run{
		Workload: w, Entries: 1, Engines: 1, Services: 1, Slots: 8, MaxBatch: 256,
		TimeScale: 1e-6, Seed: 1, Folder: b.TempDir(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	d, keys, err := r.Prepare(ctx, io.Discard)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = d.Close() })
	return d.CallerAddresses()[0], d.EngineAddresses()[0], keys[0].Key
}

// call sends one short completion and reads the whole answer.
func call(client *http.Client, address, key string) error {
	body := `{"model":"portal/lookup-0000@v1","prompt":"who holds the rights","max_tokens":1}`
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+orderer.PathCompletions, strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var answer bytes.Buffer
	if _, err := answer.ReadFrom(response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s: %s", response.Status, answer.String())
	}
	return nil
}

// BenchmarkPathOverhead1Token compares a complete answer of one token from the
// stand-in engine directly with one through entry and companion. The difference
// of the quantiles is the overhead of the path. Time per operation, allocations
// and bytes include the client and the stand-in, which run in the same process.
func BenchmarkPathOverhead1Token(b *testing.B) {
	through, direct, key := startOverheadDeployment(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	for range 50 {
		if err := call(client, through, key); err != nil {
			b.Fatal(err)
		}
	}
	for _, way := range []struct{ name, address string }{{"direct", direct}, {"through", through}} {
		b.Run(way.name, func(b *testing.B) {
			took := hdrhistogram.New(1, int64(time.Minute), 3)
			b.ReportAllocs()
			for b.Loop() {
				began := time.Now()
				if err := call(client, way.address, key); err != nil {
					b.Fatal(err)
				}
				_ = took.RecordValue(int64(time.Since(began)))
			}
			b.ReportMetric(float64(took.ValueAtQuantile(50))/1e3, "p50-µs")
			b.ReportMetric(float64(took.ValueAtQuantile(99))/1e3, "p99-µs")
		})
		b.Run(way.name+"-parallel", func(b *testing.B) {
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					if err := call(client, way.address, key); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}
