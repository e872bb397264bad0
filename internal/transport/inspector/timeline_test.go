package inspector_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/transport/inspector"
)

var _ = Describe("Timeline", func() {
	noon := time.Date(2026, time.March, 2, 12, 0, 0, 0, time.UTC)
	late := noon.Add(-time.Second)
	var entry, companion *recorder.Recorder

	BeforeEach(func() {
		entry = recorder.NewRecorder(recorder.Settings{Node: "entry-1", Now: func() time.Time { return noon }})
		companion = recorder.NewRecorder(recorder.Settings{Node: "engine-1", RingSize: 2, Now: func() time.Time { return late }})
	})

	// Guards against sorting by wall clocks. The entry dispatches, and the companion,
	// whose wall clock is a second behind, records its events; an answer would precede
	// its request.
	It("orders effects after their causes although the clocks differ", func() {
		entry.Record(recorder.Event{
			Kind: recorder.KindRouted, Request: "r-1", Version: "portal/lookup@v1",
			Choices: []recorder.Choice{{Backend: "engine-1", Reason: "Resident", Score: 0.25, Taken: true}, {Backend: "engine-2", Reason: "Full", Score: 1.5}},
		})
		companion.Clock().Observe(entry.Clock().Now())
		companion.Record(recorder.Event{Kind: recorder.KindEngineFinished, Request: "r-0"})
		companion.Record(recorder.Event{Kind: recorder.KindQueued, Request: "r-1", Workspace: "portal", Backend: "engine-1"})
		companion.Record(recorder.Event{Kind: recorder.KindConfigurationApplied, Revision: 9, Detail: "from entry-1"})

		first := httptest.NewServer(inspector.Handler(entry))
		defer first.Close()
		second := httptest.NewServer(inspector.Handler(companion))
		defer second.Close()
		addresses := []string{strings.TrimPrefix(second.URL, "http://"), strings.TrimPrefix(first.URL, "http://"), "127.0.0.1:1"}

		whole := inspector.Gather(context.Background(), inspector.Settings{Addresses: addresses})
		Expect(whole.Missing).To(HaveLen(1))
		whole.Missing[0].Cause = "connection refused"
		var text bytes.Buffer
		Expect(whole.WriteText(&text)).To(Succeed())
		golden, err := os.ReadFile("testdata/timeline.golden")
		Expect(err).NotTo(HaveOccurred())
		Expect(text.String()).To(Equal(string(golden)))

		one := inspector.Gather(context.Background(), inspector.Settings{Addresses: addresses[:2], Request: "r-1"})
		Expect(one.Events).To(HaveLen(2))
		Expect(one.Events[0].Kind).To(Equal(recorder.KindRouted))
	})
})
