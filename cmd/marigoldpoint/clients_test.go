package main

import (
	"context"
	"net/http"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/standin/flooder"
)

// TestClients guards against a process of the own configuration that ends by its memory, since clients that
// it doesn't control send more than it can hold, or don't finish what they send.
func TestClients(t *testing.T) {
	if raceDetector {
		t.Skip("the memory of the race detector can't be told from that of the process")
	}
	for _, c := range []struct {
		name              string
		memoryMb, clients int
		key               string
		operators         bool
		behavior          flooder.Behavior
	}{
		{"unfinished bodies", 192, 300, testKey, false, flooder.UnfinishedBody},
		{"unfinished bodies without a known key", 192, 300, "a-key-that-nobody-has", false, flooder.UnfinishedBody},
		{"unfinished small chunks", 192, 300, testKey, false, flooder.UnfinishedChunks},
		{"whole bodies", 192, 400, testKey, false, flooder.WholeBody},
		{"endless chunks", 192, 300, testKey, false, flooder.EndlessChunks},
		{"unfinished heads", 128, 1500, testKey, false, flooder.UnfinishedHead},
		{"unfinished heads at the operators' listener", 128, 1500, testKey, true, flooder.UnfinishedHead},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, c.memoryMb)
			e := flooder.Endpoint{Address: s.entry, Method: http.MethodPost, Path: "/v1/chat/completions", Fields: func() string {
				return "Authorization: Bearer " + c.key + "\r\nContent-Type: application/json\r\n"
			}}
			if c.operators {
				e.Address, e.Path = s.operators, "/api/v1/workspaces/w"
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var crowd flooder.Crowd
			var sampling sync.WaitGroup
			samples := flooder.NewSampler(s.process.Process.Pid, e.Address)
			sampling.Go(func() { samples.Run(ctx) })
			crowd.Join(ctx, c.clients, c.behavior, e)
			g.Eventually(crowd.Settled, 3*startTimeout).Should(Equal(c.clients))
			g.Eventually(s.ordinary, startTimeout).Should(Equal(http.StatusOK), "beside the clients")
			samples.Sample()
			cancel()
			crowd.Wait()
			sampling.Wait()
			g.Eventually(s.ordinary, startTimeout).Should(Equal(http.StatusOK), "after the clients")
			most := samples.Most()
			t.Logf("%d MB of %d, %d MB unread, %d descriptors", most.Memory>>20, c.memoryMb, most.Unread>>20, most.Descriptors)
			g.Expect(most.Memory).To(BeNumerically("<", c.memoryMb<<20))
		})
	}
}
